package lemondrift.model;

/** Whether a request may be executed twice. */
public enum Idempotency {
    /** It may: executing it again changes nothing. */
    IDEMPOTENT,
    /** It may where the backend recognizes its idempotency key. */
    IDEMPOTENT_WITH_KEY,
    /** It may not. */
    NOT_IDEMPOTENT
}
