package lemondrift.model;

/** Whether an exchange may run again: harmless, recognised by its mark, or never. */
public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENT_WITH_KEY,
    NOT_IDEMPOTENT
}
