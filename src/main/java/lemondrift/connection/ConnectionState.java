package lemondrift.connection;

/**
 * What a client's connection is doing. docs/connections.md draws how one state leads to another.
 */
public enum ConnectionState {
    /** The index is not in use. */
    FREE,
    /** Accepted, and no byte has come on it yet. */
    NEW,
    /** Part of a request's head has come. */
    READING_HEAD,
    /** The head is complete, part of the body has come. */
    READING_BODY,
    /** A complete request waits for its response. */
    AWAITING_RESPONSE,
    /** The response is being written to the client. */
    SENDING_RESPONSE,
    /** Its request was rejected; it is not read for a while. */
    READ_PAUSED,
    /** Between requests: the last response is out and no byte has come since. */
    IDLE
}
