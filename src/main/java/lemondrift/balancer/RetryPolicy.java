package lemondrift.balancer;

import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.DeduplicationScope;
import lemondrift.model.FailureReason;
import lemondrift.model.Idempotency;
import lemondrift.model.Request;
import lemondrift.model.RequestClass;

/**
 * Rule 2: no effect twice. Says whether an exchange may be forwarded again, and to which backends.
 */
final class RetryPolicy extends DecisionStage {
    /**
     * Further forwards stay under this share of first ones: a retry storm is never of our making.
     */
    private static final double RETRY_SHARE = 0.25;

    private final BackendTable backends;
    private double credit;

    RetryPolicy(BackendTable backends) {
        credit = backends.stated.limits().maxAttempts();
        this.backends = backends;
    }

    /** A shed reply promises that a retry is harmless. */
    static boolean mayShed(Request request) {
        return request.terms.requestClass().idempotency() == Idempotency.IDEMPOTENT
                || (request.possiblyExecuted == null && request.attemptsInFlight == 0)
                || (request.terms.requestClass().idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && request.terms.requestClass().deduplicationScope()
                                == DeduplicationScope.ALL);
    }

    @Override
    void offer(Request request, double now, Decision decision) {
        boolean repeat = request.attemptCount > 0;
        if (repeat && (request.attemptCount >= request.terms.maxAttempts() || credit < 1)) {
            request.failureReason =
                    credit < 1 ? FailureReason.RETRY_BUDGET_SPENT : FailureReason.ATTEMPTS_USED;
            giveUp(request, 0, now, decision);
            return;
        }
        credit = repeat ? credit - 1 : Math.min(request.terms.maxAttempts(), credit + RETRY_SHARE);
        super.offer(request, now, decision);
    }

    @Override
    boolean mayTake(Request request, int i, double now) {
        Attempt attempt = request.latestAttempt;
        for (; attempt != null && attempt.backend != i; attempt = attempt.previous) {}
        return attempt == null
                && (request.possiblyExecuted == null
                        || mayRepeat(
                                request.terms.requestClass(), request.possiblyExecuted, i, now))
                && super.mayTake(request, i, now);
    }

    private boolean mayRepeat(RequestClass requestClass, Attempt ran, int i, double now) {
        // Danger: receipts are forgotten after a while, counted from the first send that may have
        // run.
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && now - ran.sentAt < requestClass.idempotencyKeyTtlSeconds()
                        && (requestClass.deduplicationScope() == DeduplicationScope.ALL
                                || (backends.line[ran.backend].location()
                                                == backends.line[i].location()
                                        && (requestClass.deduplicationScope()
                                                        == DeduplicationScope.LOCATION
                                                || backends.line[ran.backend].cell()
                                                        == backends.line[i].cell()))));
    }

    @Override
    void ended(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            double now,
            Decision decision) {
        if (!outcome.neverExecuted && attempt.request.possiblyExecuted == null) {
            attempt.request.possiblyExecuted = attempt;
        }
        super.ended(attempt, outcome, durationSeconds, now, decision);
    }
}
