package lemondrift.balancer;

import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.DeduplicationScope;
import lemondrift.model.FailureReason;
import lemondrift.model.Idempotency;
import lemondrift.model.Request;
import lemondrift.model.RequestClass;
import lemondrift.model.RequestTerms;

/**
 * Rule 2: decides whether and where a request may be attempted again, so that no effect happens
 * twice.
 *
 * <p>A retry must pass {@link RequestDeadlines} and {@link AdmissionControl} like a first attempt.
 * In addition, all of the following conditions must hold. Otherwise the request ends here or, if no
 * backend is left, in {@link AdmissionControl}:
 *
 * <ul>
 *   <li>the request has had fewer attempts than its terms allow; otherwise it ends with
 *       ATTEMPTS_USED;
 *   <li>the retry budget holds a whole retry; otherwise the request ends with RETRY_BUDGET_SPENT.
 *       Each first attempt earns {@link #RETRIES_PER_REQUEST} retries, up to as many as a request
 *       may have attempts, so that this proxy never causes a retry storm;
 *   <li>the backend has not had this request before;
 *   <li>no earlier attempt may have been executed ({@link AttemptOutcome#neverExecuted}); or the
 *       request is idempotent; or it carries an idempotency key, backends still recognize the key
 *       of the first attempt that may have been executed ({@link Request#repeatableBefore}, checked
 *       again when the retry is written), and the backend shares its memory of keys with the
 *       backend of that attempt: depending on the {@link DeduplicationScope}, all backends do, or
 *       those of its zone, or those of its cell.
 * </ul>
 */
final class RetryPolicy extends DecisionStage {
    /** How many retries each first attempt earns. */
    private static final double RETRIES_PER_REQUEST = 0.25;

    private final BackendTable backends;

    /** How many retries may be made now. */
    private double retryBudget;

    RetryPolicy(BackendTable backends) {
        this.backends = backends;
        retryBudget = backends.settings.limits().maxAttempts();
    }

    /**
     * Returns whether a reply may say that the request was rejected, which promises the client that
     * a retry is harmless.
     */
    static boolean isClientRetryHarmless(Request request) {
        return request.terms.requestClass().isClientRetryHarmless()
                || (request.possiblyExecuted == null && request.attemptsInFlight == 0);
    }

    @Override
    void offer(Request request, double now, Decision decision) {
        RequestTerms terms = request.terms;
        if (request.attemptCount == 0) {
            retryBudget = Math.min(terms.maxAttempts(), retryBudget + RETRIES_PER_REQUEST);
            super.offer(request, now, decision);
        } else if (request.attemptCount >= terms.maxAttempts()) {
            replyLocally(request, FailureReason.ATTEMPTS_USED, 0, decision);
        } else if (retryBudget < 1) {
            replyLocally(request, FailureReason.RETRY_BUDGET_SPENT, 0, decision);
        } else {
            retryBudget--;
            super.offer(request, now, decision);
        }
    }

    @Override
    boolean isBackendEligible(Request request, int backend, double now) {
        return !wasAttemptedAt(request, backend)
                && (request.possiblyExecuted == null
                        || mayRepeat(request, request.possiblyExecuted, backend, now))
                && super.isBackendEligible(request, backend, now);
    }

    private static boolean wasAttemptedAt(Request request, int backend) {
        Attempt attempt = request.latestAttempt;
        while (attempt != null && attempt.backend != backend) {
            attempt = attempt.previous;
        }
        return attempt != null;
    }

    /**
     * Returns whether a backend may execute a request that another backend may have executed
     * already.
     */
    private boolean mayRepeat(Request request, Attempt executed, int backend, double now) {
        RequestClass requestClass = request.terms.requestClass();
        if (requestClass.idempotency() != Idempotency.IDEMPOTENT_WITH_KEY) {
            return requestClass.idempotency() == Idempotency.IDEMPOTENT;
        }
        return now < request.repeatableBefore()
                && shareIdempotencyKeys(
                        requestClass.deduplicationScope(), executed.backend, backend);
    }

    /** Returns whether two backends recognize the same idempotency keys. */
    private boolean shareIdempotencyKeys(DeduplicationScope scope, int backend, int other) {
        return scope == DeduplicationScope.ALL
                || (backends.endpoint[backend].location() == backends.endpoint[other].location()
                        && (scope == DeduplicationScope.LOCATION
                                || backends.endpoint[backend].cell()
                                        == backends.endpoint[other].cell()));
    }

    @Override
    void attemptEnded(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            double now,
            Decision decision) {
        if (!outcome.neverExecuted && attempt.request.possiblyExecuted == null) {
            attempt.request.possiblyExecuted = attempt;
        }
        super.attemptEnded(attempt, outcome, durationSeconds, now, decision);
    }
}
