package lemondrift.proxy.events;

import lemondrift.proxy.http.BodySource;

/** What follows of a response whose beginning has been passed on. I/O thread only. */
public interface ResponseRemainder extends BodySource {
    /** The Content-Length of the whole body, in bytes; below 0 where the backend states none. */
    int declaredLength();

    /** All of it has been passed on to the client. */
    void relayCompleted();

    /** Nobody wants the rest of it. */
    void abandonResponse();
}
