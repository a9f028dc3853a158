package lemondrift.model;

/** Whether an exchange may run again: harmless, recognised by its mark, or never. */
public enum Idempotency { PURE, RECEIPTED, EFFECTFUL }
