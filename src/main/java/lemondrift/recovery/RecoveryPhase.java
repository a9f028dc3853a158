package lemondrift.recovery;

/** What a proxy that has started is among the others of its bank, as far as they have answered. */
public enum RecoveryPhase {
    /** Nobody has answered yet, and it is too early to say that nobody will. */
    UNKNOWN,
    /** The others were there before, and can be learned from. */
    ALONE,
    /** Of those that answer many have just started too. */
    AMONG_SOME,
    /** All that answer have just started, as after a power loss: nobody knows anything. */
    ALL_NEW,
    /** Nobody answers. Danger: that is no sign that the others are gone, nor that they are new. */
    CUT_OFF
}
