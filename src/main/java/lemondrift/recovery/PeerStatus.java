package lemondrift.recovery;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * The status that a proxy reports about itself to a peer, in a datagram of 28 bytes. A proxy
 * reports only its own measurements, never values received from peers: otherwise ten proxies that
 * repeat one source would count as ten sources.
 *
 * @param startNumber the start number of the sender, which rises with each start
 * @param recipientStart the start number of the recipient; 0 if it is not known
 * @param wantsReply whether the recipient should reply with its own status
 * @param uptimeSeconds seconds since the start of the sender
 * @param serviceTimeSeconds mean service time measured by the sender; 0 without samples
 * @param samples number of responses in that mean; larger numbers are reported as 255
 * @param settled whether the sender has enough samples of its own
 */
public record PeerStatus(
        long startNumber,
        long recipientStart,
        boolean wantsReply,
        float uptimeSeconds,
        float serviceTimeSeconds,
        int samples,
        boolean settled) {
    /** First byte of the datagram; gossip datagrams begin with another one. */
    public static final byte KIND = 3;

    /** Second byte of the datagram: the version of the format. */
    public static final byte VERSION = 1;

    /** Length of the datagram, in bytes. */
    private static final int LENGTH = 28;

    /** Bit of the flags for wantsReply. */
    private static final int WANTS_REPLY_FLAG = 1;

    /** Bit of the flags for settled. */
    private static final int SETTLED_FLAG = 2;

    /** Maximum number of samples, which are sent as one byte. */
    private static final int MAX_SAMPLES = 255;

    /** Limits the samples to the maximum that fits into the datagram. */
    public PeerStatus {
        samples = Math.min(MAX_SAMPLES, samples);
    }

    /** Encodes the status as a datagram. */
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
     * Decodes a datagram. Returns empty if the datagram has another length, kind or version, or
     * contains values that are out of range.
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
