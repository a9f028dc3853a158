package lemondrift.lab.fleet;

import java.util.Arrays;
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
        ProxyEndpoints endpoints =
                new ProxyEndpoints(
                        addresses.listen().get(proxy),
                        addresses.gossip().get(proxy),
                        agents.address(proxy),
                        agents.fullList(proxy));
        context.recorder().startExcuse(proxy);
        down[proxy] = false;
        startCounts[proxy]++;
        processThread.execute(
                () -> {
                    processes.start(proxy, endpoints);
                    context.scheduler().execute(() -> openWhenHealthy(proxy));
                });
    }

    private void openWhenHealthy(int proxy) {
        distributor.openWhenHealthy(proxy, () -> context.recorder().endExcuse(proxy));
    }

    /** Kills a proxy with SIGKILL; what it leaves unanswered is excused. */
    void kill(int proxy) {
        if (!down[proxy]) {
            down[proxy] = true;
            context.recorder().startExcuse(proxy);
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

    /**
     * Stops a proxy with SIGTERM while clients go on using the connections that they have, and
     * kills it as early as a platform may. What that leaves unanswered is not excused.
     */
    void terminate(int proxy, ClientFleet clients) {
        if (down[proxy]) {
            return;
        }
        down[proxy] = true;
        processThread.execute(() -> processes.stop(proxy));
        double killAt = context.scheduler().now() + longestTimeoutSeconds() + KILL_DELAY_SECONDS;
        context.scheduler()
                .after(
                        CLOSE_DELAY_SECONDS,
                        () -> {
                            distributor.close(proxy);
                            clients.useKeptConnections(proxy, killAt);
                        });
        int startCount = startCounts[proxy];
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
        if (down[proxy]) {
            processThread.execute(
                    () -> {
                        boolean alive = processes.isAlive(proxy);
                        context.scheduler().execute(() -> restartUnlessAlive(proxy, alive));
                    });
        }
    }

    private void restartUnlessAlive(int proxy, boolean alive) {
        if (alive) {
            context.scheduler().after(END_CHECK_INTERVAL_SECONDS, () -> restart(proxy));
        } else if (down[proxy]) {
            distributor.close(proxy);
            start(proxy);
        }
    }

    /** Suspends a proxy; what it leaves unanswered meanwhile is excused. */
    void pause(int proxy) {
        context.recorder().startExcuse(proxy);
        processThread.execute(() -> processes.pause(proxy));
    }

    /** Lets a paused proxy go on. */
    void resume(int proxy) {
        processThread.execute(
                () -> {
                    processes.resume(proxy);
                    context.scheduler().execute(() -> context.recorder().endExcuse(proxy));
                });
    }

    /** Lets a proxy read its configuration again. Any thread. */
    void reload(int proxy) {
        processThread.execute(() -> processes.reload(proxy));
    }
}
