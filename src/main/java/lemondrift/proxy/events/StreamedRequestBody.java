package lemondrift.proxy.events;

import lemondrift.proxy.http.BodySource;

/**
 * A request body that is too long to be buffered whole and is passed on as it comes. I/O thread
 * only.
 */
public interface StreamedRequestBody extends BodySource {
    /** Starts again at the first byte; returns false where that is no longer buffered. */
    boolean restart();

    /** Whether its length is not known, so that it is sent in chunks. */
    boolean isChunked();

    /** Seconds for which a backend may take nothing of it. */
    double stallTimeoutSeconds();

    /** Seconds that the backend has for its response, from the last byte of the body on. */
    double responseTimeoutSeconds();

    /** Sets what is to be done when its request is over. */
    void onRelease(Runnable action);
}
