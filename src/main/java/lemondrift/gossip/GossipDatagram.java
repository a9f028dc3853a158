package lemondrift.gossip;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Encodes and decodes gossip messages: 1 byte for the kind, 2 bytes for the sequence number, then 3
 * bytes for each attempt in flight, which hold the tag of its backend. The low 12 bits of a
 * sequence number count messages; the high 4 bits are the low bits of the sender's start number.
 */
final class GossipDatagram {
    /** Maximum size of a datagram, in bytes. */
    static final int MAX_BYTES = 256;

    /** Size of a tag, in bits. */
    static final int TAG_BITS = 24;

    /** First byte of a gossip datagram; datagrams with a recovery status begin with another one. */
    private static final byte KIND = 4;

    /** Size of the kind and the sequence number together, in bytes. */
    private static final int HEADER_BYTES = 3;

    /** Size of a tag, in bytes. */
    private static final int TAG_BYTES = 3;

    /** Maximum number of attempts in a datagram. */
    static final int MAX_TAGS = (MAX_BYTES - HEADER_BYTES) / TAG_BYTES;

    /** Number of bits of a sequence number that count messages. */
    private static final int COUNTER_BITS = 12;

    /** The counter wraps around after this number of messages. */
    private static final int COUNTER_VALUES = 1 << COUNTER_BITS;

    /** Number of starts that a sequence number can distinguish. */
    private static final int DISTINCT_STARTS = 16;

    private GossipDatagram() {}

    /** Returns the bits of a start number that fit into a sequence number. */
    static int startBits(long startNumber) {
        return (int) (startNumber % DISTINCT_STARTS);
    }

    /** Returns the start bits of a sequence number. */
    static int startBitsOf(int sequenceNumber) {
        return sequenceNumber >> COUNTER_BITS;
    }

    /**
     * Returns whether a sequence number is newer than another one of the same start. The counter
     * may have wrapped around in between.
     */
    static boolean isAfter(int sequenceNumber, int other) {
        int ahead = sequenceNumber - other & COUNTER_VALUES - 1;
        return ahead > 0 && ahead < COUNTER_VALUES / 2;
    }

    /** Encodes a datagram with the tags of the attempts in flight, at most {@link #MAX_TAGS}. */
    static byte[] encode(int startBits, int counter, int[] tags) {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + tags.length * TAG_BYTES);
        out.put(KIND)
                .putShort((short) (startBits << COUNTER_BITS | (counter & COUNTER_VALUES - 1)));
        for (int tag : tags) {
            out.put((byte) (tag >> 16)).put((byte) (tag >> 8)).put((byte) tag);
        }
        return out.array();
    }

    /** Returns whether the bytes are a gossip message of a valid length. */
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
