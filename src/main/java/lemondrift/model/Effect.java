package lemondrift.model;

/** Whether an exchange may run again: harmless, recognised by its mark, or never. */
public enum Effect { PURE, RECEIPTED, EFFECTFUL }
