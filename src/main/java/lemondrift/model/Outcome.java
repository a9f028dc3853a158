package lemondrift.model;

/** How a forward ended, and whether that proves that it never ran. */
public enum Outcome {
    ERROR(false), DELIVERED(false), FULL(true), TIMED_OUT(false), CONNECT_FAILED(true), RESET(false),
    CANCELLED(false), MOOT(true);

    public final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
