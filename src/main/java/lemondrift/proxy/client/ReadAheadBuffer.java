package lemondrift.proxy.client;

import io.undertow.connector.PooledByteBuffer;
import java.nio.ByteBuffer;
import lemondrift.buffer.BodyBufferBudget;

/**
 * Bytes that a client sends ahead of a response, where they exceed a buffer of the pool. Counts
 * against a budget until it is closed. I/O thread only.
 */
final class ReadAheadBuffer implements PooledByteBuffer {
    private final BodyBufferBudget budget;
    private final ByteBuffer buffer;
    private boolean open = true;

    private ReadAheadBuffer(BodyBufferBudget budget, int bytes) {
        this.budget = budget;
        buffer = ByteBuffer.allocate(bytes);
    }

    /**
     * Returns a buffer of twice the size with the unread bytes of a full one, which is closed.
     *
     * @return null if the budget does not allow it; nothing has changed then
     */
    static ReadAheadBuffer growFrom(PooledByteBuffer full, BodyBufferBudget budget) {
        int bytes = 2 * full.getBuffer().capacity();
        if (!budget.tryReserve(0, bytes)) {
            return null;
        }
        ReadAheadBuffer grown = new ReadAheadBuffer(budget, bytes);
        grown.buffer.put(full.getBuffer()).flip();
        full.close();
        return grown;
    }

    @Override
    public ByteBuffer getBuffer() {
        return buffer;
    }

    @Override
    public void close() {
        if (open) {
            open = false;
            budget.release(buffer.capacity());
        }
    }

    @Override
    public boolean isOpen() {
        return open;
    }
}
