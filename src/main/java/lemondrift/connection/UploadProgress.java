package lemondrift.connection;

import java.util.Arrays;

/**
 * Bounds the time at which the client of a streamed request can have sent the last byte of its
 * body, although that byte has not been read: the kernels of both sides buffer bytes that the proxy
 * does not read, so a client may already wait for its response. Two facts give the bound. A client
 * whose bytes have all been read has not sent the last one. And no byte was sent before all bytes
 * but those that fit into the buffers had been read. Times are in seconds of the caller's clock.
 */
public final class UploadProgress {
    /** The length of a body whose length is not known. */
    public static final long UNKNOWN_LENGTH = -1;

    /** The most bytes that a client's kernel buffers for one connection: the default of Linux. */
    public static final long CLIENT_BUFFER_BYTES = 4 << 20;

    /** Bytes between two positions of the body whose time is remembered. */
    private static final int SEGMENT_BYTES = 1 << 18;

    private final long length;

    /** When each multiple of a segment's length had been read. */
    private double[] segmentReadAt = new double[16];

    private int segments;
    private long readBytes;
    private double caughtUpAt;

    /**
     * Creates the progress of a body of which nothing has been read.
     *
     * @param length the length of the body in bytes, or {@link #UNKNOWN_LENGTH}
     */
    public UploadProgress(long length, double now) {
        this.length = length;
        caughtUpAt = now;
        rememberSegments(now);
    }

    /** Records that bytes of the body were read; 0 if none had arrived, so that all are read. */
    public void read(int bytes, double now) {
        if (bytes == 0) {
            caughtUpAt = now;
        }
        readBytes += bytes;
        rememberSegments(now);
    }

    private void rememberSegments(double now) {
        while ((long) segments * SEGMENT_BYTES <= readBytes) {
            if (segments == segmentReadAt.length) {
                segmentReadAt = Arrays.copyOf(segmentReadAt, 2 * segments);
            }
            segmentReadAt[segments++] = now;
        }
    }

    /**
     * Returns the earliest time at which the client can have sent its last byte; now if it cannot
     * have sent it yet.
     *
     * @param receiveBufferBytes the most bytes that the kernel of this side holds unread
     */
    public double earliestEnd(long receiveBufferBytes, double now) {
        long end = length == UNKNOWN_LENGTH ? readBytes : length;
        long readBeforeEnd = end - CLIENT_BUFFER_BYTES - receiveBufferBytes;
        if (readBeforeEnd > readBytes) {
            return now;
        }
        int segment = (int) (Math.max(0, readBeforeEnd) / SEGMENT_BYTES);
        return Math.max(caughtUpAt, segmentReadAt[segment]);
    }
}
