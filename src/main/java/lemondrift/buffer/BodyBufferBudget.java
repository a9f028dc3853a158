package lemondrift.buffer;

/**
 * The memory for buffered request bodies. A request whose body is buffered whole can be sent again,
 * and a slow client keeps no backend waiting; a body that exceeds the budget is streamed.
 */
public final class BodyBufferBudget {
    private final int maxBodyBytes;
    private long maxTotalBytes;
    private long bufferedBytes;

    /**
     * An unused budget.
     *
     * @throws IllegalArgumentException if a bound is below 0
     */
    public BodyBufferBudget(int maxBodyBytes, long maxTotalBytes) {
        if (maxBodyBytes < 0 || maxTotalBytes < 0) {
            throw new IllegalArgumentException("bounds of buffered bodies below zero");
        }
        this.maxBodyBytes = maxBodyBytes;
        this.maxTotalBytes = maxTotalBytes;
    }

    /** Sets another bound of all bodies; what is buffered already may exceed it for a while. */
    public void setMaxTotalBytes(long bytes) {
        maxTotalBytes = bytes;
    }

    /**
     * Reserves more bytes for a body.
     *
     * @param bodyBytes what is reserved for the body already
     * @return false, with nothing reserved, where a bound would be exceeded
     */
    public boolean tryReserve(int bodyBytes, int moreBytes) {
        if (moreBytes > maxBodyBytes - bodyBytes || moreBytes > maxTotalBytes - bufferedBytes) {
            return false;
        }
        bufferedBytes += moreBytes;
        return true;
    }

    /** Bytes that were reserved are not buffered any more. */
    public void release(int bytes) {
        bufferedBytes -= bytes;
    }

    public long bufferedBytes() {
        return bufferedBytes;
    }
}
