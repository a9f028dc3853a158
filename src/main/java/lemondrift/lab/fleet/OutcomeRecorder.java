package lemondrift.lab.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.stream.IntStream;
import lemondrift.lab.simulation.LoadEvenness;
import lemondrift.lab.simulation.Referee;
import lemondrift.lab.simulation.RunResult;
import lemondrift.lab.simulation.Scenario;
import lemondrift.lab.simulation.ServableOracle;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Request;
import org.HdrHistogram.Histogram;

/**
 * Hears what clients, backends and discovery of the testbed have seen, and nothing that a proxy
 * says of itself. I/O thread only.
 */
final class OutcomeRecorder {
    /**
     * How many seconds later than at the proxy a thing may be seen, as the machine has other work.
     */
    static final double SLACK = 1;

    /** Latencies in microseconds up to ten minutes, to three digits. */
    private static final long LONGEST = 600_000_000;

    /**
     * One request that a client has handed to a proxy, or to a backend where there is none between.
     */
    static final class Asked {
        final Request x;
        final int proxy;
        final double work;

        /** Its client has stopped waiting while the proxy could not answer. */
        private boolean left;

        private Asked(Request request, int proxy, double work) {
            this.x = request;
            this.proxy = proxy;
            this.work = work;
        }
    }

    private final Scenario scenario;
    private final DoubleSupplier clock;
    private final Referee referee;
    private final Map<String, Asked> asked = new HashMap<>();

    /** Until when each proxy was last known not to be able to answer. */
    private final double[] excused;

    private LoadEvenness evenness;
    private RunResult result;
    private double began;
    private ServableOracle bearable;
    private Histogram latency;
    private String broken;
    private long ids;

    /** Judges the first so many rules. */
    OutcomeRecorder(Scenario scenario, int rules, DoubleSupplier clock) {
        this.scenario = scenario;
        this.clock = clock;
        int[] location =
                IntStream.range(0, scenario.backends())
                        .map(i -> i % scenario.settings().locationCount())
                        .toArray();
        referee =
                new Referee(
                        scenario.settings(),
                        rules,
                        scenario.grace(),
                        SLACK,
                        scenario.proxies(),
                        location,
                        scenario.cores());
        excused = new double[scenario.proxies()];
        evenness =
                new LoadEvenness(
                        scenario.backends(), scenario.cores(), scenario.settings().windowSeconds());
        begins();
    }

    /** Counts from here on; what went before is only remembered. */
    final void begins() {
        began = now();
        evenness.begins(began);
        result = new RunResult(scenario);
        bearable =
                new ServableOracle(
                        scenario.settings().requestClasses(),
                        result.requestedWeightPerSecond.length);
        latency = new Histogram(LONGEST, 3);
    }

    private double now() {
        return clock.getAsDouble();
    }

    RunResult figures() {
        return result;
    }

    /** What was seen of the first broken rule; null where none was. */
    String broken() {
        return broken;
    }

    /** The second of the day that a time lies in. */
    int second(double at) {
        return (int) Math.max(0, Math.min(result.requestedWeightPerSecond.length - 1, at - began));
    }

    /** A client wants something now; says in which second of the day that is. */
    int wants(int requestClass, double benefit) {
        int second = second(now());
        result.clientRequests++;
        result.requestedWeight += benefit;
        result.requestedWeightPerSecond[second] += benefit;
        bearable.wants(second, requestClass);
        return second;
    }

    /** The backends do the work of so many requests now. */
    void bears(double exchanges) {
        bearable.bears(second(now()), exchanges);
    }

    /** The day is over, though clients may still wait. */
    RunResult ends() {
        System.arraycopy(
                bearable.benefit(),
                0,
                result.servableWeightPerSecond,
                0,
                result.servableWeightPerSecond.length);
        result.evenness = evenness.measure(now());
        System.arraycopy(
                evenness.idleBySecond(),
                0,
                result.idleSharePerSecond,
                0,
                Math.min(result.idleSharePerSecond.length, evenness.idleBySecond().length));
        return result;
    }

    /** All that clients wanted in the day has ended. */
    RunResult served() {
        result.medianSeconds = latency.getValueAtPercentile(50) / 1e6;
        result.p99Seconds = latency.getValueAtPercentile(99) / 1e6;
        return result;
    }

    /**
     * Guards against a broken rule ending the run while proxies still run; the first one is kept.
     */
    private void judged(Runnable call) {
        try {
            call.run();
        } catch (Referee.Broken e) {
            broken = broken == null ? e.getMessage() : broken;
        }
    }

    Asked taken(String trace, int proxy, int requestClass, double work) {
        Request request =
                new Request(
                        ++ids,
                        requestClass,
                        0,
                        now(),
                        scenario.settings().requestClasses().get(requestClass).timeoutSeconds());
        Asked its = new Asked(request, proxy, work);
        asked.put(trace, its);
        result.accepted++;
        judged(() -> referee.taken(proxy, request, now()));
        return its;
    }

    /** What is being asked under a trace id; null where no client asks so. */
    Asked asked(String trace) {
        return asked.get(trace);
    }

    /** A request has come to a backend whole. */
    Attempt reached(Asked its, int backend) {
        Attempt attempt = new Attempt(its.x, backend, now(), 0, 0);
        result.attempts++;
        evenness.sends(backend, now());
        // What has waited for a process that stood still comes late for nobody; it is judged for
        // nothing.
        if (!its.left) {
            judged(() -> referee.sent(its.proxy, attempt, its.work, now()));
        }
        return attempt;
    }

    void ended(Attempt attempt, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.SUCCESS) {
            evenness.served(attempt.backend);
        } else {
            result.failedAttemptsByBackend[attempt.backend]++;
        }
        judged(() -> referee.ended(attempt, outcome, now()));
    }

    void answered(Asked its, boolean shed) {
        judged(() -> referee.answered(its.proxy, its.x, shed, now()));
    }

    /**
     * A client has stopped waiting; whoever has been killed or paused since it asked could not
     * answer.
     */
    void closed(Asked its) {
        its.left = isExcused(its);
        judged(() -> referee.closed(its.proxy, its.x, its.left, now()));
    }

    boolean isExcused(Asked its) {
        return excused[its.proxy] >= its.x.arrivedAt;
    }

    /** Nothing more is to come of it. */
    void forgets(String trace) {
        Asked its = asked.remove(trace);
        if (its != null) {
            referee.forgets(its.x);
        }
    }

    /** A proxy can't answer from now on, or could not until now. */
    void excuses(int proxy, boolean fromNow) {
        excused[proxy] = fromNow ? Double.POSITIVE_INFINITY : Math.min(excused[proxy], now());
    }

    void told(int proxy, int backend, boolean ready) {
        judged(() -> referee.told(proxy, backend, ready, now()));
    }

    void started(int backend) {
        referee.started(backend, now());
    }

    void holds(int backend, int many, boolean isFit) {
        evenness.holds(backend, many, isFit, now());
    }

    /**
     * A client has what it wants, so many seconds after it was due; what was due before does not
     * count.
     */
    void served(RunResult day, double seconds) {
        if (day != result) {
            return;
        }
        latency.recordValue(Math.min(LONGEST, Math.max(1, (long) (seconds * 1e6))));
    }
}
