package lemondrift.balancer;

import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.FailureReason;
import lemondrift.model.Request;

/**
 * One stage of the chain of decisions. A request passes from the first stage, which checks
 * deadlines, to the next ones until a stage ends it or makes an attempt. The end of an attempt and
 * a local reply pass back through the previous stages.
 */
abstract class DecisionStage {
    private DecisionStage previous;
    private DecisionStage next;

    /**
     * Appends a stage to this one.
     *
     * @return the appended stage
     */
    final DecisionStage then(DecisionStage following) {
        next = following;
        following.previous = this;
        return following;
    }

    /** Passes the request on, keeps it or ends it. The request has no attempt in flight. */
    void offer(Request request, double now, Decision decision) {
        next.offer(request, now, decision);
    }

    /**
     * Returns whether a backend may receive the request now, according to this stage and the
     * previous ones.
     */
    boolean isBackendEligible(Request request, int backend, double now) {
        return previous == null || previous.isBackendEligible(request, backend, now);
    }

    /** Handles the end of an attempt. */
    void attemptEnded(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            double now,
            Decision decision) {
        previous.attemptEnded(attempt, outcome, durationSeconds, now, decision);
    }

    /**
     * Ends the request with a local reply.
     *
     * @param retryAfterSeconds after how many seconds a retry makes sense; 0 if that is not known
     */
    void replyLocally(
            Request request, FailureReason reason, double retryAfterSeconds, Decision decision) {
        previous.replyLocally(request, reason, retryAfterSeconds, decision);
    }
}
