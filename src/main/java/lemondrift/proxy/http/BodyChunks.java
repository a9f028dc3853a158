package lemondrift.proxy.http;

import java.io.IOException;
import java.nio.ByteBuffer;

/** A body that comes piece by piece. */
public interface BodyChunks {
    /** The next one; null where it has to come first, or all have come. */
    ByteBuffer next() throws IOException;

    /** Whether next has given all. */
    boolean isWhole();

    /** Has somebody hear once that there may be more. */
    void awaitMore(Runnable then);
}
