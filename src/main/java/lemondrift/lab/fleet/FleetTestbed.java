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
 * Real proxy processes, or clients that pick a backend themselves, with all that is around them:
 * clients, backends, discovery and the network between. Plays one day after the other on the same
 * processes; docs/lab.md says how it is judged.
 *
 * <p>Its methods wait for the I/O thread and the process thread, so neither of these may call them.
 */
public final class FleetTestbed implements AutoCloseable {
    /** How long there is traffic before the first day counts. */
    private static final double FIRST_WARM_UP_SECONDS = 5;

    /** How long there is traffic before another day counts. */
    private static final double NEXT_WARM_UP_SECONDS = 0.5;

    /** Up to so many pairs of proxy and backend, each proxy has a network path of its own. */
    private static final int MAX_SEPARATE_PATHS = 128;

    /** Clients without proxies are judged by none. */
    private static final int NO_RULES = 0;

    /** How long the I/O thread has to close all connections at the end. */
    private static final int CLOSE_TIMEOUT_SECONDS = 1;

    /** What one day came to; the rule is the first that was broken, empty where all were kept. */
    public record RunOutcome(RunResult result, Optional<String> brokenRule) {}

    /** Makes what stands between the clients and the backends. */
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
        // Before the first day nothing goes wrong.
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
     * Composes a testbed with proxies; its sockets are open then, and no process is started yet.
     *
     * @param progress gets lines on how far it is, on the caller's thread
     * @throws IOException where a socket cannot be opened
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
     * Composes a testbed whose clients pick a backend as a policy does, without proxies.
     *
     * @param progress gets lines on how far it is, on the caller's thread
     * @throws IOException where a socket cannot be opened
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

    /** What a fault of a backend does beside what it does to the backend itself. */
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
     * Starts all proxies and returns when they are ready.
     *
     * @throws IllegalStateException where one ends, or is not ready in time
     */
    public void start() throws InterruptedException {
        proxies.start(progress);
    }

    /** Plays the experiment's day; throws as the other {@link #run(List, List, double)} does. */
    public RunOutcome run() throws InterruptedException {
        return run(scenario.backendFaults(), experiment.faults(), scenario.durationSeconds());
    }

    /**
     * Plays a day, and waits until all requests have ended and all proxies are back.
     *
     * @param backendFaults of the backends, the traffic and discovery
     * @param faults of processes and between them
     * @throws IllegalStateException where something takes too long or fails
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

    /** Lets so many idle clients connect to each proxy, again and again until the end. */
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

    /** Where a proxy listens for clients. */
    InetSocketAddress listenAddress(int proxy) {
        return proxies.listenAddress(proxy);
    }

    /** Where the proxies' configurations and logs are, by the names of the proxies. */
    Path folder() {
        return context.folder();
    }

    /** Lets a proxy read its configuration again, as SIGHUP does. */
    void reload(int proxy) {
        proxies.reload(proxy);
    }

    /** Runs a task on the thread on which processes are started, signalled and measured. */
    void runOnProcessThread(Runnable task) {
        proxies.runOnProcessThread(task);
    }

    /** Stops all processes with SIGTERM; returns a line on each that did not end well. */
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
            progress.accept("left behind: " + folder());
        }
    }
}
