package lemondrift.connection;

/** What a client's connection is doing. docs/door.md draws how one leads to another. */
public enum ConnectionState {
    /** Its place is free. */
    FREE,
    /** Accepted, and nothing has come on it yet. */
    NEW,
    /** Part of a request's head has come. */
    HEAD,
    /** The head is whole, part of the body has come. */
    BODY,
    /** An exchange is open and waits for its answer. */
    OPEN,
    /** The answer is being fetched. */
    FETCHING,
    /** Its request was turned away; it is not read for a while. */
    TURNED_AWAY,
    /** It was answered and has said nothing since. */
    QUIET
}
