package lemondrift.model;

/**
 * Why a request was rejected or failed instead of being answered by a backend; the log contains
 * this name.
 */
public enum FailureReason {
    /** Its attempt deadline had passed before another attempt could be made. */
    NO_TIME_LEFT,
    /** It was still open when its client stopped waiting. */
    EXPIRED,
    /** The expected wait was longer than the request's priority and remaining time allow. */
    WAIT_TOO_LONG,
    /** No backend is eligible for the request, and none has had it. */
    NO_BACKEND,
    /**
     * No backend is eligible for this retry: those that take requests have had it or must not
     * execute it again.
     */
    NO_BACKEND_FOR_RETRY,
    /** It has had as many attempts as it is allowed. */
    ATTEMPTS_USED,
    /** The retry budget is spent: retries have reached their share of the traffic. */
    RETRY_BUDGET_SPENT,
    /** The process is shutting down. */
    SHUTDOWN,
    /** The balancer had not answered it by its deadline, so the client side of the proxy did. */
    OVERDUE,
    /** A decision about it threw an exception, which is in the log. */
    INTERNAL_ERROR
}
