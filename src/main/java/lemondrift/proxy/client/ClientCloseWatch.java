package lemondrift.proxy.client;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import lemondrift.buffer.BodyBufferBudget;
import lemondrift.connection.UploadProgress;
import lemondrift.proxy.events.PendingRequest;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a client closes its connection while it waits for a response, when Undertow reads
 * nothing. A close can be read only behind all bytes that the client sent ahead of the response.
 * They are kept for Undertow as long as their budget allows. Beyond that all of them are dropped,
 * and the connection closes after the response: a client that sends more than the proxy keeps is
 * served no further request, but none is attempted for a client that has left.
 */
final class ClientCloseWatch {
    /** What waits unread on a connection. */
    private enum Unread {
        NOTHING,
        BYTES,
        CLOSE
    }

    /** Guards against one fast client that keeps the I/O thread from all others. */
    private static final int MAX_DROPPED_BYTES_PER_EVENT = 128 * 1024;

    /** Pause before more bytes are dropped, so that a fast client takes little of the CPU. */
    private static final long DROP_PAUSE_MILLIS = 10;

    private ClientCloseWatch() {}

    /** Starts to watch the connection of a request that has been read completely. */
    static void start(HttpServerExchange exchange) {
        AbstractServerConnection connection = connectionOf(exchange);
        // Not through the channel: after a request with a body that resumes nothing, as its conduit
        // ends with the body.
        StreamSourceConduit source = connection.getOriginalSourceConduit();
        connection
                .getChannel()
                .getSourceChannel()
                .setReadListener(channel -> readEvent(exchange, source));
        source.resumeReads();
    }

    private static void readEvent(HttpServerExchange exchange, StreamSourceConduit source) {
        if (readAhead(exchange, false) == Unread.BYTES) {
            source.suspendReads();
            connectionOf(exchange)
                    .getIoThread()
                    .executeAfter(source::resumeReads, DROP_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Stops watching once the response has been sent. Undertow reads from now on, beginning with
     * the bytes that were sent ahead.
     *
     * @return whether the watch goes on instead, as bytes are dropped: until the client closes or
     *     its time is over. Guards against a close over unread bytes, which is a reset that may
     *     destroy the response
     */
    static boolean stopOrLinger(HttpServerExchange exchange) {
        AbstractServerConnection connection = connectionOf(exchange);
        if (ClientConnection.of(exchange).dropsBytesAhead() && connection.isOpen()) {
            shutdownWrites(connection);
            return true;
        }
        if (connection.getExtraBytes() != null) {
            connection.getOriginalSourceConduit().suspendReads();
        }
        return false;
    }

    /**
     * Returns whether bytes that the client sent ahead are kept, so that Undertow reads them next.
     */
    static boolean hasBytesAhead(HttpServerExchange exchange) {
        return connectionOf(exchange).getExtraBytes() != null;
    }

    private static void shutdownWrites(AbstractServerConnection connection) {
        try {
            connection.getChannel().getSinkChannel().shutdownWrites();
            connection.getChannel().getSinkChannel().flush();
        } catch (IOException e) {
            IoUtils.safeClose(connection.getChannel());
        }
    }

    /** Reads from the socket now, and closes the connection if its client has closed it. */
    static void checkNow(HttpServerExchange exchange) {
        readAhead(exchange, true);
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

    /**
     * Reads what the client has sent ahead, and closes the connection if its client has closed it.
     *
     * @param all whether to read on until the close is reached, if there is one
     * @return what is left unread on the connection
     */
    private static Unread readAhead(HttpServerExchange exchange, boolean all) {
        AbstractServerConnection connection = connectionOf(exchange);
        ClientConnection client = ClientConnection.of(exchange);
        Unread unread = Unread.BYTES;
        try {
            if (!client.dropsBytesAhead()) {
                unread = keep(connection, client.readAheadBudget());
            }
            if (unread == Unread.BYTES) {
                client.dropBytesAhead();
                exchange.setPersistent(false);
                unread =
                        drop(
                                connection,
                                all ? maxUnreadBytes(connection) : MAX_DROPPED_BYTES_PER_EVENT);
            }
        } catch (IOException e) {
            unread = Unread.CLOSE;
        }
        if (unread == Unread.CLOSE) {
            IoUtils.safeClose(connection.getChannel());
        }
        return unread;
    }

    /**
     * Reads and keeps bytes for Undertow, behind those that it has not read yet. Keeps none at all
     * if they exceed the budget.
     */
    private static Unread keep(AbstractServerConnection connection, BodyBufferBudget budget)
            throws IOException {
        PooledByteBuffer pooled = takeKeptBytes(connection);
        Unread unread = Unread.CLOSE;
        try {
            int count = 1;
            while (count > 0) {
                pooled = withRoom(pooled, budget);
                count = isFull(pooled) ? 0 : append(connection, pooled);
            }
            if (count == 0) {
                unread = isFull(pooled) ? Unread.BYTES : Unread.NOTHING;
            }
        } finally {
            if (unread == Unread.NOTHING && pooled.getBuffer().hasRemaining()) {
                connection.setExtraBytes(pooled);
            } else {
                pooled.close();
            }
        }
        return unread;
    }

    /**
     * Returns the bytes that Undertow has not read yet, which the caller must give back or free.
     */
    private static PooledByteBuffer takeKeptBytes(AbstractServerConnection connection) {
        PooledByteBuffer kept = connection.getExtraBytes();
        if (kept == null) {
            kept = connection.getByteBufferPool().allocate();
            kept.getBuffer().limit(0);
        }
        connection.setExtraBytes(null);
        return kept;
    }

    /**
     * Returns the buffer with room at its end, or a larger one with its bytes; the same full buffer
     * if the budget does not allow that.
     */
    private static PooledByteBuffer withRoom(PooledByteBuffer pooled, BodyBufferBudget budget) {
        if (!isFull(pooled)) {
            return pooled;
        }
        if (pooled.getBuffer().position() > 0) {
            pooled.getBuffer().compact().flip();
            return pooled;
        }
        PooledByteBuffer grown = ReadAheadBuffer.growFrom(pooled, budget);
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
            return connection.getOriginalSourceConduit().read(buffer);
        } finally {
            buffer.limit(buffer.position()).position(start);
        }
    }

    private static boolean isFull(PooledByteBuffer pooled) {
        return pooled.getBuffer().limit() == pooled.getBuffer().capacity();
    }

    /** Returns the most bytes that the kernels of both sides hold before a close. */
    private static long maxUnreadBytes(AbstractServerConnection connection) {
        return UploadProgress.CLIENT_BUFFER_BYTES
                + UploadDeadline.receiveBufferBytes(connection.getChannel());
    }

    private static Unread drop(AbstractServerConnection connection, long maxBytes)
            throws IOException {
        try (PooledByteBuffer pooled = connection.getByteBufferPool().allocate()) {
            long dropped = 0;
            int count = 1;
            while (count > 0 && dropped < maxBytes) {
                count = connection.getOriginalSourceConduit().read(pooled.getBuffer().clear());
                dropped += Math.max(0, count);
            }
            if (count < 0) {
                return Unread.CLOSE;
            }
            return count == 0 ? Unread.NOTHING : Unread.BYTES;
        }
    }
}
