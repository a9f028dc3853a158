package lemondrift.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
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
 * A world, its troubles, who decides in it, by which seeds, and what is expected of the module.
 *
 * @param name the file's name without its ending
 * @param about one line on what it shows
 * @param policies who decides, the module first
 * @param seeds each policy plays one day for each
 * @param expects what must hold of the module's every day
 * @param tells whether the module's proxies tell one another what they have out
 * @param recovers whether they ask one another after their start, where they tell
 * @param host what it is played on
 * @param uneven the deviation of the logarithm of a proxy's share of traffic, on processes; 0 is
 *     even
 * @param connections that a backend holds at once, on processes; 0 is any number
 * @param faults what goes wrong with and between the processes
 */
public record Experiment(
        String name,
        String about,
        Scenario day,
        List<String> policies,
        List<Long> seeds,
        List<Expectation> expects,
        boolean tells,
        boolean recovers,
        Host host,
        double uneven,
        int connections,
        List<Fault> faults) {
    /** Virtual time, or real processes and sockets. */
    public enum Host {
        VIRTUAL,
        PROCESSES
    }

    /** The module's name among the policies. */
    public static final String MODULE = "module";

    /** The names of the lab's request classes. */
    public static final List<String> GRADES = List.of("look", "order", "book");

    /**
     * Grades of the lab's own: a look, an order with a mark, and a booking that must never run
     * twice.
     */
    private static List<RequestClass> grades(double contract) {
        double expiry = 2.4 * contract;
        double memory = 1.2 * contract;
        return List.of(
                new RequestClass(
                        1, 0, contract, expiry, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0),
                new RequestClass(
                        3,
                        0,
                        contract,
                        expiry,
                        Idempotency.IDEMPOTENT_WITH_KEY,
                        DeduplicationScope.LOCATION,
                        memory),
                new RequestClass(
                        9,
                        0,
                        contract,
                        expiry,
                        Idempotency.NOT_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0));
    }

    /** One figure of a day held against a bound. */
    public record Expectation(String figure, String sign, double bound) {
        /** Whether it holds of a day. */
        public boolean holds(RunResult result) {
            double value = value(figure, result);
            return switch (sign) {
                case ">=" -> value >= bound;
                case "<=" -> value <= bound;
                default -> value == bound;
            };
        }

        @Override
        public String toString() {
            return figure + " " + sign + " " + bound;
        }
    }

    /** One day that one policy played; broken is null where all rules were kept. */
    public record Run(String policy, long seed, RunResult figures, String broken) {}

    /** The figures that an expectation may name, and how each is read. */
    private static final Map<String, ToDoubleFunction<RunResult>> READ = new LinkedHashMap<>();

    static {
        READ.put("service", RunResult::service);
        READ.put("in_time", RunResult::inTimeShare);
        READ.put("unanswered", result -> result.unanswered);
        READ.put("late", result -> result.late);
        READ.put("shed", result -> result.rejected);
        READ.put("scrapped", result -> result.failed);
        READ.put("fallen", result -> result.overloadedColdBackends);
        READ.put(
                "forwards_per_exchange",
                result -> (double) result.attempts / Math.max(1, result.accepted));
        READ.put("waste", result -> result.evenness.waste());
        READ.put("fullest", result -> result.evenness.fullest());
        READ.put("herd", result -> result.evenness.herd());
        READ.put("longest_idle", result -> result.evenness.longestIdle());
        READ.put("least_share", result -> result.evenness.least());
        READ.put("most_share", result -> result.evenness.most());
        READ.put("crashed", result -> result.crashed);
        READ.put("of_bearable", RunResult::ofBearable);
        READ.put("back_after", RunResult::backAfter);
    }

    public static final List<String> FIGURES = List.copyOf(READ.keySet());

    /** A figure of a day by its name; a day that a broken rule has ended has not all of them. */
    public static double value(String figure, RunResult result) {
        return result.evenness == null ? Double.NaN : READ.get(figure).applyAsDouble(result);
    }

    /**
     * The settings that the lab's proxies are told; probe is what one costs, as a share of a
     * request, and the latency objective is in seconds.
     */
    public static Settings settings(int proxies, int locations, double probe, double contract) {
        return new Settings(
                proxies,
                locations,
                0,
                false,
                grades(contract),
                new double[0],
                1,
                false,
                new Settings.LoadReports(true, 0, 1, false, -1),
                new Settings.Limits(true, true, 4, 0.5),
                new Settings.Rules(0.3, 6, 3, 2, 10),
                new Settings.Costs(0.01, probe));
    }

    /** Plays each policy's day for each seed, one after the other. */
    public List<Run> play() {
        List<Run> runs = new ArrayList<>();
        for (String policy : policies) {
            for (long seed : seeds) {
                runs.add(play(policy, seed));
            }
        }
        return runs;
    }

    /** The same day but for the seed. */
    public Scenario day(long seed) {
        return new Scenario(
                day.settings(),
                day.proxies(),
                day.backends(),
                day.cores(),
                day.rate(),
                day.work(),
                day.spread(),
                day.tries(),
                day.way(),
                day.delay(),
                day.grace(),
                day.lasts(),
                seed,
                day.troubles());
    }

    private ModuleUnderTest module(Settings settings, long seed, int p) {
        ModuleUnderTest module = new ModuleUnderTest(settings, seed, p, tells);
        return recovers && tells ? module.recovering(settings) : module;
    }

    private Run play(String policy, long seed) {
        Scenario its = day(seed);
        Simulation[] world = {null};
        if (policy.equals(MODULE)) {
            world[0] =
                    new Simulation(
                            its,
                            p ->
                                    module(
                                            its.settings()
                                                    .inLocation(p % its.settings().locationCount()),
                                            seed * 1000 + p,
                                            p));
        } else {
            Baseline.Kind kind = Baseline.Kind.valueOf(policy.toUpperCase(Locale.ROOT));
            world[0] =
                    new Simulation(
                            its,
                            3,
                            p ->
                                    new Baseline(
                                            kind,
                                            its.settings(),
                                            seed * 1000 + p,
                                            i -> world[0].trueLoad(i)));
        }
        try {
            return new Run(policy, seed, world[0].play(), null);
        } catch (Referee.Broken e) {
            return new Run(policy, seed, world[0].figures(), e.getMessage());
        }
    }
}
