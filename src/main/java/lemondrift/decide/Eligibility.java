package lemondrift.decide;

import java.util.Arrays;
import lemondrift.model.*;

/** Rules 3 and 4 and health: which backends may take an exchange now. */
final class Eligibility extends Stage {
    /** A sound backend's share of bad outcomes is taken to be no less than this. */
    private static final double SOUND = 0.05;
    /** The sequential test suspends when a sick backend explains the outcomes this many times better. */
    private static final double SUSPEND_AT = Math.log(1000);
    /** The windows of use that count against a backend as good as suspended. */
    private static final double SUSPICION = 2;
    /** A suspension doubles with each trial that fails, to this many windows. */
    private static final double LONGEST = 8;
    /** At most this share of the ready backends is suspended; beyond it the fault is more likely shared. */
    private static final double MOST_SUSPENDED = 0.5;
    /** A probe's work as a share of an exchange's, where a cold backend's allowance counts it. */
    private static final double PROBE_WORK = 0.01;

    private final Fleet fleet;
    private final Estimate estimate;
    private final Chance chance;
    /** Seconds of one warm core's work that this proxy may send in any fall window, and that window. */
    private final double coldBudget, fallWindow;
    private final int tests;
    private double usualBad = SOUND;
    /** The mean answer time holds some waiting, so that as an exchange's work it is never too little. */
    private double answerTime;

    /** A test of all outcomes, then one for each grade's; 0 is not suspended; when a cold one has drained. */
    private double[] score = {}, suspendedUntil = {}, drainedAt = {}, judgedAt = {};

    Eligibility(Settings s, Fleet fleet, Estimate estimate, Chance chance) {
        this.fleet = fleet;
        this.estimate = estimate;
        this.chance = chance;
        tests = 1 + s.grades().size();
        answerTime = estimate.window / 2;
        fallWindow = s.rules().fallWindow();
        coldBudget = s.rules().fallMultiple() * fallWindow / s.balancers();
    }

    void listed(double now) {
        score = Arrays.copyOf(score, fleet.size * tests);
        suspendedUntil = Arrays.copyOf(suspendedUntil, fleet.size * tests);
        drainedAt = Arrays.copyOf(drainedAt, fleet.size);
        judgedAt = Arrays.copyOf(judgedAt, fleet.size);
        for (int i = 0; i < fleet.size; i++) {
            if (fleet.started[i] >= fleet.startSeen[i]) {
                startAfresh(i, now);
            }
        }
    }

    private void startAfresh(int i, double now) {
        fleet.startSeen[i] = Math.nextUp(fleet.started[i]);
        // Danger: one exchange from each of hundreds of proxies at once spends a start's budget many times.
        drainedAt[i] = now + chance.next() * Math.max(0, drain(i, 1, now) - fallWindow);
        Arrays.fill(score, i * tests, (i + 1) * tests, 0);
        Arrays.fill(suspendedUntil, i * tests, (i + 1) * tests, 0);
        estimate.forget(i);
    }

    /** Rule 4: half of a window's budget may go out at once, the rest over it. Danger: a burst spends all. */
    private boolean hasRoom(int i, double now) {
        return fleet.coldShare(i, now) == 1 || drainedAt[i] <= now
                || drainedAt[i] + drain(i, 1, now) <= now + fallWindow;
    }

    /** How long some exchanges' work takes to drain at half of a cold backend's budget a window. */
    private double drain(int i, double exchanges, double now) {
        return answerTime * exchanges * fallWindow / (coldBudget * fleet.coldShare(i, now) / 2);
    }

    private void spend(int i, double exchanges, double now) {
        drainedAt[i] = fleet.coldShare(i, now) == 1 ? drainedAt[i]
                : Math.max(drainedAt[i], now) + drain(i, exchanges, now);
    }

    /** One whose suspension is over takes one exchange at a time, until that has ended well. */
    @Override
    boolean mayTake(Exchange x, int i, double now) {
        return fleet.ready[i] && hasRoom(i, now) && super.mayTake(x, i, now)
                && isSound(i, 0, now) && isSound(i, 1 + x.grade, now);
    }

    private boolean isSound(int i, int test, double now) {
        double until = suspendedUntil[i * tests + test];
        return until == 0 || until <= now && fleet.out[i] == 0;
    }

    @Override
    void offer(Exchange x, double now, Turn turn) {
        super.offer(x, now, turn);
        if (x.out > 0) {
            spend(x.latest.backend, 1, now);
        }
    }

    @Override
    void ended(Forward f, Outcome outcome, double took, double now, Turn turn) {
        boolean good = outcome == Outcome.DELIVERED;
        answerTime += good ? (took - answerTime) / 50 : 0;
        if (outcome != Outcome.FULL && outcome != Outcome.CANCELLED && outcome != Outcome.MOOT) {
            usualBad = Math.max(SOUND, usualBad + ((good ? 0 : 1) - usualBad) / 100);
            judge(f.backend, 0, !good, now, turn);
            // Danger: one that fails a grade would go on taking it, the others' good outcomes between.
            judge(f.backend, 1 + f.exchange.grade, !good, now, turn);
        }
        super.ended(f, outcome, took, now, turn);
    }

    /** In windows of use. Danger: who sends there seldom would take many errors until the test suspends. */
    double suspicion(int i, double now) {
        return SUSPICION * score[i * tests] / SUSPEND_AT * Math.exp((judgedAt[i] - now) / estimate.memory);
    }

    /** One step of the sequential test: as bad as the fleet, or halfway from there to always bad. */
    private void judge(int i, int test, boolean bad, double now, Turn turn) {
        int k = i * tests + test;
        judgedAt[i] = now;
        double step = bad ? Math.log((1 + usualBad) / 2 / usualBad) : Math.log(0.5);
        score[k] = suspendedUntil[k] > 0 ? score[k] : Math.max(0, Math.min(SUSPEND_AT, score[k] + step));
        boolean onTrial = suspendedUntil[k] > 0 && suspendedUntil[k] <= now;
        if (onTrial && bad) {
            score[k] = Math.min(LONGEST * SUSPEND_AT, 2 * score[k]);
            suspendedUntil[k] = now + chance.jitter(estimate.window * score[k] / SUSPEND_AT);
        } else if (onTrial) {
            suspendedUntil[k] = 0;
            score[k] = SUSPEND_AT / 2;
            turn.notes.add("backend " + i + " restored" + (test == 0 ? "" : ", grade " + (test - 1)));
        } else if (suspendedUntil[k] == 0 && score[k] >= SUSPEND_AT && maySuspend(test)) {
            suspendedUntil[k] = now + chance.jitter(estimate.window);
            turn.notes.add("backend " + i + " suspended" + (test == 0 ? "" : ", grade " + (test - 1)));
        }
    }

    /** Danger: suspending most of the fleet for a fault that all share pushes the rest over. */
    private boolean maySuspend(int test) {
        return fleet.order.length + 1 - sound(test) <= MOST_SUSPENDED * fleet.order.length;
    }

    /** How many of those that are ready a test does not suspend; 0 is that of all outcomes. */
    int sound(int test) {
        return (int) Arrays.stream(fleet.order).filter(i -> suspendedUntil[i * tests + test] == 0).count();
    }

    void probing(double now, Turn turn) {
        for (int i : turn.probes) {
            spend(i, PROBE_WORK, now);
        }
    }
}
