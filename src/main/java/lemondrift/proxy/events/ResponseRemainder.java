package lemondrift.proxy.events;

import lemondrift.proxy.http.BodySource;

/**
 * The rest of a response whose beginning was passed on as a {@link BackendResponse}. I/O thread
 * only.
 */
public interface ResponseRemainder extends BodySource {
    /**
     * Returns the Content-Length of the whole body, in bytes; negative if the backend states none.
     */
    int declaredLength();

    /** Called once the complete response has been passed on to the client. */
    void relayCompleted();

    /** Discards the rest of the response and closes its connection. */
    void abandonResponse();
}
