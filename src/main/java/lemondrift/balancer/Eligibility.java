package lemondrift.balancer;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Request;

/** Rules 3 and 4 and health: which backends may take an exchange now. */
final class Eligibility extends DecisionStage {
    /**
     * The least share of bad outcomes that any sound one may have, the most of the ready to
     * suspend, and when: a sick backend explains the outcomes so many times better.
     */
    private static final double SOUND = 0.05;

    private static final double MOST_SUSPENDED = 0.5;
    private static final double SUSPEND_AT = Math.log(1000);

    /**
     * Windows: of use that count against one as good as suspended, and to which a suspension
     * doubles.
     */
    private static final double SUSPICION = 2;

    private static final double LONGEST = 8;

    /**
     * A probe's work as a share of an exchange's, where a cold one's allowance counts it; of how
     * many answers the mean is, and as how many those of others count at the most.
     */
    static final double PROBE_WORK = 0.01;

    static final double LATELY = 50;
    static final double BORROWED = 8;

    private final BackendTable backends;
    private final UtilizationEstimator estimator;
    private final DeterministicRandom random;
    private double usualBad = SOUND;

    /**
     * The mean answer time holds some waiting, so that as an exchange's work it is never too
     * little; the number of answers; and what is supposed before there are any, with the weight of
     * so many.
     */
    double answerTime;

    double answers;
    double supposed;
    double weight = 1;

    /** A test of all outcomes, then one for each grade's; 0 is not suspended. */
    private double[][] score = {};

    private double[][] suspendedUntil = {};

    /** Own exchanges that a cold one has not drained yet, and as of when. */
    private double[] owed = {};

    private double[] owedAt = {};
    private double[] judgedAt = {};

    Eligibility(BackendTable backends, UtilizationEstimator estimator, DeterministicRandom random) {
        this.backends = backends;
        this.estimator = estimator;
        this.random = random;
        supposed = estimator.window / 2;
    }

    void listed(List<EndpointUpdate> updates, double now) {
        if (owed.length < backends.size) {
            stated(List.of());
            owed = Arrays.copyOf(owed, backends.size);
            owedAt = Arrays.copyOf(owedAt, backends.size);
            judgedAt = Arrays.copyOf(judgedAt, backends.size);
        }
        for (EndpointUpdate update : updates) {
            if (backends.started[update.backend()] >= backends.startSeen[update.backend()]) {
                startAfresh(update.backend(), now);
            }
        }
    }

    void stated(List<Integer> fresh) {
        score = rows(score, fresh);
        suspendedUntil = rows(suspendedUntil, fresh);
    }

    /** A row for each test of all that are listed, the old ones as they were. */
    private double[][] rows(double[][] old, List<Integer> fresh) {
        double[][] rows = new double[1 + backends.stated.requestClasses().size()][];
        Arrays.setAll(
                rows,
                test ->
                        Arrays.copyOf(
                                test >= old.length || fresh.contains(test - 1)
                                        ? new double[0]
                                        : old[test],
                                backends.size));
        return rows;
    }

    private void startAfresh(int i, double now) {
        backends.startSeen[i] = Math.nextUp(backends.started[i]);
        // Danger: one exchange from each of hundreds of proxies at once spends a start's budget
        // many times.
        owed[i] =
                random.next()
                        * Math.max(
                                0,
                                1
                                        - backends.stated.rules().overloadWindowSeconds()
                                                / drain(i, now));
        owedAt[i] = now;
        Stream.of(score, suspendedUntil).flatMap(Arrays::stream).forEach(test -> test[i] = 0);
        estimator.forget(i);
    }

    /**
     * Rule 4: half of a window's budget may go out at once, the rest over it. Danger: a burst
     * spends all.
     */
    private boolean hasRoom(int i, double now) {
        return backends.coldShare(i, now) == 1
                || owed(i, now) == 0
                || (owed[i] + 1) * drain(i, now) <= backends.stated.rules().overloadWindowSeconds();
    }

    /**
     * What has not drained. Danger: a pace kept from when less was known would hold all back for
     * long.
     */
    private double owed(int i, double now) {
        owed[i] = Math.max(0, owed[i] - (now - owedAt[i]) / drain(i, owedAt[i]));
        owedAt[i] = now;
        return owed[i];
    }

    /**
     * How long an exchange's work takes to drain at half of this proxy's part of what a cold one
     * bears.
     */
    private double drain(int i, double now) {
        double users =
                backends.stated.proxyCount()
                        * (estimator.known(i) ? backends.line[i].userShare() : 1);
        double n = Math.min(answers, LATELY);
        double work = (supposed * weight + answerTime * n) / (weight + n);
        return work
                * users
                * 2
                / backends.stated.rules().overloadFactor()
                / backends.coldShare(i, now);
    }

    void spend(int i, double exchanges, double now) {
        owed[i] = owed(i, now) + exchanges;
    }

    /** One whose suspension is over takes one exchange at a time, until that has ended well. */
    @Override
    boolean mayTake(Request request, int i, double now) {
        return backends.ready[i]
                && hasRoom(i, now)
                && super.mayTake(request, i, now)
                && isSound(i, 0, now)
                && isSound(i, 1 + request.requestClass, now);
    }

    private boolean isSound(int i, int test, double now) {
        double until = suspendedUntil[test][i];
        return until == 0 || (until <= now && backends.out[i] == 0);
    }

    @Override
    void ended(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            double now,
            Decision decision) {
        estimator.ended(attempt, outcome, durationSeconds, now);
        boolean good = outcome == AttemptOutcome.SUCCESS;
        // Danger: a proxy that has just started knows no answer, and would spare cold ones for a
        // minute.
        double work = durationSeconds * backends.coldShare(attempt.backend, now);
        answerTime += good ? (work - answerTime) / Math.min(LATELY, ++answers) : 0;
        if (outcome != AttemptOutcome.OVERLOADED
                && outcome != AttemptOutcome.CANCELLED
                && outcome != AttemptOutcome.NOT_SENT) {
            usualBad = Math.max(SOUND, usualBad + ((good ? 0 : 1) - usualBad) / 100);
            judge(attempt.backend, 0, !good, now, decision);
            // Danger: one that fails a grade would go on taking it, the others' good outcomes
            // between.
            judge(attempt.backend, 1 + attempt.request.requestClass, !good, now, decision);
        }
        super.ended(attempt, outcome, durationSeconds, now, decision);
    }

    /**
     * In windows of use. Danger: who sends there seldom would take many errors until the test
     * suspends.
     */
    double suspicion(int i, double now) {
        return SUSPICION
                * score[0][i]
                / SUSPEND_AT
                * Math.exp((judgedAt[i] - now) / estimator.memory);
    }

    /**
     * One step of the sequential test: as bad as the fleet, or halfway from there to always bad.
     */
    private void judge(int i, int test, boolean bad, double now, Decision decision) {
        double[] score = this.score[test];
        double[] until = suspendedUntil[test];
        judgedAt[i] = now;
        double step = bad ? Math.log((1 + usualBad) / 2 / usualBad) : Math.log(0.5);
        score[i] = until[i] > 0 ? score[i] : Math.max(0, Math.min(SUSPEND_AT, score[i] + step));
        boolean onTrial = until[i] > 0 && until[i] <= now;
        if (onTrial && bad) {
            score[i] = Math.min(LONGEST * SUSPEND_AT, 2 * score[i]);
            until[i] = now + random.jitter(estimator.window * score[i] / SUSPEND_AT);
        } else if (onTrial) {
            until[i] = 0;
            score[i] = SUSPEND_AT / 2;
            decision.logMessages.add(
                    "backend " + i + " restored" + (test == 0 ? "" : ", grade " + (test - 1)));
        } else if (until[i] == 0
                && score[i] >= SUSPEND_AT
                // Danger: suspending most of the fleet for a fault that all share pushes the rest
                // over.
                && backends.order.length + 1 - sound(test)
                        <= MOST_SUSPENDED * backends.order.length) {
            until[i] = now + random.jitter(estimator.window);
            decision.logMessages.add(
                    "backend " + i + " suspended" + (test == 0 ? "" : ", grade " + (test - 1)));
        }
    }

    /** How many of those that are ready a test does not suspend; 0 is that of all outcomes. */
    int sound(int test) {
        int sound = 0;
        for (int i : backends.order) {
            sound += suspendedUntil[test][i] == 0 ? 1 : 0;
        }
        return sound;
    }
}
