package lemondrift.balancer;

import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.Request;

/**
 * One link of the chain. An exchange goes outward until a stage ends it; an ending comes back
 * inward.
 */
abstract class DecisionStage {
    private DecisionStage inner;
    private DecisionStage outer;

    final DecisionStage then(DecisionStage next) {
        outer = next;
        next.inner = this;
        return next;
    }

    /** Passes the exchange on, keeps it, or gives it up; the exchange has nothing out. */
    void offer(Request request, double now, Decision decision) {
        outer.offer(request, now, decision);
    }

    /**
     * Whether a backend may take the exchange now, as far as this stage and those before it say.
     */
    boolean mayTake(Request request, int i, double now) {
        return inner == null || inner.mayTake(request, i, now);
    }

    void ended(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            double now,
            Decision decision) {
        inner.ended(attempt, outcome, durationSeconds, now, decision);
    }

    /**
     * Ends the exchange with an answer at once; comeBack is when a retry makes sense, 0 where
     * unknown.
     */
    void giveUp(Request request, double comeBack, double now, Decision decision) {
        inner.giveUp(request, comeBack, now, decision);
    }
}
