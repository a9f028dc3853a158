package lemondrift.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import lemondrift.lab.Experiment;
import lemondrift.lab.simulation.BackendFault;
import lemondrift.lab.simulation.Fault;
import lemondrift.lab.simulation.FaultTarget;
import lemondrift.lab.simulation.Scenario;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Draws one soak run from a seed. The order of the draws must not change: in another order, a seed
 * would give a different run.
 */
final class SoakPlanner {
    /** The duration of a run. */
    private static final double RUN_SECONDS = 14;

    /** The time at the start of a run in which no fault begins. */
    private static final double QUIET_START_SECONDS = 0.5;

    /** The time at the end of a run in which no fault begins. */
    private static final double QUIET_END_SECONDS = 4;

    /** The possible numbers of backends; one of them is drawn. */
    private static final int[] BACKEND_COUNTS = {6, 24, 120, 400};

    /** The possible latency objectives; one of them is drawn for all request classes. */
    private static final double[] LATENCY_OBJECTIVE_SECONDS = {0.25, 0.4, 0.8, 1.2};

    /** The number of locations among which proxies and backends are distributed. */
    private static final int LOCATIONS = 2;

    /** The highest share of the backends' capacity that the requests use. */
    private static final double MAX_LOAD = 0.4;

    /** The number of idle clients per proxy in a run that has idle clients. */
    private static final int IDLE_CLIENTS_PER_PROXY = 150;

    /** The probability that a run has idle clients. */
    private static final double IDLE_CLIENTS_PROBABILITY = 0.4;

    /** The share of datagrams that a fault of lost datagrams drops. */
    private static final double LOSS_SHARE = 0.3;

    private final long seed;
    private final UniformRandomProvider random;

    SoakPlanner(long seed) {
        this.seed = seed;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /**
     * Draws the run. To be called only once for each planner.
     *
     * @param withSignals whether signals in series and interrupted starts are added
     */
    SoakRun.Plan draw(boolean withSignals) {
        int proxies = 3 + random.nextInt(3);
        Scenario scenario = drawScenario(proxies);
        List<Fault> faults = drawFaults(proxies);
        boolean hasIdleClients = random.nextDouble() < IDLE_CLIENTS_PROBABILITY;
        if (withSignals) {
            faults.addAll(drawSignalFaults(proxies));
        }
        Experiment experiment =
                new Experiment(
                        "soak-" + seed,
                        "",
                        scenario,
                        List.of(),
                        List.of(seed),
                        List.of(),
                        true,
                        true,
                        Experiment.Host.PROCESSES,
                        0,
                        0,
                        faults);
        return new SoakRun.Plan(seed, experiment, hasIdleClients ? IDLE_CLIENTS_PER_PROXY : 0);
    }

    /**
     * Draws the faults with signals. Must follow all draws of a run without signals, so that the
     * rest of a seed's run stays the same.
     */
    private List<Fault> drawSignalFaults(int proxies) {
        return List.of(
                drawProcessFault(Fault.Kind.SIGNAL_SERIES, drawProxy(proxies), 0.5, 3),
                drawProcessFault(Fault.Kind.INTERRUPTED_START, drawProxy(proxies), 0.1, 1));
    }

    private Scenario drawScenario(int proxies) {
        int backends = BACKEND_COUNTS[random.nextInt(BACKEND_COUNTS.length)];
        double latencyObjective =
                LATENCY_OBJECTIVE_SECONDS[random.nextInt(LATENCY_OBJECTIVE_SECONDS.length)];
        double rate = proxies * drawBetween(10, 50);
        double workSeconds = Math.min(drawBetween(0.02, 0.1), MAX_LOAD * backends / rate);
        return new Scenario(
                Experiment.settings(proxies, LOCATIONS, 0.08, latencyObjective),
                proxies,
                backends,
                1,
                rate,
                workSeconds,
                0.5,
                3,
                0,
                0.1,
                2,
                RUN_SECONDS,
                seed,
                drawBackendFaults());
    }

    private double drawBetween(double min, double max) {
        return min + (max - min) * random.nextDouble();
    }

    private double drawStart() {
        return drawBetween(QUIET_START_SECONDS, RUN_SECONDS - QUIET_END_SECONDS);
    }

    private List<BackendFault> drawBackendFaults() {
        int count = 1 + random.nextInt(3);
        List<BackendFault> faults = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            faults.add(drawBackendFault());
        }
        return faults;
    }

    private BackendFault drawBackendFault() {
        return switch (random.nextInt(8)) {
            case 0 -> drawFaultOfSomeBackends(BackendFault.Kind.DEPLOY, 3, 6, 0.3, 0.7, 1);
            case 1 -> drawFaultOfSomeBackends(BackendFault.Kind.CRASH, 0.5, 4, 0.1, 0.3, 1);
            case 2 -> drawFaultOfSomeBackends(BackendFault.Kind.VANISH, 0.5, 4, 0.1, 0.3, 1);
            case 3 -> drawFaultOfSomeBackends(BackendFault.Kind.STALL, 0.5, 4, 0.2, 0.6, 1);
            case 4 -> drawFaultOfSomeBackends(BackendFault.Kind.SLOW, 2, 5, 0.1, 0.3, 5);
            case 5 -> drawFaultOfSomeBackends(BackendFault.Kind.ERRORS, 1, 4, 0.1, 0.3, 0.5);
            case 6 -> drawFaultOfAllBackends(BackendFault.Kind.BURST, 0.5, 2, 3);
            default -> drawFaultOfAllBackends(BackendFault.Kind.SILENCE, 1, 5, 1);
        };
    }

    private BackendFault drawFaultOfSomeBackends(
            BackendFault.Kind kind,
            double minSeconds,
            double maxSeconds,
            double minShare,
            double maxShare,
            double strength) {
        double start = drawStart();
        double seconds = drawBetween(minSeconds, maxSeconds);
        double share = drawBetween(minShare, maxShare);
        return new BackendFault(kind, start, seconds, share, strength);
    }

    private BackendFault drawFaultOfAllBackends(
            BackendFault.Kind kind, double minSeconds, double maxSeconds, double strength) {
        double start = drawStart();
        double seconds = drawBetween(minSeconds, maxSeconds);
        return new BackendFault(kind, start, seconds, 1, strength);
    }

    /**
     * Draws the faults of processes and channels. At least one process gets SIGTERM in each run.
     */
    private List<Fault> drawFaults(int proxies) {
        List<Fault> faults = new ArrayList<>();
        faults.add(drawProcessFault(Fault.Kind.TERMINATE, drawProxy(proxies), 0.5, 3));
        int additionalCount = 1 + random.nextInt(3);
        for (int i = 0; i < additionalCount; i++) {
            faults.add(drawFault(drawProxy(proxies)));
        }
        return faults;
    }

    private String drawProxy(int proxies) {
        return "number " + random.nextInt(proxies);
    }

    private Fault drawFault(String proxy) {
        return switch (random.nextInt(8)) {
            case 0 -> drawProcessFault(Fault.Kind.TERMINATE, "50%", 0.5, 3);
            case 1 -> drawProcessFault(Fault.Kind.KILL, proxy, 0.2, 2);
            case 2 -> drawProcessFault(Fault.Kind.PAUSE, proxy, 0.1, 1);
            case 3, 4 -> drawProcessFault(Fault.Kind.HANG_UP, "all", 0.01, 2);
            case 5 -> drawChannelFault(Fault.Channel.DISCOVERY, Fault.Kind.CUT, proxy);
            case 6 -> drawChannelFault(Fault.Channel.DATAGRAMS, Fault.Kind.CUT, proxy);
            default -> drawChannelFault(Fault.Channel.DATAGRAMS, Fault.Kind.LOSE, "all");
        };
    }

    private Fault drawProcessFault(
            Fault.Kind kind, String target, double minSeconds, double maxSeconds) {
        double seconds = drawBetween(minSeconds, maxSeconds);
        return new Fault(
                kind,
                Fault.Channel.DATAGRAMS,
                FaultTarget.parse(target),
                FaultTarget.ALL,
                false,
                drawStart(),
                seconds,
                1,
                0);
    }

    private Fault drawChannelFault(Fault.Channel channel, Fault.Kind kind, String target) {
        double seconds = drawBetween(1, 5);
        return new Fault(
                kind,
                channel,
                FaultTarget.parse(target),
                FaultTarget.ALL,
                channel == Fault.Channel.DATAGRAMS,
                drawStart(),
                seconds,
                kind == Fault.Kind.LOSE ? LOSS_SHARE : 1,
                0);
    }
}
