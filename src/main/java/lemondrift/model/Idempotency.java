package lemondrift.model;

/** Whether a request may be executed twice. */
public enum Idempotency {
    /** It may be: executing it again changes nothing. */
    IDEMPOTENT,
    /** It may be if the backend recognizes its idempotency key. */
    IDEMPOTENT_WITH_KEY,
    /** It must not be. */
    NOT_IDEMPOTENT
}
