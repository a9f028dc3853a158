package lemondrift.balancer;

import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.FailureReason;
import lemondrift.model.Request;

/**
 * One stage of the chain of decisions. A request goes from the first stage, which has the
 * deadlines, to the next ones until a stage ends it or makes an attempt; the end of an attempt, and
 * a local reply, come back through the previous ones.
 */
abstract class DecisionStage {
    private DecisionStage previous;
    private DecisionStage next;

    /** Puts a stage behind this one; returns that stage. */
    final DecisionStage then(DecisionStage following) {
        next = following;
        following.previous = this;
        return following;
    }

    /** Passes the request on, keeps it, or ends it; it has no attempt in flight. */
    void offer(Request request, double now, Decision decision) {
        next.offer(request, now, decision);
    }

    /**
     * Whether a backend may be given the request now, as far as this stage and the previous ones
     * say.
     */
    boolean isBackendEligible(Request request, int backend, double now) {
        return previous == null || previous.isBackendEligible(request, backend, now);
    }

    /** Hears that an attempt has ended. */
    void attemptEnded(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            double now,
            Decision decision) {
        previous.attemptEnded(attempt, outcome, durationSeconds, now, decision);
    }

    /**
     * Ends the request with a reply of the proxy's own.
     *
     * @param retryAfterSeconds when a retry makes sense; 0 where that is not known
     */
    void replyLocally(
            Request request, FailureReason reason, double retryAfterSeconds, Decision decision) {
        previous.replyLocally(request, reason, retryAfterSeconds, decision);
    }
}
