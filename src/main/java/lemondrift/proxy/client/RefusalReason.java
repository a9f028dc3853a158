package lemondrift.proxy.client;

/** Why a client's request is refused with a 4xx status; the log contains the constant's name. */
enum RefusalReason {
    /** The request's framing can be interpreted in two ways. */
    AMBIGUOUS_FRAMING,
    /** The body can't be read. */
    UNREADABLE_BODY,
    /** The body is longer than the proxy accepts. */
    BODY_TOO_LONG,
    /** A field is missing, malformed or repeated, or the id is in use, see {@link RequestIds}. */
    BAD_FIELD_OR_OPEN_ID
}
