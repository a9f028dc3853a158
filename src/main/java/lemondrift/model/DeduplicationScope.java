package lemondrift.model;

/** Which backends recognize the idempotency key of a request that one of them has executed. */
public enum DeduplicationScope {
    /** All backends. */
    ALL,
    /** The backends of its location. */
    LOCATION,
    /** The backends of its location and cell. */
    CELL
}
