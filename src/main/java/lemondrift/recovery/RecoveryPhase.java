package lemondrift.recovery;

/**
 * How many of the proxies that answer a starting proxy have just started too. A peer is settled if
 * it has measured enough samples of its own.
 */
public enum RecoveryPhase {
    /** Not decided yet: no settled peer has answered, and more peers may still answer. */
    UNKNOWN,
    /**
     * Only this proxy is new: at least three in four of the peers that answer are settled, so it
     * can learn from them.
     */
    ALONE,
    /** More than one in four of the peers that answer are not settled yet, but at least one is. */
    AMONG_SOME,
    /** All peers that answer have just started, as after a power loss: none is settled. */
    ALL_NEW,
    /**
     * No peer answers. This does not show that the peers are gone, nor that they have just started.
     */
    CUT_OFF
}
