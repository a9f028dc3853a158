package lemondrift.simulator;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/** Reads batches one at a time into a reused buffer. */
final class FrameReader {
    /** A length above this is treated as invalid. */
    private static final int MAX_BATCH_BYTES = 1 << 30;

    private final InputStream in;
    private final byte[] head = new byte[4];
    private ByteBuffer body = ByteBuffer.allocate(1 << 20).order(ByteOrder.LITTLE_ENDIAN);

    FrameReader(InputStream in) {
        this.in = in;
    }

    /**
     * Reads the next batch and returns its bytes after the length field, in a buffer that is valid
     * until the next call; null if the input ends between two batches.
     *
     * @throws EOFException if the input ends within a batch
     * @throws IOException if the length is invalid or reading fails
     */
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
            throw new IOException(
                    "invalid batch length: "
                            + Integer.toUnsignedString(length)
                            + " bytes, expected 12 to "
                            + MAX_BATCH_BYTES);
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
