package lemondrift.proxy.backend;

import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import lemondrift.proxy.events.ResponseRemainder;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * The remainder of a response whose beginning has been delivered: read from the backend's
 * connection piece by piece on demand. The timers of the call no longer run; only the client or the
 * backend ends the response. I/O thread only.
 */
final class StreamedResponse implements ResponseRemainder {
    private final ConnectionPool pool;
    private final ConnectionPool.PooledConnection pooledConnection;
    private final RequestWriter requestWriter;
    private final ResponseReader reader;

    /** Bytes that were read from the connection but not forwarded; null once released. */
    private PooledByteBuffer unread;

    StreamedResponse(
            ConnectionPool pool,
            ConnectionPool.PooledConnection pooledConnection,
            RequestWriter requestWriter,
            ResponseReader reader,
            PooledByteBuffer unread) {
        this.pool = pool;
        this.pooledConnection = pooledConnection;
        this.requestWriter = requestWriter;
        this.reader = reader;
        this.unread = unread;
    }

    @Override
    public int declaredLength() {
        return reader.contentLength();
    }

    @Override
    public ByteBuffer nextPiece() throws IOException {
        ByteBuffer buffer = unread.getBuffer();
        int count = 1;
        while (count > 0) {
            ByteBuffer piece = reader.nextPiece(buffer);
            if (piece != null || reader.isComplete()) {
                return piece;
            }
            count = pooledConnection.connection.getSourceChannel().read(buffer.clear());
            buffer.flip();
            if (count < 0) {
                handleConnectionClosed();
            }
        }
        return null;
    }

    private void handleConnectionClosed() throws IOException {
        if (!reader.endsAtConnectionClose()) {
            throw new IOException("connection closed before the response was complete");
        }
        reader.connectionClosed();
    }

    @Override
    public boolean isComplete() {
        return reader.isComplete();
    }

    @Override
    public void awaitMore(Runnable action) {
        ConduitStreamSourceChannel source = pooledConnection.connection.getSourceChannel();
        source.setReadListener(
                channel -> {
                    channel.suspendReads();
                    action.run();
                });
        source.resumeReads();
    }

    @Override
    public void relayCompleted() {
        boolean reusable =
                !unread.getBuffer().hasRemaining()
                        && !reader.closesConnection()
                        && requestWriter.isSent();
        releaseBuffer();
        pool.release(pooledConnection, reusable);
    }

    @Override
    public void abandonResponse() {
        releaseBuffer();
        pooledConnection.close();
    }

    private void releaseBuffer() {
        if (unread != null) {
            unread.close();
            unread = null;
        }
    }
}
