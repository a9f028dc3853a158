package lemondrift.proxy.events;

import io.undertow.util.HeaderMap;

/**
 * What came of one call to a backend.
 *
 * @param completion how the call ended; all else but this is empty where no response came
 * @param status the HTTP status; 0 where no response came
 * @param body the body, or its beginning where there is a remainder
 * @param remainder what follows of a long body; null where the body is complete
 */
public record BackendResponse(
        Completion completion,
        int status,
        HeaderMap headers,
        byte[] body,
        ResponseRemainder remainder) {
    /** How a call ended. */
    public enum Completion {
        /** The response came, or the beginning of one that is streamed. */
        RECEIVED,
        /** Given up before its request was sent whole, through no fault of the backend. */
        NOT_SENT,
        /**
         * The connection could not be established, or broke, or the time was over, before the last
         * byte of the request was handed to the system.
         */
        FAILED_BEFORE_SENT,
        /** The connection broke, or brought what cannot be read, after the request was sent. */
        CONNECTION_BROKEN,
        /** The time was over after the request was sent and before the response was complete. */
        TIMED_OUT
    }

    /** The one status that counts as success. */
    public static final int OK = 200;

    /** Stands for the status where no response came. */
    private static final int NO_STATUS = 0;

    /** A response that was read whole, or its beginning, and what has the remainder. */
    public static BackendResponse received(
            int status, HeaderMap headers, byte[] body, ResponseRemainder remainder) {
        return new BackendResponse(Completion.RECEIVED, status, headers, body, remainder);
    }

    /**
     * A call that was given up before its request was sent whole, through no fault of its backend.
     */
    public static BackendResponse notSent() {
        return withoutResponse(Completion.NOT_SENT);
    }

    /**
     * A connection that failed, or a call whose time was over, before the response was complete.
     *
     * @param requestSent whether the last byte of the request was handed to the system
     * @param timedOut whether the call ended because its time was over
     */
    public static BackendResponse connectionFailed(boolean requestSent, boolean timedOut) {
        if (!requestSent) {
            return withoutResponse(Completion.FAILED_BEFORE_SENT);
        }
        return withoutResponse(timedOut ? Completion.TIMED_OUT : Completion.CONNECTION_BROKEN);
    }

    private static BackendResponse withoutResponse(Completion completion) {
        return new BackendResponse(completion, NO_STATUS, new HeaderMap(), new byte[0], null);
    }

    /** Whether it is a response with the one status that counts as success. */
    public boolean isSuccess() {
        return completion == Completion.RECEIVED && status == OK;
    }
}
