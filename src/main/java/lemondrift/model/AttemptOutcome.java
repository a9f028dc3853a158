package lemondrift.model;

/** How a forward ended, and whether that proves that it never ran. */
public enum AttemptOutcome {
    ERROR(false, false),
    SUCCESS(false, false),
    OVERLOADED(true, false),
    TIMED_OUT(false, true),
    CONNECT_FAILED(true, false),
    RESET(false, false),
    CANCELLED(false, true),
    NOT_SENT(true, false);

    public final boolean neverExecuted;

    /** Whether nobody waits for it any more though the backend may be at work on it. */
    public final boolean mayStillRun;

    AttemptOutcome(boolean neverRan, boolean mayRunOn) {
        this.neverExecuted = neverRan;
        this.mayStillRun = mayRunOn;
    }
}
