package lemondrift.recovery;

/** What a proxy that has started is among its peers, as far as they have answered. */
public enum RecoveryPhase {
    /** It is too early to say: no settled peer has answered, and others may still do. */
    UNKNOWN,
    /** It alone is new: most that answer were there before, and can be learned from. */
    ALONE,
    /** Many of those that answer have just started too. */
    AMONG_SOME,
    /** All that answer have just started, as after a power loss: none has measured anything. */
    ALL_NEW,
    /** None answers; that does not show that the others are gone, nor that they are new. */
    CUT_OFF
}
