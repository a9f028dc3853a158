package lemondrift.decide;

import java.util.Arrays;
import java.util.List;
import lemondrift.model.*;

/** Rules 3 and 4 and health: which backends may take an exchange now. */
final class Eligibility extends Stage {
    /** A sound backend's share of bad outcomes is taken to be no less than this. */
    private static final double SOUND = 0.05;
    /** The sequential test suspends when a sick backend explains the outcomes this many times better. */
    private static final double SUSPEND_AT = Math.log(1000);
    /** An answer this many times later than the fleet's for its service grade counts as bad. */
    private static final double LATE = 4;
    /** At most this share of the ready backends is suspended; beyond it the fault is more likely shared. */
    private static final double MOST_SUSPENDED = 0.5;
    /** A probe's work as a share of an exchange's, where a cold backend's allowance counts it. */
    private static final double PROBE_WORK = 0.1;
    private static final double TRIAL = -1;

    private final Fleet fleet;
    private final Selection selection;
    private final Chance chance;
    private final boolean mayProbe;
    /** Grades whose exchanges may be risked on a trial: those that may repeat, or all where none may. */
    private final List<Boolean> mayTry;
    /** Mean answer times by service grade; they hold some waiting, so as work they are never too little. */
    private final double[] answerTime;
    private final double coldFrom, coldTime;
    /** Seconds of one warm core's work that this proxy may send in any fall window, and that window. */
    private final double coldBudget, fallWindow;
    private double usualBad = SOUND;

    private double[] score = {}, suspension = {}, startSeen = {};
    /** 0 is not suspended, TRIAL waits for a trial; when all sent to a cold one has drained as it may. */
    private double[] suspendedUntil = {}, drainedAt = {};
    private int[] unconnected = {};

    Eligibility(Settings s, Fleet fleet, Selection selection, Chance chance) {
        this.fleet = fleet;
        this.selection = selection;
        this.chance = chance;
        mayProbe = s.limits().probes();
        boolean noneRepeats = s.grades().stream().allMatch(g -> g.effect() == Effect.EFFECTFUL);
        mayTry = s.grades().stream().map(g -> noneRepeats || g.effect() != Effect.EFFECTFUL).toList();
        answerTime = s.grades().stream().mapToDouble(g -> g.contractTime() / 2).toArray();
        coldFrom = s.rules().coldFrom();
        coldTime = s.rules().cold();
        fallWindow = s.rules().fallWindow();
        coldBudget = s.rules().fallMultiple() * fallWindow / s.balancers();
    }

    void listed(double now) {
        int known = score.length;
        score = Arrays.copyOf(score, fleet.size);
        suspension = Arrays.copyOf(suspension, fleet.size);
        suspendedUntil = Arrays.copyOf(suspendedUntil, fleet.size);
        unconnected = Arrays.copyOf(unconnected, fleet.size);
        startSeen = Arrays.copyOf(startSeen, fleet.size);
        drainedAt = Arrays.copyOf(drainedAt, fleet.size);
        for (int i = 0; i < fleet.size; i++) {
            if (i >= known || fleet.started[i] > startSeen[i]) {
                fleet.coldShare[i] = coldShare(i, now);
                startAfresh(i, now);
            }
        }
    }

    private void startAfresh(int i, double now) {
        startSeen[i] = fleet.started[i];
        // Danger: one exchange from each of hundreds of proxies at once spends a start's budget many times.
        drainedAt[i] = now + chance.next() * Math.max(0, drain(i, 1) - fallWindow);
        score[i] = 0;
        suspension[i] = selection.window;
        suspendedUntil[i] = 0;
        unconnected[i] = 0;
        selection.forget(i);
    }

    /** Works out anew, for the stages that follow, who is how cold and who is sound. */
    void refresh(double now) {
        for (int i = 0; i < fleet.size; i++) {
            fleet.coldShare[i] = coldShare(i, now);
            if (!mayProbe) {
                tryWhenDue(i, now);
            }
            fleet.suspended[i] = suspendedUntil[i] != 0;
            fleet.sound[i] = fleet.ready[i] && !fleet.suspended[i] && hasRoom(i, now);
        }
    }

    private double coldShare(int i, double now) {
        double age = fleet.started[i] <= 0 ? 1 : Math.max(0, now - fleet.started[i]) / coldTime;
        return age >= 1 ? 1 : coldFrom + (1 - coldFrom) * age;
    }

    /** Rule 4: half of a window's budget may go out at once, the rest over it. Danger: a burst spends all. */
    private boolean hasRoom(int i, double now) {
        return fleet.coldShare[i] == 1 || drainedAt[i] <= now
                || drainedAt[i] + drain(i, 1) <= now + fallWindow;
    }

    /** How long some exchanges' work takes to drain at half of a cold backend's budget a window. */
    private double drain(int i, double exchanges) {
        return meanTime() * exchanges * fallWindow / (coldBudget * fleet.coldShare[i] / 2);
    }

    private void tryWhenDue(int i, double now) {
        suspendedUntil[i] = suspendedUntil[i] > 0 && suspendedUntil[i] <= now ? TRIAL : suspendedUntil[i];
    }

    private double meanTime() {
        return Arrays.stream(answerTime).average().orElse(0);
    }

    double relativeWork(int grade) {
        return answerTime[grade] / meanTime();
    }

    private void spend(int i, double exchanges, double now) {
        if (fleet.coldShare[i] < 1) {
            drainedAt[i] = Math.max(drainedAt[i], now) + drain(i, exchanges);
        }
    }

    @Override
    void offer(Exchange x, double now, Turn turn) {
        for (int i = 0; i < fleet.size; i++) {
            fleet.first[i] = fleet.candidate[i] && suspendedUntil[i] == TRIAL && fleet.out[i] == 0
                    && hasRoom(i, now) && mayTry.get(x.grade);
            fleet.candidate[i] &= fleet.sound[i] || fleet.first[i];
        }
        super.offer(x, now, turn);
        if (x.out > 0) {
            spend(x.latest.backend, 1, now);
        }
    }

    @Override
    void ended(Forward f, Outcome outcome, double took, double now, Turn turn) {
        int i = f.backend;
        double usual = answerTime[f.exchange.grade];
        boolean late = took > LATE * usual && fleet.coldShare[i] == 1;
        switch (outcome) {
            case DELIVERED -> {
                answerTime[f.exchange.grade] += (took - usual) / 50;
                connected(i, now, turn);
                judge(i, late, now, turn);
            }
            case CONNECT_FAILED, ERROR, RESET, TIMED_OUT -> {
                unconnected[i] += outcome == Outcome.CONNECT_FAILED ? 1 : 0;
                judge(i, true, now, turn);
            }
        }
        super.ended(f, outcome, took, now, turn);
    }

    /** Danger: the list is seconds late, so a backend that connects again after failing is taken for cold. */
    private void connected(int i, double now, Turn turn) {
        if (unconnected[i] >= 2 && fleet.started[i] < now - coldTime) {
            fleet.started[i] = now;
            fleet.coldShare[i] = coldFrom;
            startAfresh(i, now);
            turn.notes.add("backend " + i + " connects again, taken for cold");
        }
        unconnected[i] = 0;
    }

    /** One step of the sequential test: as bad as the fleet, or halfway from there to always bad. */
    private void judge(int i, boolean bad, double now, Turn turn) {
        usualBad += ((bad ? 1 : 0) - usualBad) / 100;
        double usual = Math.max(SOUND, usualBad);
        double step = bad ? Math.log((1 + usual) / 2 / usual) : Math.log(0.5);
        score[i] = Math.max(0, Math.min(SUSPEND_AT, score[i] + step));
        if (suspendedUntil[i] == TRIAL && bad) {
            suspend(i, now);
        } else if (suspendedUntil[i] == TRIAL) {
            suspendedUntil[i] = 0;
            score[i] = SUSPEND_AT / 2;
            turn.notes.add("backend " + i + " restored");
        } else if (suspendedUntil[i] == 0 && score[i] >= SUSPEND_AT && maySuspend()) {
            suspension[i] = selection.window;
            suspend(i, now);
            turn.notes.add("backend " + i + " suspended, bad outcomes");
        }
    }

    private void suspend(int i, double now) {
        suspendedUntil[i] = now + chance.jitter(suspension[i]);
        suspension[i] = Math.min(coldTime, 2 * suspension[i]);
    }

    /** Danger: suspending most of the fleet for a fault that all share pushes the rest over. */
    private boolean maySuspend() {
        int count = 1;
        for (int i = 0; i < fleet.size; i++) {
            count += fleet.ready[i] && suspendedUntil[i] != 0 ? 1 : 0;
        }
        return count <= MOST_SUSPENDED * fleet.readyCount;
    }

    void probing(double now, Turn turn) {
        for (int i : turn.probes) {
            spend(i, PROBE_WORK, now);
        }
    }

    void probed(int i, boolean answered, double now, Turn turn) {
        if (answered) {
            connected(i, now, turn);
            tryWhenDue(i, now);
        }
    }
}
