package lemondrift.connection;

/** The state of a client's connection. docs/connections.md has a diagram of the transitions. */
public enum ConnectionState {
    /** The index is not in use. */
    FREE,
    /** Accepted; no byte has been received yet. */
    NEW,
    /** Part of a request's head has been received. */
    READING_HEAD,
    /** The head is complete; the body has not been completely read. */
    READING_BODY,
    /** A complete request waits for its response. */
    AWAITING_RESPONSE,
    /** The response is being written to the client. */
    SENDING_RESPONSE,
    /** Its request was invalid; the connection is not read for a while. */
    READ_PAUSED,
    /** Between requests: the last response was sent, and no byte has been received since. */
    IDLE
}
