package lemondrift.balancer;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.Request;

/**
 * Decides which backends are ejected because they fail, and for how long.
 *
 * <p>The decision is a sequential test (CUSUM) over the outcomes of attempts. For each backend
 * there is one test over all its outcomes and one for each request class over the outcomes of that
 * class. Failures are errors, resets, failed connects and timeouts; OVERLOADED, CANCELLED and
 * NOT_SENT say nothing about health and are ignored. Each outcome adds to a score, which is never
 * below 0, the logarithm of how many times likelier the outcome is at an outlier than at a healthy
 * backend. A healthy backend is assumed to fail as often as all backends recently did (at least
 * {@link #MIN_FAILURE_SHARE}), so that a fault shared by all backends ejects none; an outlier is
 * assumed to fail halfway between that share and always.
 *
 * <p>A backend is ejected at a score of {@link #EJECTION_SCORE}, if then no more than {@link
 * #MAX_EJECTED_SHARE} of the ready backends are ejected. Starting from 0, reaching that score takes
 * at least four failures in a row. An ejection lasts half to one and a half windows (a window is
 * the shortest latency objective), then a trial follows: one attempt at a time. A successful trial
 * ends the ejection, with half the score left. A failed trial ejects the backend again for twice as
 * many windows, up to {@link #MAX_EJECTION_WINDOWS}, again multiplied by a random factor of 0.5 to
 * 1.5. A restart of the backend ends the ejection as well. The log calls an ejected backend
 * suspended, and a request class a grade.
 */
final class OutlierDetection extends DecisionStage {
    /** The least share of failures that a healthy backend is assumed to have. */
    private static final double MIN_FAILURE_SHARE = 0.05;

    /** The number of outcomes that the usual share of failures is a mean of. */
    private static final double USUAL_OUTCOMES = 100;

    /** The largest share of the ready backends that one test may eject. */
    private static final double MAX_EJECTED_SHARE = 0.5;

    /** The natural logarithm of 1,000: the outcomes are 1,000 times likelier at an outlier. */
    private static final double EJECTION_SCORE = Math.log(1000);

    /** The largest number of windows that an ejection lasts before the random factor. */
    private static final double MAX_EJECTION_WINDOWS = 8;

    /** How much worse a backend is ranked when it is about to be ejected, in utilization. */
    private static final double MAX_PENALTY = 2;

    /**
     * The index of the test over all outcomes; the test of a request class is at the index of the
     * class plus one.
     */
    private static final int ALL_CLASSES = 0;

    /** In {@link #ejectedUntil}: the backend is not ejected. */
    private static final double NOT_EJECTED = 0;

    private final BackendTable backends;
    private final DeterministicRandom random;

    /** The recent share of failures among the outcomes of all backends. */
    private double usualFailureShare = MIN_FAILURE_SHARE;

    /** By test and backend: the log-likelihood ratio, doubled by each failed trial. */
    private double[][] score = {};

    /**
     * By test and backend: when the ejection ends and the trial begins, in seconds; {@link
     * #NOT_EJECTED} if the backend is not ejected.
     */
    private double[][] ejectedUntil = {};

    /** By backend: when its last outcome was recorded, in seconds. */
    private double[] lastOutcomeAt = {};

    OutlierDetection(BackendTable backends, DeterministicRandom random) {
        this.backends = backends;
        this.random = random;
        settingsChanged(List.of());
    }

    /**
     * Handles a change of the request classes. Discards the state of the classes at reassigned
     * indexes.
     */
    void settingsChanged(List<Integer> reassigned) {
        score = resized(score, reassigned);
        ejectedUntil = resized(ejectedUntil, reassigned);
    }

    /** Grows the arrays for newly listed backends. */
    void ensureCapacity() {
        if (lastOutcomeAt.length < backends.size) {
            settingsChanged(List.of());
            lastOutcomeAt = Arrays.copyOf(lastOutcomeAt, backends.size);
        }
    }

    /**
     * Returns an array with one row for each test and one column for each backend. Keeps the values
     * of the tests that are not reassigned.
     */
    private double[][] resized(double[][] previous, List<Integer> reassigned) {
        double[][] rows = new double[1 + backends.settings.requestClasses().size()][];
        Arrays.setAll(
                rows,
                test ->
                        Arrays.copyOf(
                                test >= previous.length || reassigned.contains(test - 1)
                                        ? new double[0]
                                        : previous[test],
                                backends.size));
        return rows;
    }

    /** Discards the state of a backend that has restarted. */
    void resetBackend(int backend) {
        Stream.of(score, ejectedUntil).flatMap(Arrays::stream).forEach(test -> test[backend] = 0);
    }

    @Override
    boolean isBackendEligible(Request request, int backend, double now) {
        return super.isBackendEligible(request, backend, now)
                && isUsable(ALL_CLASSES, backend, now)
                && isUsable(1 + request.requestClassIndex, backend, now);
    }

    /** Returns whether the backend is not ejected, or is on trial with no attempt in flight. */
    private boolean isUsable(int test, int backend, double now) {
        double until = ejectedUntil[test][backend];
        return until == NOT_EJECTED || (until <= now && backends.inFlight[backend] == 0);
    }

    @Override
    void attemptEnded(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            double now,
            Decision decision) {
        if (outcome != AttemptOutcome.OVERLOADED
                && outcome != AttemptOutcome.CANCELLED
                && outcome != AttemptOutcome.NOT_SENT) {
            boolean failed = outcome != AttemptOutcome.SUCCESS;
            usualFailureShare =
                    Math.max(
                            MIN_FAILURE_SHARE,
                            usualFailureShare
                                    + ((failed ? 1 : 0) - usualFailureShare) / USUAL_OUTCOMES);
            observe(ALL_CLASSES, attempt.backend, failed, now, decision);
            // Guards against a backend that fails one class of requests, which the successes of the
            // other classes would hide.
            observe(1 + attempt.request.requestClassIndex, attempt.backend, failed, now, decision);
        }
        super.attemptEnded(attempt, outcome, durationSeconds, now, decision);
    }

    /** Performs one step of a sequential test. */
    private void observe(int test, int backend, boolean failed, double now, Decision decision) {
        double until = ejectedUntil[test][backend];
        lastOutcomeAt[backend] = now;
        if (until == NOT_EJECTED) {
            score[test][backend] = nextScore(score[test][backend], failed);
            if (score[test][backend] >= EJECTION_SCORE && mayEjectOneMore(test)) {
                ejectedUntil[test][backend] = now + random.jitter(backends.windowSeconds);
                decision.logMessages.add("backend " + backend + " suspended" + suffix(test));
            }
        } else if (until <= now) {
            trialEnded(test, backend, failed, now, decision);
        }
    }

    /**
     * Returns the score after one more outcome; an outlier fails halfway between the usual share
     * and always.
     */
    private double nextScore(double score, boolean failed) {
        double step =
                failed ? Math.log((1 + usualFailureShare) / 2 / usualFailureShare) : Math.log(0.5);
        return Math.max(0, Math.min(EJECTION_SCORE, score + step));
    }

    /**
     * Returns whether the test may eject one more backend. Guards against ejecting most backends
     * for a shared fault, which would overload the rest.
     */
    private boolean mayEjectOneMore(int test) {
        return backends.order.length + 1 - notEjectedCount(test)
                <= MAX_EJECTED_SHARE * backends.order.length;
    }

    private void trialEnded(int test, int backend, boolean failed, double now, Decision decision) {
        double[] scores = score[test];
        if (failed) {
            scores[backend] = Math.min(MAX_EJECTION_WINDOWS * EJECTION_SCORE, 2 * scores[backend]);
            ejectedUntil[test][backend] =
                    now + random.jitter(backends.windowSeconds * scores[backend] / EJECTION_SCORE);
        } else {
            ejectedUntil[test][backend] = NOT_EJECTED;
            scores[backend] = EJECTION_SCORE / 2;
            decision.logMessages.add("backend " + backend + " restored" + suffix(test));
        }
    }

    private static String suffix(int test) {
        return test == ALL_CLASSES ? "" : ", grade " + (test - 1);
    }

    /**
     * Returns how much worse a backend is ranked for failures that have not ejected it, in
     * utilization. It is proportional to the share of the ejection score that the backend has
     * reached, and decays with time. Guards against many errors at a proxy that rarely sends
     * requests.
     */
    double penalty(int backend, double now) {
        return MAX_PENALTY
                * score[ALL_CLASSES][backend]
                / EJECTION_SCORE
                * Math.exp((lastOutcomeAt[backend] - now) / backends.memorySeconds);
    }

    /**
     * Returns the number of ready backends that are not ejected by the test over all request
     * classes.
     */
    int notEjectedCount() {
        return notEjectedCount(ALL_CLASSES);
    }

    private int notEjectedCount(int test) {
        int count = 0;
        for (int backend : backends.order) {
            count += ejectedUntil[test][backend] == NOT_EJECTED ? 1 : 0;
        }
        return count;
    }
}
