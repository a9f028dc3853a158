package lemondrift.lab.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import lemondrift.lab.Experiment;
import lemondrift.lab.simulation.RunResult;
import lemondrift.model.EndpointUpdate;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Proxies that run as real processes, with their discovery agents and the datagram relay between
 * them.
 */
final class ProxyFleet implements TestbedProxies {
    /** The time within which all proxies must become ready at the start. */
    private static final double START_TIMEOUT_SECONDS = 180;

    /** The time within which all proxies must be open again after a run. */
    private static final double REOPEN_TIMEOUT_SECONDS = 60;

    /** The time between two checks of a condition that is waited for. */
    private static final long POLL_INTERVAL_MILLIS = 50;

    private final RealTimeScheduler scheduler;
    private final int proxyCount;
    private final ProxyAddresses addresses;
    private final ClientDistributor distributor;
    private final DatagramRelay datagramRelay;
    private final DiscoveryAgents agents;
    private final ProxyProcesses processes;
    private final ProcessThread processThread;
    private final ProxyLifecycle lifecycle;
    private final ProcessFaultInjector faultInjector;
    private final ProxyUsageMeter usageMeter;

    /**
     * Opens all sockets; starts no process.
     *
     * @throws IOException if a socket cannot be opened
     */
    ProxyFleet(
            TestbedContext context,
            Experiment experiment,
            ProcessLauncher launcher,
            BackendFleet backendFleet)
            throws IOException {
        scheduler = context.scheduler();
        proxyCount = context.scenario().proxies();
        addresses = ProxyAddresses.reserve(proxyCount);
        datagramRelay = new DatagramRelay(context, addresses.gossip());
        agents = new DiscoveryAgents(context, backendFleet);
        ProxyConfigWriter configWriter =
                new ProxyConfigWriter(
                        context.scenario().settings(),
                        experiment.gossipEnabled(),
                        relayAddresses());
        processes =
                new ProxyProcesses(
                        launcher,
                        context.folder(),
                        proxyCount,
                        configWriter,
                        experiment.recoveryEnabled());
        distributor =
                new ClientDistributor(
                        context,
                        addresses.listen(),
                        experiment.trafficLogStandardDeviation(),
                        RandomSource.XO_RO_SHI_RO_128_PP.create(context.seed() + 2));
        processThread = new ProcessThread(scheduler);
        lifecycle =
                new ProxyLifecycle(
                        context, processThread, processes, agents, distributor, addresses);
        faultInjector = new ProcessFaultInjector(scheduler, lifecycle);
        usageMeter = new ProxyUsageMeter(proxyCount, processes, datagramRelay);
    }

    /**
     * Returns the addresses at which the proxies reach one another, which are those of the relay.
     */
    private List<String> relayAddresses() throws IOException {
        List<String> relayAddresses = new ArrayList<>();
        for (int proxy = 0; proxy < proxyCount; proxy++) {
            relayAddresses.add(LoopbackAddresses.hostAndPort(datagramRelay.address(proxy)));
        }
        return relayAddresses;
    }

    @Override
    public ClientTargets clientTargets() {
        return distributor;
    }

    /** Starts the proxies, at most as many at the same time as there are processors. */
    @Override
    public void start(Consumer<String> progress) throws InterruptedException {
        int startedCount = 0;
        double deadline = scheduler.now() + START_TIMEOUT_SECONDS;
        while (scheduler.now() < deadline) {
            int closedCount = closedProxies().size();
            if (closedCount == 0) {
                progress.accept("all " + proxyCount + " ready");
                return;
            }
            progress.accept("starting, " + (proxyCount - closedCount) + " of " + proxyCount);
            startedCount = startNextProxies(startedCount, closedCount);
            checkNoneEnded(startedCount);
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        throw new IllegalStateException(
                "proxies not ready within " + START_TIMEOUT_SECONDS + " s: " + closedProxies());
    }

    /**
     * Starts proxies until the maximum number is starting; returns how many have been started in
     * total.
     */
    private int startNextProxies(int startedBefore, int closedCount) {
        int maxStarting = Runtime.getRuntime().availableProcessors();
        int started = startedBefore;
        while (started < proxyCount && closedCount - (proxyCount - started) < maxStarting) {
            int proxy = started;
            scheduler.execute(() -> lifecycle.start(proxy));
            started++;
        }
        return started;
    }

    private void checkNoneEnded(int startedCount) {
        for (int proxy = 0; proxy < startedCount; proxy++) {
            if (processes.hasEnded(proxy)) {
                throw new IllegalStateException(
                        "proxy " + proxy + " did not start: " + processes.lastLogLine(proxy));
            }
        }
    }

    private List<Integer> closedProxies() throws InterruptedException {
        return scheduler.call(distributor::closedProxies);
    }

    @Override
    public void awaitOpen() throws InterruptedException {
        double deadline = scheduler.now() + REOPEN_TIMEOUT_SECONDS;
        List<Integer> closed = closedProxies();
        while (!closed.isEmpty()) {
            if (scheduler.now() > deadline) {
                throw new IllegalStateException(
                        "proxies not open again within "
                                + REOPEN_TIMEOUT_SECONDS
                                + " s after the run: "
                                + closed
                                + ", last log line of the first: "
                                + processes.lastLogLine(closed.get(0)));
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
            closed = closedProxies();
        }
    }

    @Override
    public void announce(int backend, EndpointUpdate.State state, long upSinceMillis) {
        agents.announce(backend, state, upSinceMillis);
    }

    @Override
    public void silenceDiscovery(double seconds) {
        agents.silence(seconds);
    }

    @Override
    public void scheduleFaults(FaultPlan faultPlan, ClientFleet clients) {
        for (FaultPlan.DrawnFault drawn : faultPlan.processFaults()) {
            scheduler.after(drawn.fault().startAt(), () -> faultInjector.inject(drawn, clients));
        }
    }

    @Override
    public void startUsageMeasurement() {
        processThread.execute(usageMeter::start);
    }

    @Override
    public void addUsageTo(RunResult result, double durationSeconds) {
        processThread.execute(() -> usageMeter.addTo(result, durationSeconds));
    }

    @Override
    public void awaitProcessTasks() throws InterruptedException {
        processThread.call(() -> null);
    }

    @Override
    public InetSocketAddress listenAddress(int proxy) {
        return addresses.listen().get(proxy);
    }

    @Override
    public void runOnProcessThread(Runnable task) {
        processThread.execute(task);
    }

    @Override
    public void reload(int proxy) {
        lifecycle.reload(proxy);
    }

    @Override
    public List<String> stop() throws InterruptedException {
        return processThread.call(processes::stopAll);
    }

    @Override
    public void closeConnections() {
        agents.close();
    }

    @Override
    public void close() {
        processThread.close();
        processes.close();
        datagramRelay.close();
    }
}
