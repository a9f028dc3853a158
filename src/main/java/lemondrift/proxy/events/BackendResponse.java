package lemondrift.proxy.events;

import io.undertow.util.HeaderMap;

/**
 * What came of one call to a backend.
 *
 * @param status the HTTP status; 0 where the connection failed before the response was complete,
 *     {@link #NOT_SENT} where the request was not sent whole through no fault of the backend
 * @param body the body, or its beginning where there is a remainder
 * @param requestSent whether the last byte of the request was handed to the system
 * @param timedOut whether the call ended because its time was over
 * @param remainder what follows of a long body; null where the body is complete
 */
public record BackendResponse(
        int status,
        HeaderMap headers,
        byte[] body,
        boolean requestSent,
        boolean timedOut,
        ResponseRemainder remainder) {
    /** The one status that counts as success. */
    public static final int OK = 200;

    /** The status of a call that was given up before its request was sent whole. */
    public static final int NOT_SENT = -1;

    /**
     * A call that was given up before its request was sent whole, through no fault of its backend.
     */
    public static BackendResponse notSent() {
        return new BackendResponse(NOT_SENT, new HeaderMap(), new byte[0], false, false, null);
    }

    /**
     * A connection that failed, or a call whose time was over, before the response was complete.
     */
    public static BackendResponse connectionFailed(boolean requestSent, boolean timedOut) {
        return new BackendResponse(0, new HeaderMap(), new byte[0], requestSent, timedOut, null);
    }
}
