package lemondrift.proxy.client;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import lemondrift.buffer.BodyBufferBudget;
import lemondrift.proxy.events.PendingRequest;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Detects that a client closes its connection while it waits for a response, when Undertow reads
 * nothing. Bytes that the client sends ahead of the response are read, as many as their budget
 * allows, and kept for Undertow. A close behind more bytes than that is not noticed.
 */
final class ClientCloseWatch {
    private ClientCloseWatch() {}

    /** Starts to watch the connection of a request that has been read completely. */
    static void start(HttpServerExchange exchange) {
        ConduitStreamSourceChannel source = connectionOf(exchange).getChannel().getSourceChannel();
        source.setReadListener(channel -> readAhead(exchange));
        source.resumeReads();
    }

    /**
     * Stops watching once the response has been sent. Undertow reads from now on, beginning with
     * the bytes that were sent ahead.
     */
    static void stop(HttpServerExchange exchange) {
        if (exchange.getConnection() instanceof AbstractServerConnection connection
                && connection.getExtraBytes() != null) {
            connection.getChannel().getSourceChannel().suspendReads();
        }
    }

    /** Reads from the socket now, and closes the connection if its client has closed it. */
    static void checkNow(HttpServerExchange exchange) {
        readAhead(exchange);
    }

    /**
     * Returns whether a client still waits for its response. Reads from the socket if the request
     * has been read completely: guards against a client that closed while the I/O thread was
     * delayed, as a close is noticed only when the socket is read.
     */
    static boolean isClientWaiting(PendingRequest pending) {
        if (isUnanswered(pending) && pending.exchange().isRequestComplete()) {
            checkNow(pending.exchange());
        }
        return isUnanswered(pending);
    }

    /** Returns whether the request is open on its connection, and no response has been started. */
    static boolean isUnanswered(PendingRequest pending) {
        HttpServerExchange exchange = pending.exchange();
        return ClientConnection.of(exchange).request == pending.request()
                && !exchange.isResponseStarted();
    }

    private static AbstractServerConnection connectionOf(HttpServerExchange exchange) {
        return (AbstractServerConnection) exchange.getConnection();
    }

    private static void readAhead(HttpServerExchange exchange) {
        AbstractServerConnection connection = connectionOf(exchange);
        PooledByteBuffer pooled = connection.getExtraBytes();
        if (pooled == null) {
            pooled = connection.getByteBufferPool().allocate();
            pooled.getBuffer().limit(0);
        }
        int count = 1;
        try {
            while (count > 0) {
                pooled = withRoom(pooled, ClientConnection.of(exchange).readAheadBudget());
                count = append(connection, pooled);
            }
        } catch (IOException e) {
            count = -1;
        }
        if (isFull(pooled)) {
            // Guards against a client that fills the memory with bytes sent ahead.
            connection.getChannel().getSourceChannel().suspendReads();
        }
        keepUnread(connection, pooled);
        if (count < 0) {
            IoUtils.safeClose(connection.getChannel());
        }
    }

    /**
     * Returns the buffer, or a larger one with its bytes if it is full and the budget allows it.
     */
    private static PooledByteBuffer withRoom(PooledByteBuffer pooled, BodyBufferBudget budget) {
        PooledByteBuffer grown = isFull(pooled) ? ReadAheadBuffer.growFrom(pooled, budget) : null;
        return grown == null ? pooled : grown;
    }

    /**
     * Reads once into the free end of a buffer, whose unread bytes are between position and limit.
     * Returns the number of bytes, -1 if the client has closed.
     */
    private static int append(AbstractServerConnection connection, PooledByteBuffer pooled)
            throws IOException {
        ByteBuffer buffer = pooled.getBuffer();
        int start = buffer.position();
        int end = buffer.limit();
        buffer.limit(buffer.capacity()).position(end);
        try {
            return buffer.hasRemaining() ? connection.getOriginalSourceConduit().read(buffer) : 0;
        } finally {
            buffer.limit(buffer.position()).position(start);
        }
    }

    private static boolean isFull(PooledByteBuffer pooled) {
        return pooled.getBuffer().limit() == pooled.getBuffer().capacity();
    }

    private static void keepUnread(AbstractServerConnection connection, PooledByteBuffer pooled) {
        if (pooled.getBuffer().hasRemaining()) {
            connection.setExtraBytes(pooled);
        } else {
            connection.setExtraBytes(null);
            pooled.close();
        }
    }
}
