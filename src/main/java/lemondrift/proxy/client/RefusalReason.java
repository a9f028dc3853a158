package lemondrift.proxy.client;

/** Why a client's request is refused with a 4xx; the log names it. */
enum RefusalReason {
    /** Its framing can be read in two ways. */
    AMBIGUOUS_FRAMING,
    /** Its body can't be read. */
    UNREADABLE_BODY,
    /** Its body is longer than is accepted. */
    BODY_TOO_LONG,
    /** A field is missing, malformed or there twice, or another request of its id is open. */
    BAD_FIELD_OR_OPEN_ID
}
