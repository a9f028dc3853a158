package lemondrift.connection;

/** Why a client's connection was closed. */
public enum CloseReason {
    /** No byte came on it in time. */
    NO_REQUEST,
    /** Its request came too slowly. */
    SLOW_REQUEST,
    /** The client took its response too slowly, or not at all. */
    SLOW_READER,
    /** It was idle for longer than any connection may be. */
    IDLE_TIMEOUT,
    /** It was idle for longer than its expected reuse was worth. */
    REUSE_UNLIKELY,
    /** There were too many connections. */
    EVICTED,
    /** Closed with its response, as the place was worth more than its expected reuse. */
    NOT_KEPT_ALIVE,
    /** Closed with its response, as too many of its requests in a row were rejected. */
    REPEATEDLY_INVALID,
    /** The proxy drains. */
    DRAINING,
    /** The client or the network closed it. */
    CLIENT_CLOSED
}
