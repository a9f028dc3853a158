package lemondrift.lab.fleet;

import java.util.Arrays;
import java.util.List;
import lemondrift.model.RequestClass;

/**
 * Starts, stops, pauses and restarts proxies, and informs the clients and the recorder. Called on
 * the I/O thread; operations on processes run on the process thread.
 */
final class ProxyLifecycle {
    /** The time between two checks whether a process has ended. */
    private static final double END_CHECK_INTERVAL_SECONDS = 0.1;

    /** How long clients are still sent to a proxy after its SIGTERM. */
    private static final double CLOSE_DELAY_SECONDS = 0.3;

    /** How long after the longest timeout a platform may kill a draining proxy. */
    private static final double KILL_DELAY_SECONDS = 0.7;

    private final TestbedContext context;
    private final ProcessThread processThread;
    private final ProxyProcesses processes;
    private final DiscoveryAgents agents;
    private final ClientDistributor distributor;
    private final ProxyAddresses addresses;

    /** Whether each proxy is intended to be down, indexed by proxy number. */
    private final boolean[] down;

    /** How often each proxy was started, indexed by proxy number. */
    private final int[] startCounts;

    /** Creates the lifecycle of proxies that are all down. */
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

    /** Starts a proxy. Clients are sent to it once it is healthy. */
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

    /** Kills a proxy with SIGKILL. Requests that it leaves unanswered break no rule. */
    void kill(int proxy) {
        if (!down[proxy]) {
            down[proxy] = true;
            context.recorder().markUnavailable(proxy);
            processThread.execute(() -> processes.kill(proxy));
        }
    }

    /** Stops a proxy with SIGTERM. Clients are sent to other proxies after a delay. */
    void stop(int proxy) {
        if (!down[proxy]) {
            down[proxy] = true;
            processThread.execute(() -> processes.stop(proxy));
            context.scheduler().after(CLOSE_DELAY_SECONDS, () -> distributor.close(proxy));
        }
    }

    /**
     * Stops a proxy with SIGTERM before it serves. Closes it for clients immediately, so that no
     * delayed close follows.
     */
    void stopDuringStart(int proxy) {
        if (!down[proxy]) {
            down[proxy] = true;
            distributor.close(proxy);
            processThread.execute(() -> processes.stop(proxy));
        }
    }

    /**
     * Stops a proxy while clients continue to use their connections to it, and kills it as early as
     * a platform may. Requests that are left unanswered break a rule.
     *
     * @param signals the signals, sent immediately and in this order; the time until the kill
     *     counts from then on
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

    /** Kills a process. Guards against killing a process that was started in the meantime. */
    private void killUnlessRestarted(int proxy, int startCount) {
        if (startCounts[proxy] == startCount) {
            processThread.execute(() -> processes.kill(proxy));
        }
    }

    /**
     * Starts a proxy that is down as soon as its previous process has ended; does nothing if the
     * proxy is not down.
     */
    void restart(int proxy) {
        restart(proxy, () -> {});
    }

    /**
     * Restarts a proxy as {@link #restart(int)} does, and runs the callback when the new process
     * has been started.
     */
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

    /** Suspends a proxy. Requests that it leaves unanswered during the pause break no rule. */
    void pause(int proxy) {
        context.recorder().markUnavailable(proxy);
        processThread.execute(() -> processes.pause(proxy));
    }

    /** Resumes a paused proxy. */
    void resume(int proxy) {
        processThread.execute(
                () -> {
                    processes.resume(proxy);
                    context.scheduler().execute(() -> context.recorder().markAvailable(proxy));
                });
    }

    /** Sends SIGHUP to a proxy, which then reloads its configuration. Any thread. */
    void reload(int proxy) {
        signal(proxy, List.of("HUP"));
    }

    /**
     * Sends signals such as "HUP" to a proxy, within milliseconds and in the given order. Any
     * thread.
     */
    void signal(int proxy, List<String> signals) {
        processThread.execute(() -> processes.signal(proxy, signals));
    }
}
