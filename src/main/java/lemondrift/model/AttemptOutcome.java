package lemondrift.model;

/** How an attempt ended, and whether that proves that the backend never executed the request. */
public enum AttemptOutcome {
    /** The backend answered with an error. */
    ERROR(false, false),
    /** The backend answered. */
    SUCCESS(false, false),
    /** The backend rejected the request without executing it. */
    OVERLOADED(true, false),
    /** No answer arrived within the attempt's timeout. */
    TIMED_OUT(false, true),
    /**
     * No connection was made, or it broke or timed out before the last byte of the request was
     * sent.
     */
    CONNECT_FAILED(true, false),
    /** The connection broke after the request was sent. */
    RESET(false, false),
    /** The proxy cancelled the attempt. */
    CANCELLED(false, true),
    /** The proxy did not send the request. */
    NOT_SENT(true, false);

    /** Whether the outcome proves that the backend never executed the request. */
    public final boolean neverExecuted;

    /**
     * Whether the proxy no longer waits for the attempt although the backend may still be working
     * on it.
     */
    public final boolean mayStillRun;

    AttemptOutcome(boolean neverExecuted, boolean mayStillRun) {
        this.neverExecuted = neverExecuted;
        this.mayStillRun = mayStillRun;
    }
}
