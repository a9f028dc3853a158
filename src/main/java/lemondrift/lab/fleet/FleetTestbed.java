package lemondrift.lab.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import lemondrift.lab.Baseline;
import lemondrift.lab.Experiment;
import lemondrift.lab.simulation.BackendFault;
import lemondrift.lab.simulation.BackendFaultInjector;
import lemondrift.lab.simulation.Fault;
import lemondrift.lab.simulation.RunResult;
import lemondrift.lab.simulation.Scenario;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.RequestClass;
import lemondrift.settings.InvalidSettingsException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Real proxies, and all else that there is around them: clients, backends, discovery and the ways
 * between. It plays one day after the other on the same processes; or without proxies, clients that
 * pick a backend themselves. What is seen is judged; docs/lab.md says how.
 */
public final class FleetTestbed implements AutoCloseable {
    /** Seconds of traffic before the first day counts and before another; the longest waits. */
    private static final double WARM = 5;

    private static final double WARM_AGAIN = 0.5;
    private static final double START = 180;
    private static final double END = 60;
    private static final double LOOKS = 0.1;

    /** What sets backends apart that hold as many. */
    private static final double TIE = 1e-3;

    /** Up to so many ways from proxy to backend each proxy has its own. */
    private static final int APART = 128;

    private final Experiment experiment;
    private final Scenario scenario;
    private final long seed;
    private final Consumer<String> progress;
    private final Path folder;
    private final XnioWorker worker;
    private final XnioIoThread io;
    private final RealTimeScheduler scheduler;
    private final CompletableFuture<Void> failed = new CompletableFuture<>();
    private final UniformRandomProvider random;
    private final OutcomeRecorder recorder;
    private final BackendFleet backendFleet;
    private final BackendFaultInjector faultInjector;
    private final ClientFleet clientFleet;

    /** Null where clients pick the backends themselves. */
    private final DiscoveryAgents agents;

    private final DatagramRelay datagramRelay;
    private final ProxyProcesses processes;
    private final ClientDistributor clientDistributor;
    private final ProcessFaultInjector processFaults;
    private final List<IdleClient> idleClients = new ArrayList<>();
    private final InetSocketAddress[] listenAddresses;
    private final InetSocketAddress[] gossipAddresses;
    private final int[] segments;
    private volatile FaultPlan faults;
    private boolean played;

    /**
     * Proxies are started by the launcher; where that is null, clients pick a backend as the policy
     * does.
     */
    public FleetTestbed(
            Experiment experiment,
            long seed,
            ProcessLauncher launcher,
            Baseline.Kind policy,
            Consumer<String> progress)
            throws IOException {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        this.experiment = experiment;
        this.seed = seed;
        this.progress = progress;
        scenario = experiment.day(seed);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        folder = Files.createTempDirectory("lemondrift-fleet");
        worker = createWorker();
        io = worker.getIoThread();
        scheduler = new RealTimeScheduler(io, failed::completeExceptionally);
        // Before the day nothing goes wrong.
        faults = faults(experiment.faults(), Double.POSITIVE_INFINITY);
        segments = faults.segments;
        recorder = new OutcomeRecorder(scenario, launcher == null ? 0 : 4, scheduler::now);
        listenAddresses = new InetSocketAddress[scenario.proxies()];
        gossipAddresses = new InetSocketAddress[scenario.proxies()];
        backendFleet =
                new BackendFleet(
                        scenario,
                        faults.heads.length,
                        experiment.connections(),
                        scheduler,
                        worker,
                        () -> faults,
                        recorder,
                        random);
        faultInjector =
                new BackendFaultInjector(
                        scheduler, random, backendFleet.backends, scenario.delay(), new Ends());
        backendFleet.fallen = i -> faultInjector.dies(i, true);
        if (launcher == null) {
            agents = null;
            datagramRelay = null;
            processes = null;
            clientDistributor = null;
            processFaults = null;
            clientFleet = crowd(i -> backendFleet.address(0, i), () -> picks(policy));
            return;
        }
        reserveAddresses();
        datagramRelay = new DatagramRelay(gossipAddresses, () -> faults, seed, scheduler::now);
        List<String> peers = new ArrayList<>();
        for (int p = 0; p < scenario.proxies(); p++) {
            peers.add(LoopbackAddresses.text(datagramRelay.address(p)));
        }
        agents =
                new DiscoveryAgents(
                        scenario,
                        backendFleet,
                        segments,
                        scheduler,
                        worker,
                        () -> faults,
                        recorder,
                        random);
        processes =
                new ProxyProcesses(
                        launcher,
                        folder,
                        scenario,
                        experiment.tells(),
                        experiment.recovers(),
                        peers);
        clientDistributor =
                new ClientDistributor(
                        scenario.proxies(),
                        experiment.uneven(),
                        p -> listenAddresses[p],
                        scheduler,
                        io,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 2));
        clientFleet = crowd(p -> listenAddresses[p], clientDistributor::pick);
        processFaults =
                new ProcessFaultInjector(
                        processes,
                        agents,
                        clientDistributor,
                        recorder,
                        scheduler,
                        listenAddresses,
                        gossipAddresses,
                        failed,
                        longestTimeoutSeconds(),
                        clientFleet::stays);
    }

    private static XnioWorker createWorker() throws IOException {
        return Xnio.getInstance()
                .createWorker(
                        OptionMap.builder()
                                .set(Options.WORKER_IO_THREADS, 1)
                                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                .set(Options.WORKER_NAME, "testbed")
                                .set(Options.THREAD_DAEMON, true)
                                .getMap());
    }

    /** Finds each proxy free loopback addresses for its clients and for its peers' datagrams. */
    private void reserveAddresses() throws IOException {
        for (int p = 0; p < scenario.proxies(); p++) {
            InetAddress host = LoopbackAddresses.address(LoopbackAddresses.PROXIES, p);
            listenAddresses[p] = LoopbackAddresses.free(host);
            gossipAddresses[p] = LoopbackAddresses.freeForDatagrams(host);
        }
    }

    private double longestTimeoutSeconds() {
        return scenario.settings()
                .activeClasses()
                .mapToDouble(RequestClass::timeoutSeconds)
                .max()
                .orElse(1);
    }

    private ClientFleet crowd(IntFunction<InetSocketAddress> address, IntSupplier pick) {
        return new ClientFleet(
                scenario,
                Long.toHexString(System.nanoTime()),
                address,
                pick,
                clientDistributor,
                scheduler,
                io,
                recorder,
                RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1),
                () -> faultInjector.traffic,
                () -> faultInjector.heavy);
    }

    private FaultPlan faults(List<Fault> all, double start) {
        return new FaultPlan(
                all,
                scenario.proxies(),
                scenario.backends(),
                scenario.settings().locationCount(),
                seed,
                scenario.proxies() * scenario.backends() <= APART,
                start);
    }

    /** What troubles do here beside what they do to the backends. */
    private final class Ends implements BackendFaultInjector.Host {
        private final long[] upSince = new long[scenario.backends()];

        @Override
        public void announce(int backend, EndpointUpdate.State state) {
            if (agents != null) {
                agents.tells(backend, state, upSince[backend]);
            }
        }

        @Override
        public void died(int backend, boolean tells) {
            backendFleet.died(backend, tells);
        }

        @Override
        public void restarted(int backend) {
            upSince[backend] = System.currentTimeMillis();
            backendFleet.restarted(backend);
        }

        @Override
        public void silenceDiscovery(double seconds) {
            if (agents != null) {
                agents.silent(seconds);
            }
        }
    }

    /**
     * A backend as a policy picks it without a proxy; among those that are up, which no proxy can
     * see.
     */
    private int picks(Baseline.Kind policy) {
        int[] up =
                IntStream.range(0, backendFleet.backends.length)
                        .filter(i -> backendFleet.backends[i].isFit())
                        .toArray();
        if (up.length == 0) {
            return -1;
        }
        int one = up[random.nextInt(up.length)];
        int other = up[random.nextInt(up.length)];
        return switch (policy) {
            case RANDOM -> one;
            case TWO_CHOICES -> clientFleet.out(other) < clientFleet.out(one) ? other : one;
            // What is on its way there counts as held: who did not see that would draw a herd.
            case ORACLE ->
                    Arrays.stream(up)
                            .boxed()
                            .min(
                                    Comparator.comparingDouble(
                                            i ->
                                                    clientFleet.out(i)
                                                                    * backendFleet.backends[i]
                                                                            .slowness()
                                                            + (i == one
                                                                    ? 0
                                                                    : TIE * random.nextDouble())))
                            .get();
            default ->
                    throw new InvalidSettingsException(
                            "on processes there are random, two_choices and oracle, not " + policy);
        };
    }

    /**
     * Starts all proxies, as many at once as there are processors, and returns when all are ready.
     */
    public void start() throws InterruptedException {
        if (processes == null) {
            return;
        }
        int atOnce = Runtime.getRuntime().availableProcessors();
        int begun = 0;
        for (double until = scheduler.now() + START; scheduler.now() < until; Thread.sleep(50)) {
            List<Integer> closed = ask(clientDistributor::closed);
            if (closed.isEmpty()) {
                progress.accept("all " + scenario.proxies() + " ready");
                return;
            }
            progress.accept(
                    "starting, "
                            + (scenario.proxies() - closed.size())
                            + " of "
                            + scenario.proxies());
            for (;
                    begun < scenario.proxies()
                            && closed.size() - (scenario.proxies() - begun) < atOnce;
                    begun++) {
                int p = begun;
                scheduler.soon(() -> processFaults.starts(p));
            }
            for (int p = 0; p < begun; p++) {
                if (processes.hasCrashed(p)) {
                    throw new IllegalStateException("proxy " + p + " did not start: " + log(p));
                }
            }
        }
        throw new IllegalStateException(
                "not ready within " + START + " s: proxies " + ask(clientDistributor::closed));
    }

    /** The last line that a proxy has logged. */
    private String log(int p) {
        try (Stream<String> lines = Files.lines(folder.resolve("n" + p + ".log"))) {
            return lines.reduce((one, next) -> next).orElse("no word");
        } catch (IOException | UncheckedIOException e) {
            return e.toString();
        }
    }

    /** Asks for something on the I/O thread. Throws what went wrong there, now or earlier. */
    private <T> T ask(Supplier<T> what) throws InterruptedException {
        CompletableFuture<T> answer = new CompletableFuture<>();
        scheduler.soon(() -> answer.complete(what.get()));
        try {
            CompletableFuture.anyOf(answer, failed).get((long) END, TimeUnit.SECONDS);
            return answer.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof InvalidSettingsException bad
                    ? bad
                    : new IllegalStateException(e.getCause());
        } catch (TimeoutException e) {
            throw new IllegalStateException("the stand stands still", e);
        }
    }

    /** What one day came to; broken is null where all rules were kept. */
    public record Played(RunResult figures, String broken) {}

    /** Plays the experiment's day. */
    public Played play() throws InterruptedException {
        return play(scenario.troubles(), experiment.faults(), scenario.lasts());
    }

    /**
     * Plays a day of so many seconds with these troubles and faults, and waits until nothing is
     * open.
     */
    public Played play(List<BackendFault> wrong, List<Fault> between, double lasts)
            throws InterruptedException {
        double start = scheduler.now() + (played ? WARM_AGAIN : WARM);
        played = true;
        faults = faults(between, start);
        progress.accept(faults.toString().isEmpty() ? "no faults" : faults.toString().strip());
        double[] cpu = new double[scenario.proxies()];
        long[] sent = new long[scenario.proxies()];
        long[] bytes = new long[scenario.proxies()];
        ask(
                () -> {
                    clientFleet.begins();
                    scheduler.at(
                            start,
                            () -> {
                                recorder.begins();
                                bears(start + lasts);
                                counts(() -> used(cpu, sent, bytes));
                                wrong.forEach(
                                        each ->
                                                scheduler.after(
                                                        each.at(),
                                                        () -> faultInjector.begins(each)));
                                if (processFaults != null) {
                                    faults.ofProcesses()
                                            .forEach(
                                                    each ->
                                                            scheduler.after(
                                                                    each.fault().at(),
                                                                    () ->
                                                                            processFaults.begins(
                                                                                    each)));
                                }
                            });
                    return null;
                });
        for (int at = -1; scheduler.now() < start + lasts; Thread.sleep(50)) {
            if ((int) (scheduler.now() - start) > at) {
                at = (int) (scheduler.now() - start);
                progress.accept(
                        "playing, "
                                + at
                                + " of "
                                + (int) lasts
                                + " s, open "
                                + ask(clientFleet::wanting));
            }
        }
        RunResult result = ask(recorder::ends);
        counts(() -> used(result, lasts, cpu, sent, bytes));
        ask(
                () -> {
                    clientFleet.stops();
                    return null;
                });
        for (double until = scheduler.now() + END;
                ask(clientFleet::wanting) > 0;
                Thread.sleep(50)) {
            if (scheduler.now() > until) {
                throw new IllegalStateException(
                        ask(clientFleet::wanting) + " wants are open after the day");
            }
        }
        awaitAll();
        return new Played(ask(recorder::served), ask(recorder::broken));
    }

    /** Looks from time to time at what the backends can do, to the end of the day. */
    private void bears(double end) {
        recorder.bears(backendFleet.capacity() * LOOKS / (scenario.work() * faultInjector.heavy));
        if (scheduler.now() + LOOKS < end) {
            scheduler.after(LOOKS, () -> bears(end));
        }
    }

    /** Waits until the front has taken all proxies in again. */
    private void awaitAll() throws InterruptedException {
        for (double until = scheduler.now() + END;
                processes != null && !ask(clientDistributor::closed).isEmpty();
                Thread.sleep(50)) {
            if (scheduler.now() > until) {
                List<Integer> closed = ask(clientDistributor::closed);
                throw new IllegalStateException(
                        "not back after the day: proxies "
                                + closed
                                + ", the first: "
                                + log(closed.get(0)));
            }
        }
    }

    /** What processes use is looked up where that may take its time. */
    private void counts(Runnable what) {
        if (processFaults != null) {
            processFaults.acts(what);
        }
    }

    private void used(double[] cpu, long[] sent, long[] bytes) {
        for (int p = 0; p < cpu.length; p++) {
            cpu[p] = processes.cpu(p);
            sent[p] = datagramRelay.sent(p);
            bytes[p] = datagramRelay.bytes(p);
        }
    }

    /** A process that was started meanwhile counts with what it has used since. */
    private void used(RunResult result, double lasts, double[] cpu, long[] sent, long[] bytes) {
        for (int p = 0; p < cpu.length; p++) {
            double now = processes.cpu(p);
            result.cpuShare += (now < cpu[p] ? now : now - cpu[p]) / lasts / cpu.length;
            result.memoryMegabytes = Math.max(result.memoryMegabytes, processes.memory(p));
            result.gossipMessages += datagramRelay.sent(p) - sent[p];
            result.gossipBytes += datagramRelay.bytes(p) - bytes[p];
        }
    }

    /**
     * So many clients connect to each proxy and say nothing, or half a request, until their time is
     * up; then others come in their place.
     */
    public void loiters(int many) throws InterruptedException {
        ask(
                () -> {
                    for (int p = 0; p < scenario.proxies(); p++) {
                        for (int i = 0; i < many; i++) {
                            idleClients.add(
                                    new IdleClient(listenAddresses[p], scheduler, io, random));
                        }
                    }
                    return null;
                });
    }

    /** Where clients find a proxy. */
    InetSocketAddress address(int proxy) {
        return listenAddresses[proxy];
    }

    /** Where the proxies' configurations and logs are, by their names. */
    Path folder() {
        return folder;
    }

    /** Has a proxy read its configuration again. */
    void hangUp(int proxy) {
        processFaults.acts(() -> processes.hangUp(proxy));
    }

    /** Ends the processes with SIGTERM; what went wrong at that, a line each. */
    public List<String> stop() throws InterruptedException {
        if (processes == null) {
            return List.of();
        }
        return processFaults.result(processes::stopAll);
    }

    @Override
    public void close() {
        idleClients.forEach(IdleClient::comesNoMore);
        if (processes != null) {
            processFaults.close();
            processes.close();
            datagramRelay.close();
        }
        scheduler.soon(
                () -> {
                    idleClients.forEach(IdleClient::close);
                    clientFleet.close();
                    backendFleet.close();
                    if (agents != null) {
                        agents.close();
                    }
                });
        worker.shutdown();
        try {
            worker.awaitTermination(1, TimeUnit.SECONDS);
            worker.shutdownNow();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        deletes();
    }

    private void deletes() {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(each -> each.toFile().delete());
        } catch (IOException | UncheckedIOException e) {
            progress.accept("left behind: " + folder);
        }
    }
}
