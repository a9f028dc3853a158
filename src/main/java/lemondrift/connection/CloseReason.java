package lemondrift.connection;

/** Why a client's connection ended. */
public enum CloseReason {
    /** It never said anything. */
    NO_WORD,
    /** Its request came too slowly. */
    SLOW,
    /** Its answer was not fetched, or too slowly. */
    UNFETCHED,
    /** It was quiet for longer than any may be. */
    QUIET,
    /** It was quiet for longer than its place was worth. */
    UNUSED,
    /** It gave way in a crowd. */
    CROWD,
    /** It closed with its answer, as the place was worth more than its next use. */
    WITH_ANSWER,
    /** It closed with its answer, as too many of its requests in a row were turned away. */
    TURNED_AWAY,
    /** The proxy drains. */
    DRAIN,
    /** Its client closed it, or the network did. */
    GONE
}
