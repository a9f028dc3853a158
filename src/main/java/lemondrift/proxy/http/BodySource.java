package lemondrift.proxy.http;

import java.io.IOException;
import java.nio.ByteBuffer;

/** A message body that is read piece by piece without blocking. I/O thread only. */
public interface BodySource {
    /**
     * Returns the next piece; null if none has arrived yet or all have been returned.
     *
     * @throws IOException if the sender closed before the end of the body or sent invalid bytes
     */
    ByteBuffer nextPiece() throws IOException;

    /** Returns whether {@link #nextPiece} has returned the complete body. */
    boolean isComplete();

    /** Runs an action once when there may be more to read. */
    void awaitMore(Runnable action);
}
