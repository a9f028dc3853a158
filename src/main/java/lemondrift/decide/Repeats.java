package lemondrift.decide;

import lemondrift.model.*;

/** Rule 2: no effect twice. Says whether an exchange may be forwarded again, and to which backends. */
final class Repeats extends Stage {
    /** Further forwards stay under this share of first ones: a retry storm is never of our making. */
    private static final double RETRY_SHARE = 0.25;

    private final Fleet fleet;
    private double credit;

    Repeats(Fleet fleet) {
        credit = fleet.stated.limits().forwards();
        this.fleet = fleet;
    }

    /** A shed reply promises that a retry is harmless. */
    static boolean mayShed(Exchange x) {
        return x.terms.grade().effect() == Effect.PURE || x.mayHaveRun == null && x.out == 0
                || x.terms.grade().effect() == Effect.RECEIPTED && x.terms.grade().group() == Group.ALL;
    }

    @Override
    void offer(Exchange x, double now, Turn turn) {
        boolean repeat = x.forwards > 0;
        if (repeat && (x.forwards >= x.terms.forwards() || credit < 1)) {
            x.ending = credit < 1 ? Ending.RETRY_BUDGET_SPENT : Ending.ATTEMPTS_USED;
            giveUp(x, 0, now, turn);
            return;
        }
        credit = repeat ? credit - 1 : Math.min(x.terms.forwards(), credit + RETRY_SHARE);
        super.offer(x, now, turn);
    }

    @Override
    boolean mayTake(Exchange x, int i, double now) {
        Forward f = x.latest;
        for (; f != null && f.backend != i; f = f.earlier) { }
        return f == null && (x.mayHaveRun == null || mayRepeat(x.terms.grade(), x.mayHaveRun, i, now))
                && super.mayTake(x, i, now);
    }

    private boolean mayRepeat(ServiceGrade grade, Forward ran, int i, double now) {
        // Danger: receipts are forgotten after a while, counted from the first send that may have run.
        return grade.effect() == Effect.PURE || grade.effect() == Effect.RECEIPTED
                && now - ran.sent < grade.receiptMemory() && (grade.group() == Group.ALL
                || fleet.line[ran.backend].location() == fleet.line[i].location()
                && (grade.group() == Group.LOCATION
                || fleet.line[ran.backend].cell() == fleet.line[i].cell()));
    }

    @Override
    void ended(Forward f, Outcome outcome, double took, double now, Turn turn) {
        if (!outcome.neverRan && f.exchange.mayHaveRun == null) {
            f.exchange.mayHaveRun = f;
        }
        super.ended(f, outcome, took, now, turn);
    }
}
