package lemondrift.buffer;

/**
 * The memory budget for buffered request bodies. A request whose whole body is buffered can be sent
 * again, and a slow client does not keep a backend waiting. A body that exceeds the budget is
 * streamed.
 */
public final class BodyBufferBudget {
    private final int maxBodyBytes;
    private long maxTotalBytes;
    private long bufferedBytes;

    /**
     * Creates an unused budget.
     *
     * @throws IllegalArgumentException if a limit is below 0
     */
    public BodyBufferBudget(int maxBodyBytes, long maxTotalBytes) {
        if (maxBodyBytes < 0 || maxTotalBytes < 0) {
            throw new IllegalArgumentException(
                    "limits of buffered bodies must not be negative: maxBodyBytes "
                            + maxBodyBytes
                            + ", maxTotalBytes "
                            + maxTotalBytes);
        }
        this.maxBodyBytes = maxBodyBytes;
        this.maxTotalBytes = maxTotalBytes;
    }

    /**
     * Sets a new limit for all bodies together. Bytes that are buffered already may exceed it for a
     * while.
     */
    public void setMaxTotalBytes(long bytes) {
        maxTotalBytes = bytes;
    }

    /**
     * Reserves more bytes for a body.
     *
     * @param bodyBytes the number of bytes already reserved for the body
     * @return false, with nothing reserved, if a limit would be exceeded
     */
    public boolean tryReserve(int bodyBytes, int moreBytes) {
        if (moreBytes > maxBodyBytes - bodyBytes || moreBytes > maxTotalBytes - bufferedBytes) {
            return false;
        }
        bufferedBytes += moreBytes;
        return true;
    }

    /** Releases reserved bytes that are no longer buffered. */
    public void release(int bytes) {
        bufferedBytes -= bytes;
    }

    public long bufferedBytes() {
        return bufferedBytes;
    }
}
