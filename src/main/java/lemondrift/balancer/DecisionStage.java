package lemondrift.balancer;

import lemondrift.model.*;

/** One link of the chain. An exchange goes outward until a stage ends it; an ending comes back inward. */
abstract class DecisionStage {
    private DecisionStage inner;
    private DecisionStage outer;

    final DecisionStage then(DecisionStage next) {
        outer = next;
        next.inner = this;
        return next;
    }

    /** Passes the exchange on, keeps it, or gives it up; the exchange has nothing out. */
    void offer(Request x, double now, Decision turn) {
        outer.offer(x, now, turn);
    }

    /** Whether a backend may take the exchange now, as far as this stage and those before it say. */
    boolean mayTake(Request x, int i, double now) {
        return inner == null || inner.mayTake(x, i, now);
    }

    void ended(Attempt f, AttemptOutcome outcome, double took, double now, Decision turn) {
        inner.ended(f, outcome, took, now, turn);
    }

    /** Ends the exchange with an answer at once; comeBack is when a retry makes sense, 0 where unknown. */
    void giveUp(Request x, double comeBack, double now, Decision turn) {
        inner.giveUp(x, comeBack, now, turn);
    }
}
