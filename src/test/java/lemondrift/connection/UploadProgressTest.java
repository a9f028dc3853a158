package lemondrift.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests the bound of the time at which a client can have sent its last byte. */
class UploadProgressTest {
    private static final int MIB = 1 << 20;

    /** The most bytes that the client's kernel buffers. */
    private static final int SEND_BUFFER_BYTES = 4 * MIB;

    @Test
    void clientWhoseBytesAreAllReadHasNotSentTheLastOne() {
        UploadProgress progress = new UploadProgress(UploadProgress.UNKNOWN_LENGTH, 0);
        progress.read(1000, 1);
        progress.read(0, 2);
        progress.read(1000, 3);
        assertEquals(2, progress.earliestEnd(MIB, 9));
    }

    @Test
    void clientHasNotSentWhatDoesNotFitIntoTheBuffers() {
        UploadProgress progress = new UploadProgress(20 * MIB, 0);
        progress.read(10 * MIB, 1);
        assertEquals(9, progress.earliestEnd(MIB, 9), "9 MiB do not fit");
        progress.read(5 * MIB, 10);
        assertEquals(10, progress.earliestEnd(MIB, 19));
        progress.read(5 * MIB, 20);
        assertEquals(10, progress.earliestEnd(MIB, 29));
    }

    @Test
    void bodyOfUnknownLengthMayEndWithTheBytesThatWereRead() {
        UploadProgress progress = new UploadProgress(UploadProgress.UNKNOWN_LENGTH, 0);
        for (int second = 1; second <= 20; second++) {
            progress.read(MIB, second);
        }
        assertEquals(15, progress.earliestEnd(MIB, 30));
    }

    /**
     * Plays a client that writes as fast as two buffers take it, and a proxy that reads at random,
     * and compares the bound with the time at which the client wrote its last byte.
     */
    @Property(tries = 300, seed = "48")
    void boundIsNeverAfterTheTimeAtWhichTheClientSentItsLastByte(
            @ForAll @IntRange(min = 1, max = 24 * MIB) int length,
            @ForAll @IntRange(min = 4096, max = 3 * MIB) int receiveBufferBytes,
            @ForAll @IntRange(min = 4096, max = SEND_BUFFER_BYTES) int sendBufferBytes,
            @ForAll boolean lengthKnown,
            @ForAll long seed) {
        Random random = new Random(seed);
        UploadProgress progress =
                new UploadProgress(lengthKnown ? length : UploadProgress.UNKNOWN_LENGTH, 0);
        long written = 0;
        long read = 0;
        double writtenAllAt = Double.POSITIVE_INFINITY;
        for (double now = 1; read < length; now++) {
            long room = read + receiveBufferBytes + sendBufferBytes - written;
            written += Math.min(Math.min(room, length - written), random.nextInt(2 * MIB));
            if (written == length && writtenAllAt > now) {
                writtenAllAt = now;
            }
            if (random.nextInt(3) > 0) {
                int count = (int) Math.min(written - read, random.nextInt(2 * MIB));
                read += count;
                if (count > 0 || written == read) {
                    progress.read(count, now);
                }
            }
            assertTrue(
                    progress.earliestEnd(receiveBufferBytes, now) <= Math.min(now, writtenAllAt));
        }
    }
}
