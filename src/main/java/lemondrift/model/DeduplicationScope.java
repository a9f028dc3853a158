package lemondrift.model;

/** Which backends recognize the idempotency key of a request that one of them has executed. */
public enum DeduplicationScope {
    /** All backends. */
    ALL,
    /** Those of its location. */
    LOCATION,
    /** Those of its location and cell. */
    CELL
}
