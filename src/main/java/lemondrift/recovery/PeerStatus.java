package lemondrift.recovery;

import java.nio.ByteBuffer;

/**
 * What a proxy says of itself to another one, in a datagram of 28 bytes. What it tells of an
 * exchange's work it has found itself: what is borrowed is never passed on, so that ten who repeat
 * one source don't count.
 *
 * @param start the sender's start number, which rises with each start
 * @param to the start number of whom it is for, 0 where that is not known
 * @param asks whether it is to be answered
 * @param up seconds since the sender's start
 * @param work mean work of an exchange in seconds, as the sender's own answers show; 0 where there
 *     are none
 * @param answers of how many answers that is the mean, 255 at the most
 * @param settled whether the sender goes by what it has found itself
 */
public record PeerStatus(
        long start, long to, boolean asks, float up, float work, int answers, boolean settled) {
    public static final byte KIND = 3;
    public static final byte VERSION = 1;
    private static final int LENGTH = 28;
    private static final int ASKS = 1;
    private static final int SETTLED = 2;
    private static final int MOST_ANSWERS = 255;

    public PeerStatus {
        answers = Math.min(MOST_ANSWERS, answers);
    }

    public byte[] encoded() {
        return ByteBuffer.allocate(LENGTH)
                .put(KIND)
                .put(VERSION)
                .put((byte) ((asks ? ASKS : 0) + (settled ? SETTLED : 0)))
                .put((byte) answers)
                .putLong(start)
                .putLong(to)
                .putFloat(up)
                .putFloat(work)
                .array();
    }

    /**
     * Null where it can't be read: cut, of another kind or version, or with figures that can't be.
     */
    public static PeerStatus of(byte[] datagram) {
        if (datagram.length != LENGTH || datagram[0] != KIND || datagram[1] != VERSION) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(datagram, 2, LENGTH - 2);
        int flags = in.get();
        int answers = in.get() & 0xff;
        PeerStatus hello =
                new PeerStatus(
                        in.getLong(),
                        in.getLong(),
                        (flags & ASKS) != 0,
                        in.getFloat(),
                        in.getFloat(),
                        answers,
                        (flags & SETTLED) != 0);
        boolean can =
                hello.start > 0
                        && hello.up >= 0
                        && hello.up < Float.POSITIVE_INFINITY
                        && (answers == 0
                                ? hello.work == 0
                                : hello.work > 0 && hello.work < Float.POSITIVE_INFINITY);
        return can ? hello : null;
    }
}
