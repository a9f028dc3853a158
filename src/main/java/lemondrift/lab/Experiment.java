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
 * An experiment: a scenario with faults, the policies that are run on it with each seed, and the
 * expected figures of the module.
 *
 * @param name the name of the file without its extension
 * @param about one line that describes the experiment
 * @param scenario the scenario; its seed is replaced by each of the seeds
 * @param policies the names of the policies, the module first
 * @param seeds the seeds; each policy makes one run with each of them
 * @param expectations the conditions that each run of the module must meet
 * @param gossipEnabled whether the proxies of the module use gossip
 * @param recoveryEnabled whether proxies request the measurements of their peers after their start;
 *     only effective with gossip
 * @param host the environment of the runs
 * @param trafficLogStandardDeviation the standard deviation of the logarithm of a proxy's share of
 *     the traffic; 0 means equal shares; only on processes
 * @param maxConnectionsPerBackend the maximum number of open connections of a backend; 0 means no
 *     limit; only on processes
 * @param faults the faults of processes and channels; only on processes
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
    /** The environment of an experiment's runs. */
    public enum Host {
        /** A simulation in virtual time, in one thread. */
        VIRTUAL,
        /** Real processes and sockets. */
        PROCESSES
    }

    /** The name of the decision module among the policies. */
    public static final String MODULE = "module";

    /** The names of the lab's request classes, by index. */
    public static final List<String> REQUEST_CLASS_NAMES = List.of("look", "order", "book");

    /** The timeout of all request classes, as a multiple of their latency objective. */
    private static final double TIMEOUT_OBJECTIVES = 2.4;

    /** How long backends recognize an idempotency key, as a multiple of the latency objective. */
    private static final double KEY_TTL_OBJECTIVES = 1.2;

    /**
     * The distance between the proxy seeds of two consecutive run seeds. It is larger than the
     * maximum number of proxies, so that no two proxies share a seed.
     */
    private static final long SEEDS_PER_RUN = 1000;

    /** The cost of sending a request to another zone, as a share of the cost of a request. */
    private static final double CROSS_ZONE_COST = 0.01;

    /** Responses contain utilization and requests in flight, but no request rate. */
    private static final Settings.LoadReports LOAD_REPORTS =
            new Settings.LoadReports(true, 0, 1, false, -1);

    /**
     * Cancellations and probes allowed, at most four attempts per request, retry-after of 0.5 s.
     */
    private static final Settings.Limits LIMITS = new Settings.Limits(true, true, 4, 0.5);

    /** Slow start from 30% over 6 s; a cold backend can handle 3 times its capacity within 2 s. */
    private static final Settings.Rules RULES = new Settings.Rules(0.3, 6, 3, 2, 10);

    /** Creates the lab's request classes, named by {@link #REQUEST_CLASS_NAMES}. */
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

    /** How a figure is compared with a bound. */
    public enum Comparison {
        /** The figure is greater than or equal to the bound. */
        AT_LEAST(">="),
        /** The figure is less than or equal to the bound. */
        AT_MOST("<="),
        /** The figure is equal to the bound. */
        EQUAL("==");

        private final String symbol;

        Comparison(String symbol) {
            this.symbol = symbol;
        }

        /** Returns the comparison with a symbol; empty if there is none. */
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
        /** Returns whether a run meets the expectation; false if a rule violation ended the run. */
        public boolean isMetBy(RunResult result) {
            return comparison.test(figure.readFrom(result), bound);
        }

        @Override
        public String toString() {
            return figure.key() + " " + comparison.symbol + " " + bound;
        }
    }

    /**
     * One run of one policy. Reports contain the components as JSON.
     *
     * @param ruleViolation the message of the rule violation that ended the run; null if there was
     *     none
     */
    public record Run(
            String policy,
            long seed,
            @JsonProperty("figures") RunResult result,
            @JsonProperty("broken") String ruleViolation) {}

    /**
     * Creates the settings of the lab's proxies.
     *
     * @param probeCost the cost of a probe, as a share of the cost of a request
     * @param latencyObjectiveSeconds the latency objective of all request classes
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

    /** Runs the scenario in virtual time, each policy with each seed, one after the other. */
    public List<Run> run() {
        List<Run> runs = new ArrayList<>();
        for (String policy : policies) {
            for (long seed : seeds) {
                runs.add(run(policy, seed));
            }
        }
        return runs;
    }

    /** Returns the scenario with a seed. */
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
        Settings proxySettings = settings.withLocation(proxy % settings.locationCount());
        long seed = proxySeed(scenario, proxy);
        ModuleUnderTest module = new ModuleUnderTest(proxySettings, seed, proxy, gossipEnabled);
        return recoveryEnabled && gossipEnabled ? module.enableRecovery(proxySettings) : module;
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
