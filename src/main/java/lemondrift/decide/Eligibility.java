package lemondrift.decide;

import java.util.Arrays;
import lemondrift.model.Effect;
import lemondrift.model.Exchange;
import lemondrift.model.Forward;
import lemondrift.model.Outcome;
import lemondrift.model.ServiceGrade;
import lemondrift.model.Settings;
import lemondrift.model.Turn;

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
    /** A probe's work, as a share of an exchange's, where a cold backend's allowance counts it. */
    private static final double PROBE_WORK = 0.1;

    private final Fleet fleet;
    private final Selection selection;
    private final Chance chance;
    private final Settings.Rules rules;
    private final int balancers;
    private final boolean mayProbe;
    private final ServiceGrade[] grades;
    private final double[] gradeTime;
    private final double longestSuspension;
    private double fleetBad = SOUND;

    private double[] score = new double[0];
    private double[] suspension = new double[0];
    private double[] suspendedUntil = new double[0];
    private boolean[] trial = new boolean[0];
    private int[] unconnected = new int[0];
    private double[] startSeen = new double[0];
    private double[] spent = new double[0];
    private double[] spentAt = new double[0];
    private boolean[] sound = new boolean[0];

    Eligibility(Settings s, Fleet fleet, Selection selection, Chance chance) {
        this.fleet = fleet;
        this.selection = selection;
        this.chance = chance;
        rules = s.rules();
        balancers = s.balancers();
        mayProbe = s.limits().probes();
        grades = s.grades().toArray(new ServiceGrade[0]);
        gradeTime = s.grades().stream().mapToDouble(g -> g.contractTime() / 2).toArray();
        longestSuspension = rules.cold();
    }

    void listed(double now) {
        int known = score.length;
        score = Arrays.copyOf(score, fleet.size);
        suspension = Arrays.copyOf(suspension, fleet.size);
        suspendedUntil = Arrays.copyOf(suspendedUntil, fleet.size);
        trial = Arrays.copyOf(trial, fleet.size);
        unconnected = Arrays.copyOf(unconnected, fleet.size);
        startSeen = Arrays.copyOf(startSeen, fleet.size);
        spent = Arrays.copyOf(spent, fleet.size);
        spentAt = Arrays.copyOf(spentAt, fleet.size);
        sound = Arrays.copyOf(sound, fleet.size);
        for (int i = 0; i < fleet.size; i++) {
            if (i >= known) {
                suspension[i] = selection.window;
            } else if (fleet.started[i] > startSeen[i]) {
                restarted(i);
            }
            startSeen[i] = fleet.started[i];
        }
    }

    private void restarted(int i) {
        score[i] = 0;
        suspension[i] = selection.window;
        suspendedUntil[i] = 0;
        trial[i] = false;
        unconnected[i] = 0;
        spent[i] = 0;
        startSeen[i] = fleet.started[i];
        selection.forget(i);
    }

    /** The share of its capacity that a backend has at the least; the climb is taken to be even and slow. */
    private double coldShare(int i, double now) {
        double age = (now - fleet.started[i]) / rules.cold();
        return fleet.started[i] <= 0 || age >= 1 ? 1
                : rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, age);
    }

    /** The work this proxy may send a cold backend at once: half the budget, the other half drains in. */
    private double allowance(int i) {
        return rules.fallMultiple() * fleet.coldShare[i] * rules.fallWindow() / balancers / 2;
    }

    /** Work of one exchange on one warm core, taken from answer times, which is never too little. */
    private double work() {
        double sum = 0;
        for (double time : gradeTime) {
            sum += time;
        }
        return sum / gradeTime.length;
    }

    private double spent(int i, double now) {
        return Math.max(0, spent[i] - (now - spentAt[i]) / rules.fallWindow() * allowance(i));
    }

    private void spend(int i, double work, double now) {
        if (coldShare(i, now) < 1) {
            spent[i] = spent(i, now) + work;
            spentAt[i] = now;
        }
    }

    private void refresh(double now) {
        for (int i = 0; i < fleet.size; i++) {
            fleet.coldShare[i] = coldShare(i, now);
            sound[i] = fleet.ready[i] && suspendedUntil[i] == 0 && mayTakeCold(i, now);
        }
    }

    /** Danger: a burst just after a start spends the whole budget before the window has passed. */
    private boolean mayTakeCold(int i, double now) {
        double spent = fleet.coldShare[i] < 1 ? spent(i, now) : 0;
        return spent <= 0 || spent + work() <= allowance(i);
    }

    double leastWait(double now) {
        refresh(now);
        return selection.leastWait(sound, now);
    }

    @Override
    void offer(Exchange x, double now, Turn turn) {
        refresh(now);
        for (int i = 0; i < fleet.size; i++) {
            fleet.first[i] = fleet.candidate[i] && trial[i] && fleet.out[i] == 0 && mayTakeCold(i, now)
                    && (grades[x.grade].effect() != Effect.EFFECTFUL
                    || now > suspendedUntil[i] + suspension[i]);
            fleet.candidate[i] &= sound[i] || fleet.first[i];
        }
        super.offer(x, now, turn);
        if (x.out > 0) {
            spend(x.latest.backend, work(), now);
        }
    }

    @Override
    void ended(Forward f, Outcome outcome, double took, double now, Turn turn) {
        int i = f.backend;
        double usual = gradeTime[f.exchange.grade];
        if (outcome == Outcome.DELIVERED) {
            gradeTime[f.exchange.grade] += (took - usual) / 50;
            connected(i, now, turn);
        }
        unconnected[i] = outcome == Outcome.CONNECT_FAILED ? unconnected[i] + 1 : unconnected[i];
        boolean late = outcome == Outcome.DELIVERED && took > LATE * usual && coldShare(i, now) == 1;
        switch (outcome) {
            case DELIVERED -> judge(i, late, now, turn);
            case ERROR, RESET, CONNECT_FAILED, TIMED_OUT -> judge(i, true, now, turn);
            default -> { }
        }
        super.ended(f, outcome, took, now, turn);
    }

    /** Danger: the list is seconds late, so a backend that connects again after failing is taken for cold. */
    private void connected(int i, double now, Turn turn) {
        if (unconnected[i] >= 2 && fleet.started[i] < now - rules.cold()) {
            fleet.started[i] = now;
            restarted(i);
            turn.notes.add("backend " + i + " connects again, taken for cold");
        }
        unconnected[i] = 0;
    }

    /** One step of the sequential test: as bad as the fleet against halfway from there to always bad. */
    private void judge(int i, boolean bad, double now, Turn turn) {
        fleetBad += ((bad ? 1 : 0) - fleetBad) / 100;
        double usual = Math.max(SOUND, fleetBad);
        double sick = (1 + usual) / 2;
        double step = bad ? Math.log(sick / usual) : Math.log((1 - sick) / (1 - usual));
        score[i] = Math.max(0, Math.min(SUSPEND_AT, score[i] + step));
        if (suspendedUntil[i] > 0) {
            if (!trial[i]) {
                return;
            }
            if (bad) {
                suspend(i, now);
            } else {
                suspendedUntil[i] = 0;
                trial[i] = false;
                score[i] = SUSPEND_AT / 2;
                turn.notes.add("backend " + i + " restored");
            }
        } else if (score[i] >= SUSPEND_AT && suspendedCount() + 1 <= MOST_SUSPENDED * fleet.readyCount()) {
            suspension[i] = selection.window;
            suspend(i, now);
            turn.notes.add("backend " + i + " suspended, bad outcomes");
        }
    }

    private void suspend(int i, double now) {
        trial[i] = false;
        suspendedUntil[i] = now + chance.jitter(suspension[i]);
        suspension[i] = Math.min(longestSuspension, 2 * suspension[i]);
    }

    private int suspendedCount() {
        int count = 0;
        for (int i = 0; i < fleet.size; i++) {
            count += fleet.ready[i] && suspendedUntil[i] > 0 ? 1 : 0;
        }
        return count;
    }

    /** A suspended backend is probed first where that is allowed, then tried with one exchange. */
    void wake(double now, Turn turn) {
        for (int i = 0; i < fleet.size; i++) {
            if (fleet.ready[i] && suspendedUntil[i] > 0 && !trial[i] && suspendedUntil[i] <= now) {
                if (mayProbe) {
                    turn.probes.add(i);
                    suspendedUntil[i] = now + chance.jitter(suspension[i]);
                } else {
                    trial[i] = true;
                }
            }
        }
        for (int i : turn.probes) {
            spend(i, PROBE_WORK * work(), now);
        }
    }

    double wakeAt() {
        double at = Double.POSITIVE_INFINITY;
        for (int i = 0; i < fleet.size; i++) {
            if (fleet.ready[i] && suspendedUntil[i] > 0 && !trial[i]) {
                at = Math.min(at, suspendedUntil[i]);
            }
        }
        return at;
    }

    void probed(int i, boolean answered, double now, Turn turn) {
        if (answered) {
            connected(i, now, turn);
            if (suspendedUntil[i] > 0) {
                trial[i] = true;
                suspendedUntil[i] = now;
            }
        }
    }
}
