package lemondrift.lab;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import lemondrift.lab.simulation.Fault;
import lemondrift.lab.simulation.Referee;
import lemondrift.lab.simulation.RunResult;
import lemondrift.lab.simulation.Scenario;
import lemondrift.lab.simulation.Simulation;
import lemondrift.model.DeduplicationScope;
import lemondrift.model.Idempotency;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;

/**
 * A scenario with faults, the policies that play it with each seed, and what is expected of the
 * module.
 *
 * @param name the file's name without its ending
 * @param about one line on what it shows
 * @param scenario the scenario; its seed is replaced by each of the seeds
 * @param policies the names of the policies, the module first
 * @param seeds each policy plays one run for each
 * @param expectations what must hold of each run of the module
 * @param gossipEnabled whether the module's proxies use gossip
 * @param recoveryEnabled whether they ask one another after their start for what they have
 *     measured, where they use gossip
 * @param host what it is played on
 * @param trafficLogStandardDeviation the standard deviation of the logarithm of a proxy's share of
 *     traffic, on processes; 0 is even
 * @param maxConnectionsPerBackend how many connections a backend holds at once, on processes; 0 is
 *     any number
 * @param faults the faults of the processes and between them
 */
public record Experiment(
        String name,
        String about,
        Scenario scenario,
        List<String> policies,
        List<Long> seeds,
        List<Expectation> expectations,
        boolean gossipEnabled,
        boolean recoveryEnabled,
        Host host,
        double trafficLogStandardDeviation,
        int maxConnectionsPerBackend,
        List<Fault> faults) {
    /** What an experiment is played on. */
    public enum Host {
        /** Virtual time, in one thread. */
        VIRTUAL,
        /** Real processes and sockets. */
        PROCESSES
    }

    /** The module's name among the policies. */
    public static final String MODULE = "module";

    /** The names of the lab's request classes, by their index. */
    public static final List<String> REQUEST_CLASS_NAMES = List.of("look", "order", "book");

    /** Deadline of all request classes, over their latency objective. */
    private static final double TIMEOUT_OBJECTIVES = 2.4;

    /** How long backends recognize an idempotency key, over the latency objective. */
    private static final double KEY_TTL_OBJECTIVES = 1.2;

    /** How far the seeds of the proxies of two runs are apart; more proxies than a run may have. */
    private static final long SEEDS_PER_RUN = 1000;

    /** What a request sent to another zone costs, as a share of a request. */
    private static final double CROSS_ZONE_COST = 0.01;

    /** Responses carry utilization and requests in flight, and no request rate. */
    private static final Settings.LoadReports LOAD_REPORTS =
            new Settings.LoadReports(true, 0, 1, false, -1);

    /** Cancellations and probes, four attempts for each request, retry-after of half a second. */
    private static final Settings.Limits LIMITS = new Settings.Limits(true, true, 4, 0.5);

    /** Slow start from 30% over 6 s; a cold backend bears 3 times its capacity over 2 s. */
    private static final Settings.Rules RULES = new Settings.Rules(0.3, 6, 3, 2, 10);

    /** The lab's own request classes, named by {@link #REQUEST_CLASS_NAMES}. */
    private static List<RequestClass> requestClasses(double latencyObjectiveSeconds) {
        return List.of(
                requestClass(
                        1,
                        latencyObjectiveSeconds,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0),
                requestClass(
                        3,
                        latencyObjectiveSeconds,
                        Idempotency.IDEMPOTENT_WITH_KEY,
                        DeduplicationScope.LOCATION,
                        KEY_TTL_OBJECTIVES * latencyObjectiveSeconds),
                requestClass(
                        9,
                        latencyObjectiveSeconds,
                        Idempotency.NOT_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0));
    }

    private static RequestClass requestClass(
            double priorityWeight,
            double latencyObjectiveSeconds,
            Idempotency idempotency,
            DeduplicationScope scope,
            double keyTtlSeconds) {
        return new RequestClass(
                priorityWeight,
                0,
                latencyObjectiveSeconds,
                TIMEOUT_OBJECTIVES * latencyObjectiveSeconds,
                idempotency,
                scope,
                keyTtlSeconds);
    }

    /** How a figure is compared with its bound. */
    public enum Comparison {
        /** The figure is the bound or more. */
        AT_LEAST(">="),
        /** The figure is the bound or less. */
        AT_MOST("<="),
        /** The figure is the bound. */
        EQUAL("==");

        private final String symbol;

        Comparison(String symbol) {
            this.symbol = symbol;
        }

        /** The comparison with a symbol; empty where there is none. */
        static Optional<Comparison> bySymbol(String symbol) {
            return Arrays.stream(values()).filter(each -> each.symbol.equals(symbol)).findFirst();
        }

        private boolean test(double value, double bound) {
            return switch (this) {
                case AT_LEAST -> value >= bound;
                case AT_MOST -> value <= bound;
                case EQUAL -> value == bound;
            };
        }
    }

    /** A bound on one figure of a run. */
    public record Expectation(Figure figure, Comparison comparison, double bound) {
        /** Whether it holds of a run; of one that a broken rule has ended it does not. */
        public boolean isMetBy(RunResult result) {
            return comparison.test(figure.readFrom(result), bound);
        }

        @Override
        public String toString() {
            return figure.key() + " " + comparison.symbol + " " + bound;
        }
    }

    /**
     * One run of one policy, which reports give by these names.
     *
     * @param ruleViolation the message of the broken rule that ended it; null where all were kept
     */
    public record Run(
            String policy,
            long seed,
            @JsonProperty("figures") RunResult result,
            @JsonProperty("broken") String ruleViolation) {}

    /**
     * The settings of the lab's proxies.
     *
     * @param probeCost what a probe costs, as a share of a request
     * @param latencyObjectiveSeconds of all request classes
     */
    public static Settings settings(
            int proxies, int locations, double probeCost, double latencyObjectiveSeconds) {
        return new Settings(
                proxies,
                locations,
                0,
                false,
                requestClasses(latencyObjectiveSeconds),
                new double[0],
                1,
                false,
                LOAD_REPORTS,
                LIMITS,
                RULES,
                new Settings.Costs(CROSS_ZONE_COST, probeCost));
    }

    /** Plays the scenario in virtual time, each policy with each seed, one after the other. */
    public List<Run> run() {
        List<Run> runs = new ArrayList<>();
        for (String policy : policies) {
            for (long seed : seeds) {
                runs.add(run(policy, seed));
            }
        }
        return runs;
    }

    /** The scenario with a seed. */
    public Scenario day(long seed) {
        return scenario.withSeed(seed);
    }

    private Run run(String policy, long seed) {
        Simulation simulation =
                policy.equals(MODULE)
                        ? createModuleSimulation(day(seed))
                        : createBaselineSimulation(baselineKind(policy), day(seed));
        try {
            return new Run(policy, seed, simulation.run(), null);
        } catch (Referee.RuleViolationException e) {
            return new Run(policy, seed, simulation.resultSoFar(), e.getMessage());
        }
    }

    private static Baseline.Kind baselineKind(String policy) {
        return Baseline.Kind.valueOf(policy.toUpperCase(Locale.ROOT));
    }

    private Simulation createModuleSimulation(Scenario scenario) {
        return new Simulation(scenario, (proxy, trueLoad) -> createModule(scenario, proxy));
    }

    private ModuleUnderTest createModule(Scenario scenario, int proxy) {
        Settings settings = scenario.settings();
        Settings ofProxy = settings.withLocation(proxy % settings.locationCount());
        long seed = proxySeed(scenario, proxy);
        ModuleUnderTest module = new ModuleUnderTest(ofProxy, seed, proxy, gossipEnabled);
        return recoveryEnabled && gossipEnabled ? module.enableRecovery(ofProxy) : module;
    }

    private static Simulation createBaselineSimulation(Baseline.Kind kind, Scenario scenario) {
        return new Simulation(
                scenario,
                Referee.BASELINE_RULE_COUNT,
                (proxy, trueLoad) ->
                        new Baseline(
                                kind, scenario.settings(), proxySeed(scenario, proxy), trueLoad));
    }

    private static long proxySeed(Scenario scenario, int proxy) {
        return scenario.seed() * SEEDS_PER_RUN + proxy;
    }
}
