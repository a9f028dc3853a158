package lemondrift.proxy.events;

import lemondrift.proxy.http.BodySource;

/**
 * A request body that is too long to be buffered completely and is passed on while it arrives. I/O
 * thread only.
 */
public interface StreamedRequestBody extends BodySource {
    /** Restarts the body at its first byte. Returns false if that byte is no longer buffered. */
    boolean restart();

    /** Returns whether the length of the body is unknown, so that it is sent in chunks. */
    boolean isChunked();

    /**
     * Returns how many seconds a backend may take no byte of the body before the attempt is ended.
     */
    double stallTimeoutSeconds();

    /**
     * Returns how many seconds the backend has for its response, from the last byte of the body on.
     */
    double responseTimeoutSeconds();

    /**
     * Returns how many seconds the client still waits for its response at the least; 0 or less if
     * it may have stopped waiting.
     */
    double clientSecondsLeft();

    /** Sets the action that runs when the request ends. It replaces an action set before. */
    void onRelease(Runnable action);
}
