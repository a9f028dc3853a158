package lemondrift.proxy.events;

import io.undertow.util.HeaderMap;

/**
 * What came back on a call; status 0 where the connection failed before the answer was whole. Where
 * it is passed on, the body is its beginning and the rest is whoever has what follows, else null.
 */
public record BackendResponse(
        int status,
        HeaderMap headers,
        byte[] body,
        boolean requestSent,
        boolean timedOut,
        ResponseRemainder remainder) {
    public static final int OK = 200;

    /** Given up before all of its request was sent, through no fault of its backend. */
    public static final int UNSENT = -1;

    public static BackendResponse unsent() {
        return new BackendResponse(UNSENT, new HeaderMap(), new byte[0], false, false, null);
    }

    public static BackendResponse broken(boolean sent, boolean timedOut) {
        return new BackendResponse(0, new HeaderMap(), new byte[0], sent, timedOut, null);
    }
}
