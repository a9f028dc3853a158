package lemondrift.model;

/**
 * Why a request was rejected or failed instead of being answered by a backend. The log and the
 * metrics contain these names.
 */
public enum FailureReason {
    /** Its attempt deadline had passed before another attempt could be made. */
    NO_TIME_LEFT,
    /** It was still open when its client stopped waiting. */
    EXPIRED,
    /**
     * The expected wait was longer than the request's priority and remaining time allow. Decided by
     * the balancer or, while many requests wait for the balancer, by the client side of the proxy
     * with the balancer's {@link ShedThreshold}.
     */
    WAIT_TOO_LONG,
    /**
     * No backend is eligible for the request, or the eligible ones are cold and reserved for
     * requests of higher priority. No backend has had the request.
     */
    NO_BACKEND,
    /**
     * As {@link #NO_BACKEND}, for a retry. A backend that has had the request, or that might
     * execute it a second time, is not eligible.
     */
    NO_BACKEND_FOR_RETRY,
    /** It has had as many attempts as it is allowed. */
    ATTEMPTS_USED,
    /** The retry budget is spent: retries have reached their share of the requests. */
    RETRY_BUDGET_SPENT,
    /** The process is shutting down. */
    SHUTDOWN,
    /** The balancer had not answered it by its deadline, so the client side of the proxy did. */
    OVERDUE,
    /** No backend had taken its whole body when its client stopped waiting. */
    BODY_NOT_TAKEN,
    /** A decision about it threw an exception, which is in the log. */
    INTERNAL_ERROR
}
