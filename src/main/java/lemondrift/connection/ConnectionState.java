package lemondrift.connection;

/** The state of a client's connection. docs/connections.md has a diagram of the transitions. */
public enum ConnectionState {
    /** The index is not in use. */
    FREE,
    /** Accepted; no byte has been received yet. */
    NEW,
    /** Part of a request's head has been received. */
    READING_HEAD,
    /** The head is complete; more of the body is awaited from the client. */
    READING_BODY,
    /** The head is complete; the body is not read on until a backend has taken more of it. */
    AWAITING_BACKEND,
    /** A complete request waits for its response. */
    AWAITING_RESPONSE,
    /** The response is being written to the client. */
    SENDING_RESPONSE,
    /** Its request was invalid; the connection is not read for a while. */
    READ_PAUSED,
    /** The response was sent before the request had been read; the rest of it is dropped. */
    DISCARDING_REQUEST,
    /** Between requests: the last response was sent, and no byte has been received since. */
    IDLE
}
