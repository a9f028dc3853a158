package lemondrift.proxy.client;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import lemondrift.proxy.events.PendingRequest;
import org.xnio.IoUtils;

/**
 * Notices that a client has closed while its response is awaited, when Undertow reads nothing. What
 * the client sends ahead of the response is read, one buffer of it, and kept for Undertow.
 */
final class ClientCloseWatch {
    private ClientCloseWatch() {}

    /** Watches a connection whose request has been read until its response is out. */
    static void start(HttpServerExchange exchange) {
        AbstractServerConnection connection = connectionOf(exchange);
        connection
                .getChannel()
                .getSourceChannel()
                .setReadListener(channel -> readAhead(connection));
        connection.getChannel().getSourceChannel().resumeReads();
    }

    /** The response is out: what was sent ahead is Undertow's to read from now on. */
    static void stop(HttpServerExchange exchange) {
        if (exchange.getConnection() instanceof AbstractServerConnection connection
                && connection.getExtraBytes() != null) {
            connection.getChannel().getSourceChannel().suspendReads();
        }
    }

    /** Looks at the socket now, and closes the connection if its client has closed. */
    static void checkNow(HttpServerExchange exchange) {
        readAhead(connectionOf(exchange));
    }

    /**
     * Whether a client waits for its response. Guards against one that has closed while the I/O
     * thread was held up: a connection's close is known only once it is read.
     */
    static boolean isClientWaiting(PendingRequest pending) {
        if (isUnanswered(pending) && pending.exchange().isRequestComplete()) {
            checkNow(pending.exchange());
        }
        return isUnanswered(pending);
    }

    /** Whether the request is open on its connection, and no response to it has begun. */
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
        // What was read ahead already, by Undertow too, stands between position and limit.
        int start = isNew ? 0 : buffer.position();
        int end = isNew ? 0 : buffer.limit();
        int count = 0;
        try {
            buffer.limit(buffer.capacity()).position(end);
            count = buffer.hasRemaining() ? connection.getOriginalSourceConduit().read(buffer) : 0;
            if (!buffer.hasRemaining()) {
                // Guards against one client that fills the memory.
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
