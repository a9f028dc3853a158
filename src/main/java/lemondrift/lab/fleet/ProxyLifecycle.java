package lemondrift.lab.fleet;

import java.util.Arrays;
import java.util.List;
import lemondrift.model.RequestClass;

/**
 * Starts, stops, pauses and restarts proxies, with all that the clients and the recorder have to
 * know of it. Called on the I/O thread; what is done to a process runs on the process thread.
 */
final class ProxyLifecycle {
    /** How often it is looked whether a process has ended. */
    private static final double END_CHECK_INTERVAL_SECONDS = 0.1;

    /** For how long clients are still sent to a proxy after its SIGTERM. */
    private static final double CLOSE_DELAY_SECONDS = 0.3;

    /** How long after the longest timeout a platform may kill a draining proxy. */
    private static final double KILL_DELAY_SECONDS = 0.7;

    private final TestbedContext context;
    private final ProcessThread processThread;
    private final ProxyProcesses processes;
    private final DiscoveryAgents agents;
    private final ClientDistributor distributor;
    private final ProxyAddresses addresses;

    /** By proxy, whether it is to be down. */
    private final boolean[] down;

    /** By proxy, how often it was started. */
    private final int[] startCounts;

    /** All proxies are down at first. */
    ProxyLifecycle(
            TestbedContext context,
            ProcessThread processThread,
            ProxyProcesses processes,
            DiscoveryAgents agents,
            ClientDistributor distributor,
            ProxyAddresses addresses) {
        this.context = context;
        this.processThread = processThread;
        this.processes = processes;
        this.agents = agents;
        this.distributor = distributor;
        this.addresses = addresses;
        down = new boolean[context.scenario().proxies()];
        startCounts = new int[down.length];
        Arrays.fill(down, true);
    }

    /** Starts a proxy, which gets clients once it is healthy. */
    void start(int proxy) {
        start(proxy, () -> {});
    }

    private void start(int proxy, Runnable whenStarted) {
        ProxyEndpoints endpoints =
                new ProxyEndpoints(
                        addresses.listen().get(proxy),
                        addresses.gossip().get(proxy),
                        agents.address(proxy),
                        agents.fullListJson(proxy));
        context.recorder().markUnavailable(proxy);
        down[proxy] = false;
        startCounts[proxy]++;
        processThread.execute(
                () -> {
                    processes.start(proxy, endpoints);
                    context.scheduler()
                            .execute(
                                    () -> {
                                        whenStarted.run();
                                        openWhenHealthy(proxy);
                                    });
                });
    }

    private void openWhenHealthy(int proxy) {
        distributor.openWhenHealthy(
                proxy,
                () -> {
                    context.recorder().markAvailable(proxy);
                    processThread.execute(() -> processes.markServing(proxy));
                });
    }

    /** Kills a proxy with SIGKILL; what it leaves unanswered is excused. */
    void kill(int proxy) {
        if (!down[proxy]) {
            down[proxy] = true;
            context.recorder().markUnavailable(proxy);
            processThread.execute(() -> processes.kill(proxy));
        }
    }

    /** Stops a proxy with SIGTERM; clients are sent elsewhere after a while. */
    void stop(int proxy) {
        if (!down[proxy]) {
            down[proxy] = true;
            processThread.execute(() -> processes.stop(proxy));
            context.scheduler().after(CLOSE_DELAY_SECONDS, () -> distributor.close(proxy));
        }
    }

    /** Stops a proxy with SIGTERM before it serves, so that no clients are sent elsewhere later. */
    void stopDuringStart(int proxy) {
        if (!down[proxy]) {
            down[proxy] = true;
            distributor.close(proxy);
            processThread.execute(() -> processes.stop(proxy));
        }
    }

    /**
     * Stops a proxy while clients go on using the connections that they have, and kills it as early
     * as a platform may. What that leaves unanswered is not excused.
     *
     * @param signals sent at once and in this order; the platform's time counts from then on
     */
    void terminate(int proxy, ClientFleet clients, List<String> signals) {
        if (down[proxy]) {
            return;
        }
        down[proxy] = true;
        int startCount = startCounts[proxy];
        processThread.execute(
                () -> {
                    processes.resume(proxy);
                    processes.signal(proxy, signals);
                    double killAt =
                            context.scheduler().now()
                                    + longestTimeoutSeconds()
                                    + KILL_DELAY_SECONDS;
                    context.scheduler()
                            .execute(() -> scheduleKill(proxy, clients, startCount, killAt));
                });
    }

    private void scheduleKill(int proxy, ClientFleet clients, int startCount, double killAt) {
        context.scheduler()
                .after(
                        CLOSE_DELAY_SECONDS,
                        () -> {
                            distributor.close(proxy);
                            clients.sendOnIdleConnections(proxy, killAt);
                        });
        context.scheduler().at(killAt, () -> killUnlessRestarted(proxy, startCount));
    }

    private double longestTimeoutSeconds() {
        return context.scenario()
                .settings()
                .activeClasses()
                .mapToDouble(RequestClass::timeoutSeconds)
                .max()
                .orElse(1);
    }

    /** Guards against killing a process that was started since. */
    private void killUnlessRestarted(int proxy, int startCount) {
        if (startCounts[proxy] == startCount) {
            processThread.execute(() -> processes.kill(proxy));
        }
    }

    /** Starts a proxy that is down, as soon as its former process has ended. */
    void restart(int proxy) {
        restart(proxy, () -> {});
    }

    /** The same; the callback runs once the new process has been started. */
    void restart(int proxy, Runnable whenStarted) {
        if (down[proxy]) {
            processThread.execute(
                    () -> {
                        boolean alive = processes.isAlive(proxy);
                        context.scheduler()
                                .execute(() -> restartUnlessAlive(proxy, alive, whenStarted));
                    });
        }
    }

    private void restartUnlessAlive(int proxy, boolean alive, Runnable whenStarted) {
        if (alive) {
            context.scheduler()
                    .after(END_CHECK_INTERVAL_SECONDS, () -> restart(proxy, whenStarted));
        } else if (down[proxy]) {
            distributor.close(proxy);
            start(proxy, whenStarted);
        }
    }

    /** Suspends a proxy; what it leaves unanswered meanwhile is excused. */
    void pause(int proxy) {
        context.recorder().markUnavailable(proxy);
        processThread.execute(() -> processes.pause(proxy));
    }

    /** Lets a paused proxy go on. */
    void resume(int proxy) {
        processThread.execute(
                () -> {
                    processes.resume(proxy);
                    context.scheduler().execute(() -> context.recorder().markAvailable(proxy));
                });
    }

    /** Lets a proxy read its configuration again. Any thread. */
    void reload(int proxy) {
        signal(proxy, List.of("HUP"));
    }

    /** Sends a proxy signals such as "HUP" at once and in this order. Any thread. */
    void signal(int proxy, List<String> signals) {
        processThread.execute(() -> processes.signal(proxy, signals));
    }
}
