package lemondrift.model;

/** How a forward ended, and whether that proves that it never ran. */
public enum AttemptOutcome {
    ERROR(false, false), DELIVERED(false, false), FULL(true, false), TIMED_OUT(false, true),
    CONNECT_FAILED(true, false), RESET(false, false), CANCELLED(false, true), MOOT(true, false);

    public final boolean neverRan;
    /** Whether nobody waits for it any more though the backend may be at work on it. */
    public final boolean mayRunOn;

    AttemptOutcome(boolean neverRan, boolean mayRunOn) {
        this.neverRan = neverRan;
        this.mayRunOn = mayRunOn;
    }
}
