package lemondrift.proxy.client;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import lemondrift.proxy.events.PendingRequest;
import org.xnio.IoUtils;

/**
 * Detects that a client closes its connection while it waits for a response, when Undertow reads
 * nothing. Bytes that the client sends ahead of the response are read, at most one buffer of them,
 * and kept for Undertow.
 */
final class ClientCloseWatch {
    private ClientCloseWatch() {}

    /** Starts to watch the connection of a request that has been read completely. */
    static void start(HttpServerExchange exchange) {
        AbstractServerConnection connection = connectionOf(exchange);
        connection
                .getChannel()
                .getSourceChannel()
                .setReadListener(channel -> readAhead(connection));
        connection.getChannel().getSourceChannel().resumeReads();
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
        readAhead(connectionOf(exchange));
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

    private static void readAhead(AbstractServerConnection connection) {
        PooledByteBuffer pooled = connection.getExtraBytes();
        boolean isNew = pooled == null;
        pooled = isNew ? connection.getByteBufferPool().allocate() : pooled;
        ByteBuffer buffer = pooled.getBuffer();
        // Bytes that were read ahead before, by Undertow too, are between position and limit.
        int start = isNew ? 0 : buffer.position();
        int end = isNew ? 0 : buffer.limit();
        int count = 0;
        try {
            buffer.limit(buffer.capacity()).position(end);
            count = buffer.hasRemaining() ? connection.getOriginalSourceConduit().read(buffer) : 0;
            if (!buffer.hasRemaining()) {
                // Guards against a client that fills the memory with bytes sent ahead.
                connection.getChannel().getSourceChannel().suspendReads();
            }
        } catch (IOException e) {
            count = -1;
        }
        buffer.limit(Math.max(end, end + count)).position(start);
        if (count > 0 && isNew) {
            connection.setExtraBytes(pooled);
        } else if (isNew) {
            pooled.close();
        }
        if (count < 0) {
            IoUtils.safeClose(connection.getChannel());
        }
    }
}
