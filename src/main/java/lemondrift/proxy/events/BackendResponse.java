package lemondrift.proxy.events;

import io.undertow.util.HeaderMap;

/**
 * The result of one call to a backend.
 *
 * @param completion how the call ended; unless it is {@link Completion#RECEIVED}, the other
 *     components are empty, 0 or null
 * @param status the HTTP status; 0 if there was no response
 * @param body the body, or its beginning if there is a remainder
 * @param remainder the rest of a long body; null if {@code body} is complete
 */
public record BackendResponse(
        Completion completion,
        int status,
        HeaderMap headers,
        byte[] body,
        ResponseRemainder remainder) {
    /** How a call ended. */
    public enum Completion {
        /** The response was received, or the beginning of a response that is streamed. */
        RECEIVED,
        /**
         * The call was given up before its request was completely sent, through no fault of the
         * backend.
         */
        NOT_SENT,
        /**
         * The connection could not be established, or it broke, or the call timed out, before the
         * last byte of the request was handed to the kernel.
         */
        FAILED_BEFORE_SENT,
        /**
         * The connection broke, or the response could not be parsed, after the request was sent.
         */
        CONNECTION_BROKEN,
        /** The call timed out after the request was sent and before the response was complete. */
        TIMED_OUT
    }

    /** The only status that counts as success. */
    public static final int OK = 200;

    /** The status of a call without a response. */
    private static final int NO_STATUS = 0;

    /**
     * Returns a response that was received, or its beginning.
     *
     * @param remainder the rest of a long body; null if {@code body} is complete
     */
    public static BackendResponse received(
            int status, HeaderMap headers, byte[] body, ResponseRemainder remainder) {
        return new BackendResponse(Completion.RECEIVED, status, headers, body, remainder);
    }

    /**
     * Returns the result of a call that was given up before its request was completely sent,
     * through no fault of the backend.
     */
    public static BackendResponse notSent() {
        return withoutResponse(Completion.NOT_SENT);
    }

    /**
     * Returns the result of a call whose connection failed, or that timed out, before the response
     * was complete.
     *
     * @param requestSent whether the last byte of the request was handed to the kernel
     * @param timedOut whether the call ended because it timed out
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

    /** Returns whether a response with status {@link #OK} was received. */
    public boolean isSuccess() {
        return completion == Completion.RECEIVED && status == OK;
    }
}
