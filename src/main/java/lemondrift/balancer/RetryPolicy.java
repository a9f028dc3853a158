package lemondrift.balancer;

import lemondrift.model.*;

/** Rule 2: no effect twice. Says whether an exchange may be forwarded again, and to which backends. */
final class RetryPolicy extends DecisionStage {
    /** Further forwards stay under this share of first ones: a retry storm is never of our making. */
    private static final double RETRY_SHARE = 0.25;

    private final BackendTable fleet;
    private double credit;

    RetryPolicy(BackendTable fleet) {
        credit = fleet.stated.limits().forwards();
        this.fleet = fleet;
    }

    /** A shed reply promises that a retry is harmless. */
    static boolean mayShed(Request x) {
        return x.terms.grade().effect() == Idempotency.PURE || x.mayHaveRun == null && x.out == 0
                || x.terms.grade().effect() == Idempotency.RECEIPTED && x.terms.grade().group() == DeduplicationScope.ALL;
    }

    @Override
    void offer(Request x, double now, Decision turn) {
        boolean repeat = x.forwards > 0;
        if (repeat && (x.forwards >= x.terms.forwards() || credit < 1)) {
            x.ending = credit < 1 ? FailureReason.RETRY_BUDGET_SPENT : FailureReason.ATTEMPTS_USED;
            giveUp(x, 0, now, turn);
            return;
        }
        credit = repeat ? credit - 1 : Math.min(x.terms.forwards(), credit + RETRY_SHARE);
        super.offer(x, now, turn);
    }

    @Override
    boolean mayTake(Request x, int i, double now) {
        Attempt f = x.latest;
        for (; f != null && f.backend != i; f = f.earlier) { }
        return f == null && (x.mayHaveRun == null || mayRepeat(x.terms.grade(), x.mayHaveRun, i, now))
                && super.mayTake(x, i, now);
    }

    private boolean mayRepeat(RequestClass grade, Attempt ran, int i, double now) {
        // Danger: receipts are forgotten after a while, counted from the first send that may have run.
        return grade.effect() == Idempotency.PURE || grade.effect() == Idempotency.RECEIPTED
                && now - ran.sent < grade.receiptMemory() && (grade.group() == DeduplicationScope.ALL
                || fleet.line[ran.backend].location() == fleet.line[i].location()
                && (grade.group() == DeduplicationScope.LOCATION
                || fleet.line[ran.backend].cell() == fleet.line[i].cell()));
    }

    @Override
    void ended(Attempt f, AttemptOutcome outcome, double took, double now, Decision turn) {
        if (!outcome.neverRan && f.exchange.mayHaveRun == null) {
            f.exchange.mayHaveRun = f;
        }
        super.ended(f, outcome, took, now, turn);
    }
}
