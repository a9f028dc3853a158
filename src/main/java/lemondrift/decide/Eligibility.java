package lemondrift.decide;

import java.util.Arrays;
import lemondrift.model.*;

/** Rules 3 and 4 and health: which backends may take an exchange now. */
final class Eligibility extends Stage {
    /** A sound backend's share of bad outcomes is taken to be no less than this. */
    private static final double SOUND = 0.05;
    /** The sequential test suspends when a sick backend explains the outcomes this many times better. */
    private static final double SUSPEND_AT = Math.log(1000);
    /** At most this share of the ready backends is suspended; beyond it the fault is more likely shared. */
    private static final double MOST_SUSPENDED = 0.5;
    /** A probe's work as a share of an exchange's, where a cold backend's allowance counts it. */
    private static final double PROBE_WORK = 0.01;

    private final Fleet fleet;
    private final Estimate estimate;
    private final Chance chance;
    /** Seconds of one warm core's work that this proxy may send in any fall window, and that window. */
    private final double coldBudget, fallWindow;
    private double usualBad = SOUND;
    /** The mean answer time holds some waiting, so that as an exchange's work it is never too little. */
    private double answerTime;

    /** The test's; 0 is not suspended; when all sent to a cold one has drained as it may. */
    private double[] score = {}, suspendedUntil = {}, drainedAt = {};

    Eligibility(Settings s, Fleet fleet, Estimate estimate, Chance chance) {
        this.fleet = fleet;
        this.estimate = estimate;
        this.chance = chance;
        answerTime = estimate.window / 2;
        fallWindow = s.rules().fallWindow();
        coldBudget = s.rules().fallMultiple() * fallWindow / s.balancers();
    }

    void listed(double now) {
        score = Arrays.copyOf(score, fleet.size);
        suspendedUntil = Arrays.copyOf(suspendedUntil, fleet.size);
        drainedAt = Arrays.copyOf(drainedAt, fleet.size);
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
        score[i] = 0;
        suspendedUntil[i] = 0;
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
        if (fleet.coldShare(i, now) < 1) {
            drainedAt[i] = Math.max(drainedAt[i], now) + drain(i, exchanges, now);
        }
    }

    /** One whose suspension is over takes one exchange at a time, until that has ended well. */
    @Override
    boolean mayTake(Exchange x, int i, double now) {
        return fleet.ready[i] && hasRoom(i, now) && super.mayTake(x, i, now)
                && (suspendedUntil[i] == 0 || suspendedUntil[i] <= now && fleet.out[i] == 0);
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
            judge(f.backend, !good, now, turn);
        }
        super.ended(f, outcome, took, now, turn);
    }

    /** One step of the sequential test: as bad as the fleet, or halfway from there to always bad. */
    private void judge(int i, boolean bad, double now, Turn turn) {
        usualBad += ((bad ? 1 : 0) - usualBad) / 100;
        double usual = Math.max(SOUND, usualBad);
        double step = bad ? Math.log((1 + usual) / 2 / usual) : Math.log(0.5);
        score[i] = Math.max(0, Math.min(SUSPEND_AT, score[i] + step));
        boolean onTrial = suspendedUntil[i] > 0 && suspendedUntil[i] <= now;
        if (onTrial && bad) {
            suspendedUntil[i] = now + chance.jitter(estimate.window);
        } else if (onTrial) {
            suspendedUntil[i] = 0;
            score[i] = SUSPEND_AT / 2;
            turn.notes.add("backend " + i + " restored");
        } else if (suspendedUntil[i] == 0 && score[i] >= SUSPEND_AT && maySuspend()) {
            suspendedUntil[i] = now + chance.jitter(estimate.window);
            turn.notes.add("backend " + i + " suspended, bad outcomes");
        }
    }

    /** Danger: suspending most of the fleet for a fault that all share pushes the rest over. */
    private boolean maySuspend() {
        long count = Arrays.stream(fleet.order).filter(i -> suspendedUntil[i] != 0).count();
        return count + 1 <= MOST_SUSPENDED * fleet.order.length;
    }

    void probing(double now, Turn turn) {
        for (int i : turn.probes) {
            spend(i, PROBE_WORK, now);
        }
    }
}
