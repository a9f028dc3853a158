package lemondrift.proxy.http;

import java.io.IOException;
import java.nio.ByteBuffer;

/** A message body that is read piece by piece, without waiting. I/O thread only. */
public interface BodySource {
    /**
     * The next piece; null where none has come yet, or all have been given.
     *
     * @throws IOException where the side that gives the body broke off or sent what cannot be read
     */
    ByteBuffer nextPiece() throws IOException;

    /** Whether {@link #nextPiece} has given the whole body. */
    boolean isComplete();

    /** Runs the action once there may be more to read. */
    void awaitMore(Runnable action);
}
