package lemondrift.balancer;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.Request;

/**
 * What ejects a backend, and for how long.
 *
 * <p>A sequential test (CUSUM) over the outcomes of attempts, for each backend over all its
 * outcomes and once more for each request class over that class's alone. Failures are errors,
 * resets, failed connects and time-outs; OVERLOADED, CANCELLED and NOT_SENT are no outcomes of
 * health. Each outcome adds to a score, never below 0, the logarithm of how many times likelier it
 * is at an outlier than at a sound backend. A sound one fails as often as all backends do lately
 * (at least {@link #MIN_FAILURE_SHARE}), so that a fault which all share ejects nobody; an outlier
 * fails halfway from there to always.
 *
 * <p>Ejected at a score of {@link #EJECTION_SCORE}, which from 0 takes four failures in a row at
 * the least, if then no more than {@link #MAX_EJECTED_SHARE} of the ready backends are. It lasts
 * half to one and a half windows (a window is the shortest latency objective), then comes a trial:
 * one attempt at a time. A good trial ends the ejection, with half the score left; a failed one
 * doubles it, up to {@link #MAX_EJECTION_WINDOWS} windows, again half to one and a half times that.
 * A new start of the backend ends it as well.
 */
final class OutlierDetection extends DecisionStage {
    /** The least share of failures that a sound backend is supposed to have. */
    private static final double MIN_FAILURE_SHARE = 0.05;

    /** Over how many outcomes the usual share of failures is a mean. */
    private static final double USUAL_OUTCOMES = 100;

    /** The most of the ready backends that one test may eject, as a share. */
    private static final double MAX_EJECTED_SHARE = 0.5;

    /** An outlier explains the outcomes 1,000 times better; natural logarithm. */
    private static final double EJECTION_SCORE = Math.log(1000);

    /** To how many windows an ejection doubles at the most. */
    private static final double MAX_EJECTION_WINDOWS = 8;

    /** What a backend's rank is worsened by when it is about to be ejected, in utilization. */
    private static final double MAX_PENALTY = 2;

    /** The test over all outcomes; the one of a request class stands at its index plus one. */
    private static final int ALL_CLASSES = 0;

    /** In {@link #ejectedUntil}: the backend is not ejected. */
    private static final double NOT_EJECTED = 0;

    private final BackendTable backends;
    private final DeterministicRandom random;

    /** The share of failures among all backends' outcomes lately. */
    private double usualFailureShare = MIN_FAILURE_SHARE;

    /** By test and backend: the log-likelihood ratio; doubled by each failed trial. */
    private double[][] score = {};

    /** By test and backend: until when it is ejected, in seconds; then on trial. */
    private double[][] ejectedUntil = {};

    /** By backend: when its last outcome was heard. */
    private double[] lastOutcomeAt = {};

    OutlierDetection(BackendTable backends, DeterministicRandom random) {
        this.backends = backends;
        this.random = random;
        settingsChanged(List.of());
    }

    /** Other request classes hold; what is known of those at reassigned indexes is forgotten. */
    void settingsChanged(List<Integer> reassigned) {
        score = resized(score, reassigned);
        ejectedUntil = resized(ejectedUntil, reassigned);
    }

    /** Makes room for backends that were listed for the first time. */
    void ensureCapacity() {
        if (lastOutcomeAt.length < backends.size) {
            settingsChanged(List.of());
            lastOutcomeAt = Arrays.copyOf(lastOutcomeAt, backends.size);
        }
    }

    /** One row for each test, one place for each backend; what is known stays. */
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

    /** The backend has started anew: nothing that was known of it holds. */
    void resetBackend(int backend) {
        Stream.of(score, ejectedUntil).flatMap(Arrays::stream).forEach(test -> test[backend] = 0);
    }

    @Override
    boolean isBackendEligible(Request request, int backend, double now) {
        return super.isBackendEligible(request, backend, now)
                && isUsable(ALL_CLASSES, backend, now)
                && isUsable(1 + request.requestClassIndex, backend, now);
    }

    /** Not ejected, or on trial with nothing in flight. */
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
            // Guards against a backend that fails one class while the others' successes hide it.
            observe(1 + attempt.request.requestClassIndex, attempt.backend, failed, now, decision);
        }
        super.attemptEnded(attempt, outcome, durationSeconds, now, decision);
    }

    /** One step of a sequential test. */
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

    /** The score after one more outcome; an outlier fails halfway from the usual to always. */
    private double nextScore(double score, boolean failed) {
        double step =
                failed ? Math.log((1 + usualFailureShare) / 2 / usualFailureShare) : Math.log(0.5);
        return Math.max(0, Math.min(EJECTION_SCORE, score + step));
    }

    /** Guards against ejecting most backends for a shared fault, which overloads the rest. */
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
     * What a backend's rank is worsened by for its failures before they eject it, in utilization:
     * the share of the ejection score that it has reached, fading with time. Guards against many
     * errors at a proxy that sends seldom.
     */
    double penalty(int backend, double now) {
        return MAX_PENALTY
                * score[ALL_CLASSES][backend]
                / EJECTION_SCORE
                * Math.exp((lastOutcomeAt[backend] - now) / backends.memorySeconds);
    }

    /** How many ready backends are not ejected for all request classes. */
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
