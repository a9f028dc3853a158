package lemondrift.model;

/** Which backends recognize the idempotency key of a request that one of them has executed. */
public enum DeduplicationScope {
    /** All backends. */
    ALL,
    /** The backends of its zone. */
    LOCATION,
    /** The backends of its cell within its zone. */
    CELL
}
