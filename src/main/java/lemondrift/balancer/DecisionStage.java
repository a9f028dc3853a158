package lemondrift.balancer;

import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.FailureReason;
import lemondrift.model.Request;

/**
 * One stage of the chain of decisions. A request goes outward until a stage ends it or makes an
 * attempt; the end of an attempt, and a local reply, come back inward.
 */
abstract class DecisionStage {
    private DecisionStage inner;
    private DecisionStage outer;

    /** Puts a stage behind this one; returns that stage. */
    final DecisionStage then(DecisionStage next) {
        outer = next;
        next.inner = this;
        return next;
    }

    /** Passes the request on, keeps it, or ends it; it has no attempt in flight. */
    void offer(Request request, double now, Decision decision) {
        outer.offer(request, now, decision);
    }

    /**
     * Whether a backend may be given the request now, as far as this stage and those inside it say.
     */
    boolean mayTake(Request request, int backend, double now) {
        return inner == null || inner.mayTake(request, backend, now);
    }

    /** Hears that an attempt has ended. */
    void ended(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            double now,
            Decision decision) {
        inner.ended(attempt, outcome, durationSeconds, now, decision);
    }

    /**
     * Ends the request with a reply of the proxy's own.
     *
     * @param retryAfterSeconds when a retry makes sense; 0 where that is not known
     */
    void replyLocally(
            Request request, FailureReason reason, double retryAfterSeconds, Decision decision) {
        inner.replyLocally(request, reason, retryAfterSeconds, decision);
    }
}
