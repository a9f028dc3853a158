package lemondrift.recovery;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * What a proxy says of itself to a peer, in a datagram of 28 bytes. It reports only what it has
 * measured itself, never what peers have told it, so that ten that repeat one source don't count.
 *
 * @param startNumber the sender's start number, which rises with each start
 * @param recipientStart the start number of the proxy that it is for, 0 where that is not known
 * @param wantsReply whether the recipient is to reply with its own status
 * @param uptimeSeconds seconds since the sender's start
 * @param serviceTimeSeconds mean service time that the sender has measured, 0 without samples
 * @param samples from how many responses that is the mean; at most 255 are told
 * @param settled whether the sender has samples enough of its own
 */
public record PeerStatus(
        long startNumber,
        long recipientStart,
        boolean wantsReply,
        float uptimeSeconds,
        float serviceTimeSeconds,
        int samples,
        boolean settled) {
    /** First byte of the datagram; gossip has another one. */
    public static final byte KIND = 3;

    /** Second byte of the datagram. */
    public static final byte VERSION = 1;

    /** Length of the datagram, in bytes. */
    private static final int LENGTH = 28;

    /** Bit of the flags for wantsReply. */
    private static final int WANTS_REPLY_FLAG = 1;

    /** Bit of the flags for settled. */
    private static final int SETTLED_FLAG = 2;

    /** What one byte holds. */
    private static final int MAX_SAMPLES = 255;

    /** Limits the samples to what the datagram can hold. */
    public PeerStatus {
        samples = Math.min(MAX_SAMPLES, samples);
    }

    /** The datagram. */
    public byte[] encode() {
        int flags = (wantsReply ? WANTS_REPLY_FLAG : 0) + (settled ? SETTLED_FLAG : 0);
        return ByteBuffer.allocate(LENGTH)
                .put(KIND)
                .put(VERSION)
                .put((byte) flags)
                .put((byte) samples)
                .putLong(startNumber)
                .putLong(recipientStart)
                .putFloat(uptimeSeconds)
                .putFloat(serviceTimeSeconds)
                .array();
    }

    /**
     * The status in a datagram; empty where that is cut, of another kind or version, or has values
     * out of range.
     */
    public static Optional<PeerStatus> decode(byte[] datagram) {
        if (datagram.length != LENGTH || datagram[0] != KIND || datagram[1] != VERSION) {
            return Optional.empty();
        }
        ByteBuffer in = ByteBuffer.wrap(datagram, 2, LENGTH - 2);
        int flags = in.get();
        int samples = in.get() & 0xff;
        PeerStatus status =
                new PeerStatus(
                        in.getLong(),
                        in.getLong(),
                        (flags & WANTS_REPLY_FLAG) != 0,
                        in.getFloat(),
                        in.getFloat(),
                        samples,
                        (flags & SETTLED_FLAG) != 0);
        return Optional.of(status).filter(PeerStatus::isInRange);
    }

    private boolean isInRange() {
        boolean serviceTimeInRange =
                samples == 0
                        ? serviceTimeSeconds == 0
                        : serviceTimeSeconds > 0 && serviceTimeSeconds < Float.POSITIVE_INFINITY;
        return startNumber > 0
                && uptimeSeconds >= 0
                && uptimeSeconds < Float.POSITIVE_INFINITY
                && serviceTimeInRange;
    }
}
