package lemondrift.model;

/**
 * Why a request was rejected or failed instead of being answered by a backend; the log names it.
 */
public enum FailureReason {
    /** Its attempt deadline had passed before another attempt could be made. */
    NO_TIME_LEFT,
    /** It was still open when its client stopped waiting. */
    EXPIRED,
    /** The wait to expect was longer than its priority and its time left allow. */
    WAIT_TOO_LONG,
    /** No backend may take it, and none has had it. */
    NO_BACKEND,
    /** No backend may have this retry: those that may take requests have had it, or may not. */
    NO_BACKEND_FOR_RETRY,
    /** It has had all attempts that are allowed. */
    ATTEMPTS_USED,
    /** Retries have had their share of the traffic. */
    RETRY_BUDGET_SPENT,
    /** The process shuts down. */
    SHUTDOWN,
    /** The decisions had not answered it by its deadline, so the client's side did. */
    OVERDUE,
    /** A decision about it threw an exception, which the log has. */
    INTERNAL_ERROR
}
