package lemondrift.lab.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import lemondrift.lab.Baseline;
import lemondrift.lab.Experiment;
import lemondrift.lab.simulation.BackendFault;
import lemondrift.lab.simulation.BackendFaultInjector;
import lemondrift.lab.simulation.Fault;
import lemondrift.lab.simulation.Referee;
import lemondrift.lab.simulation.RunResult;
import lemondrift.lab.simulation.Scenario;
import lemondrift.model.EndpointUpdate;
import org.xnio.XnioWorker;

/**
 * A testbed with clients, backends, discovery and the network between them, and with real proxy
 * processes or with clients that pick a backend themselves. Executes runs one after another on the
 * same processes; docs/lab.md describes how they are checked.
 *
 * <p>The methods wait for the I/O thread and the process thread, so they must not be called on
 * these threads. If a task on one of these threads has failed, the next method that waits throws an
 * exception.
 */
public final class FleetTestbed implements AutoCloseable {
    /** How long traffic runs before the first run is measured. */
    private static final double FIRST_WARM_UP_SECONDS = 5;

    /** How long traffic runs before each later run is measured. */
    private static final double NEXT_WARM_UP_SECONDS = 0.5;

    /** The number of pairs of proxy and backend up to which each proxy has its own network path. */
    private static final int MAX_SEPARATE_PATHS = 128;

    /** Clients without proxies are checked against no rules. */
    private static final int NO_RULES = 0;

    /** The time within which the I/O thread must close all connections at the end. */
    private static final int CLOSE_TIMEOUT_SECONDS = 1;

    /**
     * The outcome of one run.
     *
     * @param brokenRule a description of the first broken rule; empty if all rules were kept
     */
    public record RunOutcome(RunResult result, Optional<String> brokenRule) {}

    /** Creates the proxies of a testbed, or their substitute in a testbed without proxies. */
    private interface ProxiesFactory {
        TestbedProxies create(TestbedContext context, BackendFleet backendFleet) throws IOException;
    }

    private final Experiment experiment;
    private final Scenario scenario;
    private final long seed;
    private final Consumer<String> progress;
    private final TestbedContext context;
    private final BackendFleet backendFleet;
    private final TestbedProxies proxies;
    private final ClientFleet clientFleet;
    private final TestbedRunner runner;
    private final List<IdleClient> idleClients = new ArrayList<>();
    private volatile FaultPlan faultPlan;
    private boolean hasRunBefore;

    private FleetTestbed(
            Experiment experiment,
            long seed,
            int checkedRules,
            ProxiesFactory proxiesFactory,
            Consumer<String> progress)
            throws IOException {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        this.experiment = experiment;
        this.seed = seed;
        this.progress = progress;
        scenario = experiment.day(seed);
        // Before the first run no fault is active.
        faultPlan = drawFaults(experiment.faults(), Double.POSITIVE_INFINITY);
        context = TestbedContext.create(scenario, seed, checkedRules, () -> faultPlan);
        backendFleet = new BackendFleet(context, experiment.maxConnectionsPerBackend());
        BackendFaultInjector backendFaultInjector =
                new BackendFaultInjector(
                        context.scheduler(),
                        context.random(),
                        backendFleet.backends,
                        scenario.discoveryDelaySeconds(),
                        new BackendFaultHost());
        backendFleet.setOverloadListener(backend -> backendFaultInjector.takeDown(backend, true));
        proxies = proxiesFactory.create(context, backendFleet);
        clientFleet = new ClientFleet(context, proxies.clientTargets(), backendFaultInjector);
        runner =
                new TestbedRunner(
                        context,
                        clientFleet,
                        backendFleet,
                        backendFaultInjector,
                        proxies,
                        progress);
    }

    /**
     * Creates a testbed with proxies. Opens its sockets, but starts no process.
     *
     * @param progress receives lines about the progress, on the caller's thread
     * @throws IOException if a socket cannot be opened
     * @throws lemondrift.settings.InvalidSettingsException if the machine has too little free
     *     memory for the processes
     */
    public static FleetTestbed withProxies(
            Experiment experiment, long seed, ProcessLauncher launcher, Consumer<String> progress)
            throws IOException {
        return new FleetTestbed(
                experiment,
                seed,
                Referee.RULE_COUNT,
                (context, backendFleet) ->
                        new ProxyFleet(context, experiment, launcher, backendFleet),
                progress);
    }

    /**
     * Creates a testbed without proxies, whose clients pick a backend by a policy.
     *
     * @param progress receives lines about the progress, on the caller's thread
     * @throws IOException if a socket cannot be opened
     */
    public static FleetTestbed withoutProxies(
            Experiment experiment, long seed, Baseline.Kind policy, Consumer<String> progress)
            throws IOException {
        return new FleetTestbed(
                experiment,
                seed,
                NO_RULES,
                (context, backendFleet) ->
                        new NoProxies(new BackendPicker(policy, context, backendFleet)),
                progress);
    }

    private FaultPlan drawFaults(List<Fault> faults, double runStart) {
        return new FaultPlan(
                faults,
                scenario.proxies(),
                scenario.backends(),
                scenario.settings().locationCount(),
                seed,
                scenario.proxies() * scenario.backends() <= MAX_SEPARATE_PATHS,
                runStart);
    }

    /** Applies the effects of a backend's faults on discovery, sockets and connections. */
    private final class BackendFaultHost implements BackendFaultInjector.Host {
        private final long[] upSinceMillis = new long[scenario.backends()];

        @Override
        public void announce(int backend, EndpointUpdate.State state) {
            proxies.announce(backend, state, upSinceMillis[backend]);
        }

        @Override
        public void processEnded(int backend, boolean connectionsReset) {
            if (connectionsReset) {
                backendFleet.crash(backend);
            } else {
                backendFleet.vanish(backend);
            }
        }

        @Override
        public void processRestarted(int backend) {
            upSinceMillis[backend] = System.currentTimeMillis();
            backendFleet.restart(backend);
        }

        @Override
        public void silenceDiscovery(double seconds) {
            proxies.silenceDiscovery(seconds);
        }
    }

    /**
     * Starts all proxies and waits until they are ready.
     *
     * @throws IllegalStateException if a proxy ends or is not ready in time
     * @throws lemondrift.settings.InvalidSettingsException if a process cannot be started
     */
    public void start() throws InterruptedException {
        proxies.start(progress);
    }

    /**
     * Executes a run with the experiment's faults and duration, as {@link #run(List, List, double)}
     * does, and throws the same exceptions.
     */
    public RunOutcome run() throws InterruptedException {
        return run(scenario.backendFaults(), experiment.faults(), scenario.durationSeconds());
    }

    /**
     * Executes a run, then waits until all requests have ended and all proxies are open again.
     *
     * @param backendFaults the faults of the backends, the traffic and discovery
     * @param faults the faults of processes and of the channels between them
     * @throws IllegalStateException if a step takes too long or fails
     * @throws lemondrift.settings.InvalidSettingsException if a process cannot be started or
     *     signalled, or if the policy of a testbed without proxies is not supported
     */
    public RunOutcome run(
            List<BackendFault> backendFaults, List<Fault> faults, double durationSeconds)
            throws InterruptedException {
        double warmUpSeconds = hasRunBefore ? NEXT_WARM_UP_SECONDS : FIRST_WARM_UP_SECONDS;
        double startAt = context.scheduler().now() + warmUpSeconds;
        hasRunBefore = true;
        FaultPlan plan = drawFaults(faults, startAt);
        faultPlan = plan;
        progress.accept(plan.describe());
        return runner.run(
                new TestbedRunner.MeasuredRun(startAt, durationSeconds, backendFaults, plan));
    }

    /**
     * Connects idle clients to each proxy. They disconnect and reconnect until the testbed is
     * closed.
     */
    public void connectIdleClients(int countPerProxy) throws InterruptedException {
        context.scheduler()
                .run(
                        () -> {
                            for (int proxy = 0; proxy < scenario.proxies(); proxy++) {
                                for (int i = 0; i < countPerProxy; i++) {
                                    idleClients.add(new IdleClient(context, listenAddress(proxy)));
                                }
                            }
                        });
    }

    /**
     * Returns the address at which a proxy listens for clients.
     *
     * @throws IllegalStateException if the testbed has no proxies
     */
    InetSocketAddress listenAddress(int proxy) {
        return proxies.listenAddress(proxy);
    }

    /**
     * Returns the folder with the proxies' configurations and logs, whose file names start with the
     * names of the proxies.
     */
    Path folder() {
        return context.folder();
    }

    /**
     * Sends SIGHUP to a proxy, which then reloads its configuration.
     *
     * @throws IllegalStateException if the testbed has no proxies
     */
    void reload(int proxy) {
        proxies.reload(proxy);
    }

    /**
     * Runs a task on the thread on which processes are started, signalled and measured, without
     * waiting for it.
     *
     * @throws IllegalStateException if the testbed has no proxies
     */
    void runOnProcessThread(Runnable task) {
        proxies.runOnProcessThread(task);
    }

    /**
     * Stops all processes with SIGTERM and waits for their end.
     *
     * @return one line for each process that did not exit normally; empty if there is none
     */
    public List<String> stop() throws InterruptedException {
        return proxies.stop();
    }

    @Override
    public void close() {
        idleClients.forEach(IdleClient::stop);
        proxies.close();
        context.scheduler().execute(this::closeConnections);
        XnioWorker worker = context.worker();
        worker.shutdown();
        try {
            worker.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            worker.shutdownNow();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        deleteFolder();
    }

    private void closeConnections() {
        idleClients.forEach(IdleClient::close);
        clientFleet.close();
        backendFleet.close();
        proxies.closeConnections();
    }

    private void deleteFolder() {
        try (Stream<Path> files = Files.walk(folder())) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | UncheckedIOException e) {
            progress.accept("could not delete " + folder());
        }
    }
}
