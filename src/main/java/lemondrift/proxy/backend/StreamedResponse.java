package lemondrift.proxy.backend;

import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import lemondrift.proxy.events.ResponseRemainder;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * What follows of a response whose beginning has been passed on: read from the backend's connection
 * piece by piece as it is asked for. No timer of the call runs any more; only the two sides end it.
 * I/O thread only.
 */
final class StreamedResponse implements ResponseRemainder {
    private final ConnectionPool pool;
    private final ConnectionPool.PooledConnection link;
    private final RequestWriter request;
    private final ResponseReader reader;

    /** What has been read from the connection and not been passed on; null once released. */
    private PooledByteBuffer unread;

    StreamedResponse(
            ConnectionPool pool,
            ConnectionPool.PooledConnection link,
            RequestWriter request,
            ResponseReader reader,
            PooledByteBuffer unread) {
        this.pool = pool;
        this.link = link;
        this.request = request;
        this.reader = reader;
        this.unread = unread;
    }

    @Override
    public int declaredLength() {
        return reader.contentLength();
    }

    @Override
    public ByteBuffer next() throws IOException {
        ByteBuffer buffer = unread.getBuffer();
        int count = 1;
        while (count > 0) {
            ByteBuffer piece = reader.nextPiece(buffer);
            if (piece != null || reader.isComplete()) {
                return piece;
            }
            count = link.connection.getSourceChannel().read(buffer.clear());
            buffer.flip();
            if (count < 0) {
                endOfConnection();
            }
        }
        return null;
    }

    private void endOfConnection() throws IOException {
        if (!reader.endsWithConnection()) {
            throw new IOException("the response breaks off");
        }
        reader.connectionEnded();
    }

    @Override
    public boolean isComplete() {
        return reader.isComplete();
    }

    @Override
    public void awaitMore(Runnable then) {
        ConduitStreamSourceChannel source = link.connection.getSourceChannel();
        source.setReadListener(
                channel -> {
                    channel.suspendReads();
                    then.run();
                });
        source.resumeReads();
    }

    @Override
    public void relayCompleted() {
        boolean reusable =
                !unread.getBuffer().hasRemaining()
                        && !reader.closesConnection()
                        && request.isSent();
        releaseBuffer();
        pool.giveBack(link, reusable);
    }

    @Override
    public void abandonResponse() {
        releaseBuffer();
        link.close();
    }

    private void releaseBuffer() {
        if (unread != null) {
            unread.close();
            unread = null;
        }
    }
}
