package lemondrift.connection;

/** The reason for which a client's connection was closed. */
public enum CloseReason {
    /** No byte was received in time. */
    NO_REQUEST,
    /** The client sent its request too slowly. */
    SLOW_REQUEST,
    /** The client read its response too slowly, or not at all. */
    SLOW_READER,
    /** It was idle for longer than the longest idle time. */
    IDLE_TIMEOUT,
    /** It was idle for longer than its expected reuse justified. */
    REUSE_UNLIKELY,
    /** There were too many connections. */
    EVICTED,
    /** Closed with its response: a free connection slot was worth more than the expected reuse. */
    NOT_KEPT_ALIVE,
    /** Closed with its response: too many consecutive requests were invalid. */
    REPEATEDLY_INVALID,
    /** The proxy is draining. */
    DRAINING,
    /** The client or the network closed it. */
    CLIENT_CLOSED
}
