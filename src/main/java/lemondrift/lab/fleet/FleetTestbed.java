package lemondrift.lab.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
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
    private final Scenario day;
    private final long seed;
    private final Consumer<String> progress;
    private final Path folder;
    private final XnioWorker worker;
    private final XnioIoThread io;
    private final RealTimeScheduler agenda;
    private final CompletableFuture<Void> failed = new CompletableFuture<>();
    private final UniformRandomProvider chance;
    private final OutcomeRecorder judge;
    private final BackendFleet bank;
    private final BackendFaultInjector troubles;
    private final ClientFleet crowd;

    /** Null where clients pick the backends themselves. */
    private final DiscoveryAgents agents;

    private final DatagramRelay mail;
    private final ProxyProcesses processes;
    private final ClientDistributor doors;
    private final ProcessFaultInjector outages;
    private final List<IdleClient> loiterers = new ArrayList<>();
    private final InetSocketAddress[] listens;
    private final InetSocketAddress[] hears;
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
        day = experiment.day(seed);
        chance = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        folder = Files.createTempDirectory("lemondrift-fleet");
        worker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .set(Options.WORKER_NAME, "stand")
                                        .set(Options.THREAD_DAEMON, true)
                                        .getMap());
        io = worker.getIoThread();
        agenda = new RealTimeScheduler(io, failed::completeExceptionally);
        // Before the day nothing goes wrong.
        faults = faults(experiment.faults(), Double.POSITIVE_INFINITY);
        segments = faults.segments;
        judge = new OutcomeRecorder(day, launcher == null ? 0 : 4, agenda::now);
        listens = new InetSocketAddress[day.proxies()];
        hears = new InetSocketAddress[day.proxies()];
        bank =
                new BackendFleet(
                        day,
                        faults.heads.length,
                        experiment.connections(),
                        agenda,
                        worker,
                        () -> faults,
                        judge,
                        chance);
        troubles = new BackendFaultInjector(agenda, chance, bank.backends, day.delay(), new Ends());
        bank.fallen = i -> troubles.dies(i, true);
        if (launcher == null) {
            agents = null;
            mail = null;
            processes = null;
            doors = null;
            outages = null;
            crowd = crowd(i -> bank.address(0, i), () -> picks(policy));
            return;
        }
        List<String> peers = new ArrayList<>();
        for (int p = 0; p < day.proxies(); p++) {
            listens[p] =
                    LoopbackAddresses.free(LoopbackAddresses.address(LoopbackAddresses.PROXIES, p));
            hears[p] =
                    LoopbackAddresses.freeForDatagrams(
                            LoopbackAddresses.address(LoopbackAddresses.PROXIES, p));
        }
        mail = new DatagramRelay(hears, () -> faults, seed, agenda::now);
        for (int p = 0; p < day.proxies(); p++) {
            peers.add(LoopbackAddresses.text(mail.address(p)));
        }
        agents =
                new DiscoveryAgents(
                        day, bank, segments, agenda, worker, () -> faults, judge, chance);
        processes =
                new ProxyProcesses(
                        launcher, folder, day, experiment.tells(), experiment.recovers(), peers);
        doors =
                new ClientDistributor(
                        day.proxies(),
                        experiment.uneven(),
                        p -> listens[p],
                        agenda,
                        io,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 2));
        crowd = crowd(p -> listens[p], doors::pick);
        outages =
                new ProcessFaultInjector(
                        processes,
                        agents,
                        doors,
                        judge,
                        agenda,
                        listens,
                        hears,
                        failed,
                        day.settings()
                                .activeClasses()
                                .mapToDouble(RequestClass::timeoutSeconds)
                                .max()
                                .orElse(1),
                        crowd::stays);
    }

    private ClientFleet crowd(IntFunction<InetSocketAddress> address, IntSupplier pick) {
        return new ClientFleet(
                day,
                Long.toHexString(System.nanoTime()),
                address,
                pick,
                doors,
                agenda,
                io,
                judge,
                RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1),
                () -> troubles.traffic,
                () -> troubles.heavy);
    }

    private FaultPlan faults(List<Fault> all, double start) {
        return new FaultPlan(
                all,
                day.proxies(),
                day.backends(),
                day.settings().locationCount(),
                seed,
                day.proxies() * day.backends() <= APART,
                start);
    }

    /** What troubles do here beside what they do to the backends. */
    private final class Ends implements BackendFaultInjector.Host {
        private final long[] upSince = new long[day.backends()];

        @Override
        public void tells(int backend, EndpointUpdate.State state) {
            if (agents != null) {
                agents.tells(backend, state, upSince[backend]);
            }
        }

        @Override
        public void died(int backend, boolean tells) {
            bank.died(backend, tells);
        }

        @Override
        public void restarted(int backend) {
            upSince[backend] = System.currentTimeMillis();
            bank.restarted(backend);
        }

        @Override
        public void silent(double seconds) {
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
                IntStream.range(0, bank.backends.length)
                        .filter(i -> bank.backends[i].isFit())
                        .toArray();
        if (up.length == 0) {
            return -1;
        }
        int one = up[chance.nextInt(up.length)];
        int other = up[chance.nextInt(up.length)];
        return switch (policy) {
            case RANDOM -> one;
            case TWO_CHOICES -> crowd.out(other) < crowd.out(one) ? other : one;
            // What is on its way there counts as held: who did not see that would draw a herd.
            case ORACLE ->
                    Arrays.stream(up)
                            .boxed()
                            .min(
                                    Comparator.comparingDouble(
                                            i ->
                                                    crowd.out(i) * bank.backends[i].slowness()
                                                            + (i == one
                                                                    ? 0
                                                                    : TIE * chance.nextDouble())))
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
        for (double until = agenda.now() + START; agenda.now() < until; Thread.sleep(50)) {
            List<Integer> closed = ask(doors::closed);
            if (closed.isEmpty()) {
                progress.accept("all " + day.proxies() + " ready");
                return;
            }
            progress.accept(
                    "starting, " + (day.proxies() - closed.size()) + " of " + day.proxies());
            for (;
                    begun < day.proxies() && closed.size() - (day.proxies() - begun) < atOnce;
                    begun++) {
                int p = begun;
                agenda.soon(() -> outages.starts(p));
            }
            for (int p = 0; p < begun; p++) {
                if (processes.hasCrashed(p)) {
                    throw new IllegalStateException("proxy " + p + " did not start: " + log(p));
                }
            }
        }
        throw new IllegalStateException(
                "not ready within " + START + " s: proxies " + ask(doors::closed));
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
        agenda.soon(() -> answer.complete(what.get()));
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
        return play(day.troubles(), experiment.faults(), day.lasts());
    }

    /**
     * Plays a day of so many seconds with these troubles and faults, and waits until nothing is
     * open.
     */
    public Played play(List<BackendFault> wrong, List<Fault> between, double lasts)
            throws InterruptedException {
        double start = agenda.now() + (played ? WARM_AGAIN : WARM);
        played = true;
        faults = faults(between, start);
        progress.accept(faults.toString().isEmpty() ? "no faults" : faults.toString().strip());
        double[] cpu = new double[day.proxies()];
        long[] sent = new long[day.proxies()];
        long[] bytes = new long[day.proxies()];
        ask(
                () -> {
                    crowd.begins();
                    agenda.at(
                            start,
                            () -> {
                                judge.begins();
                                bears(start + lasts);
                                counts(() -> used(cpu, sent, bytes));
                                wrong.forEach(
                                        each -> agenda.in(each.at(), () -> troubles.begins(each)));
                                if (outages != null) {
                                    faults.ofProcesses()
                                            .forEach(
                                                    each ->
                                                            agenda.in(
                                                                    each.fault().at(),
                                                                    () -> outages.begins(each)));
                                }
                            });
                    return null;
                });
        for (int at = -1; agenda.now() < start + lasts; Thread.sleep(50)) {
            if ((int) (agenda.now() - start) > at) {
                at = (int) (agenda.now() - start);
                progress.accept(
                        "playing, "
                                + at
                                + " of "
                                + (int) lasts
                                + " s, open "
                                + ask(crowd::wanting));
            }
        }
        RunResult figures = ask(judge::ends);
        counts(() -> used(figures, lasts, cpu, sent, bytes));
        ask(
                () -> {
                    crowd.stops();
                    return null;
                });
        for (double until = agenda.now() + END; ask(crowd::wanting) > 0; Thread.sleep(50)) {
            if (agenda.now() > until) {
                throw new IllegalStateException(
                        ask(crowd::wanting) + " wants are open after the day");
            }
        }
        awaitAll();
        return new Played(ask(judge::served), ask(judge::broken));
    }

    /** Looks from time to time at what the backends can do, to the end of the day. */
    private void bears(double end) {
        judge.bears(bank.capacity() * LOOKS / (day.work() * troubles.heavy));
        if (agenda.now() + LOOKS < end) {
            agenda.in(LOOKS, () -> bears(end));
        }
    }

    /** Waits until the front has taken all proxies in again. */
    private void awaitAll() throws InterruptedException {
        for (double until = agenda.now() + END;
                processes != null && !ask(doors::closed).isEmpty();
                Thread.sleep(50)) {
            if (agenda.now() > until) {
                List<Integer> closed = ask(doors::closed);
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
        if (outages != null) {
            outages.acts(what);
        }
    }

    private void used(double[] cpu, long[] sent, long[] bytes) {
        for (int p = 0; p < cpu.length; p++) {
            cpu[p] = processes.cpu(p);
            sent[p] = mail.sent(p);
            bytes[p] = mail.bytes(p);
        }
    }

    /** A process that was started meanwhile counts with what it has used since. */
    private void used(RunResult figures, double lasts, double[] cpu, long[] sent, long[] bytes) {
        for (int p = 0; p < cpu.length; p++) {
            double now = processes.cpu(p);
            figures.cpu += (now < cpu[p] ? now : now - cpu[p]) / lasts / cpu.length;
            figures.memory = Math.max(figures.memory, processes.memory(p));
            figures.messages += mail.sent(p) - sent[p];
            figures.told += mail.bytes(p) - bytes[p];
        }
    }

    /**
     * So many clients connect to each proxy and say nothing, or half a request, until their time is
     * up; then others come in their place.
     */
    public void loiters(int many) throws InterruptedException {
        ask(
                () -> {
                    for (int p = 0; p < day.proxies(); p++) {
                        for (int i = 0; i < many; i++) {
                            loiterers.add(new IdleClient(listens[p], agenda, io, chance));
                        }
                    }
                    return null;
                });
    }

    /** Where clients find a proxy. */
    InetSocketAddress address(int proxy) {
        return listens[proxy];
    }

    /** Where the proxies' configurations and logs are, by their names. */
    Path folder() {
        return folder;
    }

    /** Has a proxy read its configuration again. */
    void hangUp(int proxy) {
        outages.acts(() -> processes.hangUp(proxy));
    }

    /** Ends the processes with SIGTERM; what went wrong at that, a line each. */
    public List<String> stop() throws InterruptedException {
        if (processes == null) {
            return List.of();
        }
        return outages.result(processes::stopAll);
    }

    @Override
    public void close() {
        loiterers.forEach(IdleClient::comesNoMore);
        if (processes != null) {
            outages.close();
            processes.close();
            mail.close();
        }
        agenda.soon(
                () -> {
                    loiterers.forEach(IdleClient::close);
                    crowd.close();
                    bank.close();
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
