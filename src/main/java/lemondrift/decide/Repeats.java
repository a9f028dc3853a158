package lemondrift.decide;

import lemondrift.model.*;

/** Rule 2: no effect twice. Says whether an exchange may be forwarded again, and to which backends. */
final class Repeats extends Stage {
    /** Further forwards stay under this share of first ones: a retry storm is never of our making. */
    private static final double RETRY_SHARE = 0.25;

    private final ServiceGrade[] grades;
    private final int mostForwards;
    private final Fleet fleet;
    private double credit;

    Repeats(Settings s, Fleet fleet) {
        grades = s.grades().toArray(new ServiceGrade[0]);
        mostForwards = s.limits().forwards();
        credit = mostForwards;
        this.fleet = fleet;
    }

    /** A shed reply promises that a retry is harmless. */
    static boolean mayShed(ServiceGrade grade, Exchange x) {
        return grade.effect() == Effect.PURE || x.mayHaveRun == null && x.out == 0
                || grade.effect() == Effect.RECEIPTED && grade.group() == Group.ALL;
    }

    @Override
    void offer(Exchange x, double now, Turn turn) {
        ServiceGrade grade = grades[x.grade];
        boolean repeat = x.forwards > 0;
        boolean harmless = x.mayHaveRun == null || grade.effect() == Effect.PURE;
        // Danger: receipts are forgotten after a while, counted from the first send that may have run.
        boolean marked = grade.effect() == Effect.RECEIPTED
                && (harmless || now - x.mayHaveRun.sent < grade.receiptMemory());
        if (repeat && (x.forwards >= mostForwards || credit < 1 || !harmless && !marked)) {
            giveUp(x, 0, now, turn);
            return;
        }
        credit = repeat ? credit - 1 : Math.min(mostForwards, credit + RETRY_SHARE);
        for (int i = 0; i < fleet.size; i++) {
            fleet.candidate[i] = fleet.ready[i]
                    && (harmless || sameGroup(grade.group(), x.mayHaveRun.backend, i));
        }
        for (Forward f = x.latest; f != null; f = f.earlier) {
            fleet.candidate[f.backend] = false;
        }
        super.offer(x, now, turn);
    }

    private boolean sameGroup(Group group, int a, int b) {
        return group == Group.ALL || fleet.location[a] == fleet.location[b]
                && (group == Group.LOCATION || fleet.cell[a] == fleet.cell[b]);
    }

    @Override
    void ended(Forward f, Outcome outcome, double took, double now, Turn turn) {
        if (!outcome.neverRan && f.exchange.mayHaveRun == null) {
            f.exchange.mayHaveRun = f;
        }
        super.ended(f, outcome, took, now, turn);
    }
}
