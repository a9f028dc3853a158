package lemondrift.gossip;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The bytes of a gossip message: 1 byte kind, 2 bytes sequence number, then 3 bytes for each
 * attempt in flight, the tag of its backend. Of a sequence number the low 12 bits count messages,
 * and the high 4 bits are the low bits of the sender's start number.
 */
final class GossipDatagram {
    /** A datagram's size limit, in bytes. */
    static final int MAX_BYTES = 256;

    /** Size of a tag, in bits. */
    static final int TAG_BITS = 24;

    /** First byte; a peer's recovery status has another one. */
    private static final byte KIND = 4;

    /** Kind and sequence number, in bytes. */
    private static final int HEADER_BYTES = 3;

    /** Size of a tag, in bytes. */
    private static final int TAG_BYTES = 3;

    /** How many attempts a datagram has room for. */
    static final int MAX_TAGS = (MAX_BYTES - HEADER_BYTES) / TAG_BYTES;

    /** Bits of a sequence number that count messages. */
    private static final int COUNTER_BITS = 12;

    /** The counter begins again after so many messages. */
    private static final int COUNTER_VALUES = 1 << COUNTER_BITS;

    /** How many starts a sequence number tells apart. */
    private static final int DISTINCT_STARTS = 16;

    private GossipDatagram() {}

    /** The bits of a start number that a sequence number has room for. */
    static int startBits(long startNumber) {
        return (int) (startNumber % DISTINCT_STARTS);
    }

    /** The start bits of a sequence number. */
    static int startBitsOf(int sequenceNumber) {
        return sequenceNumber >> COUNTER_BITS;
    }

    /** Whether one sequence number of a start comes after another of it. */
    static boolean isAfter(int sequenceNumber, int other) {
        int ahead = sequenceNumber - other & COUNTER_VALUES - 1;
        return ahead > 0 && ahead < COUNTER_VALUES / 2;
    }

    /** A datagram with the tags of the attempts in flight, at most {@link #MAX_TAGS}. */
    static byte[] encode(int startBits, int counter, int[] tags) {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + tags.length * TAG_BYTES);
        out.put(KIND)
                .putShort((short) (startBits << COUNTER_BITS | (counter & COUNTER_VALUES - 1)));
        for (int tag : tags) {
            out.put((byte) (tag >> 16)).put((byte) (tag >> 8)).put((byte) tag);
        }
        return out.array();
    }

    /** Whether it is a gossip message and whole. */
    static boolean isWellFormed(byte[] datagram) {
        int tagBytes = datagram.length - HEADER_BYTES;
        return tagBytes >= 0 && tagBytes % TAG_BYTES == 0 && datagram[0] == KIND;
    }

    static int readSequenceNumber(byte[] datagram) {
        return ByteBuffer.wrap(datagram).getShort(1) & 0xffff;
    }

    static int[] readTags(byte[] datagram) {
        ByteBuffer in = ByteBuffer.wrap(datagram, HEADER_BYTES, datagram.length - HEADER_BYTES);
        int[] tags = new int[in.remaining() / TAG_BYTES];
        Arrays.setAll(
                tags, i -> (in.get() & 0xff) << 16 | (in.get() & 0xff) << 8 | (in.get() & 0xff));
        return tags;
    }
}
