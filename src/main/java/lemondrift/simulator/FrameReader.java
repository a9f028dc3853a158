package lemondrift.simulator;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/** Reads one batch at a time into a buffer that is reused. */
final class FrameReader {
    /** A batch larger than this is taken for a broken length. */
    private static final int MAX_BATCH_BYTES = 1 << 30;

    private final InputStream in;
    private final byte[] head = new byte[4];
    private ByteBuffer body = ByteBuffer.allocate(1 << 20).order(ByteOrder.LITTLE_ENDIAN);

    FrameReader(InputStream in) {
        this.in = in;
    }

    /** The next batch's bytes after the length, or null where the input ends between batches. */
    ByteBuffer readBatch() throws IOException {
        int read = in.readNBytes(head, 0, 4);
        if (read == 0) {
            return null;
        }
        if (read < 4) {
            throw new EOFException(
                    "the input ends after " + read + " of 4 bytes of a batch's length");
        }
        int length = ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN).getInt();
        if (length < 12 || length > MAX_BATCH_BYTES) {
            throw new IOException("a batch's length is " + Integer.toUnsignedString(length));
        }
        if (body.capacity() < length) {
            body =
                    ByteBuffer.allocate(Math.max(length, 2 * body.capacity()))
                            .order(ByteOrder.LITTLE_ENDIAN);
        }
        read = in.readNBytes(body.array(), 0, length);
        if (read < length) {
            throw new EOFException(
                    "the input ends after " + read + " of " + length + " bytes of a batch");
        }
        body.clear().limit(length);
        return body;
    }
}
