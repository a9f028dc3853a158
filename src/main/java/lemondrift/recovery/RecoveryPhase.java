package lemondrift.recovery;

/** What a proxy that has started is among its peers, as far as they have answered. */
public enum RecoveryPhase {
    /** It is too early to say: no settled peer has answered, and others may still do. */
    UNKNOWN,
    /** It alone is new: most that answer were there before, and can be learned from. */
    ALONE,
    /** Of those that answer, more than one in four have not measured enough yet. */
    AMONG_SOME,
    /** All that answer have just started, as after a power loss: none has measured enough. */
    ALL_NEW,
    /** None answers; that does not show that the others are gone, nor that they are new. */
    CUT_OFF
}
