package lemondrift.proxy.client;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Set;
import lemondrift.connection.ConnectionPolicy;
import lemondrift.metrics.ProxyMetrics;
import lemondrift.model.Request;
import lemondrift.proxy.time.MonotonicClock;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * One client's connection with the request that is open on it. Reports to the policy what happens
 * on it; bytes are seen below Undertow, which reports whole requests only. I/O thread only.
 */
final class ClientConnection {
    /** The connection that a request came on. */
    private static final AttachmentKey<ClientConnection> CONNECTION =
            AttachmentKey.create(ClientConnection.class);

    /** The priority weight where no request is open. */
    private static final double NO_REQUEST = -1;

    /** What all connections share. */
    record Context(
            ConnectionPolicy policy,
            MonotonicClock clock,
            ProxyMetrics metrics,
            Set<String> openRequestIds) {}

    final StreamConnection socket;
    final int index;

    /** The request that is open on it, null where none is. */
    Request request;

    /** Its body as it is read, null where none is. */
    RequestBody body;

    /** Stops the relay of a long response, null where none runs. */
    Runnable stopRelay;

    /** Ends the open request when it is overdue; null unless all of it has come. */
    Runnable endOverdue;

    private final ConnectionPolicy policy;
    private final MonotonicClock clock;
    private final ProxyMetrics metrics;
    private final Set<String> openRequestIds;
    private final StreamSourceConduit source;

    /** What was read to see whether there is anything, until it is read by Undertow. */
    private final ByteBuffer peeked = ByteBuffer.allocate(1);

    private String requestId;
    private boolean requestRead;

    /** The open request's priority weight once it is served, 0 until then. */
    private double priorityWeight = NO_REQUEST;

    private boolean closed;

    ClientConnection(StreamConnection socket, int index, Context context) {
        this.socket = socket;
        this.index = index;
        policy = context.policy;
        clock = context.clock;
        metrics = context.metrics;
        openRequestIds = context.openRequestIds;
        source = socket.getSourceChannel().getConduit();
    }

    static ClientConnection of(HttpServerExchange exchange) {
        return exchange.getAttachment(CONNECTION);
    }

    static StreamConnection socketOf(HttpServerExchange exchange) {
        return ((AbstractServerConnection) exchange.getConnection()).getChannel();
    }

    void attachTo(HttpServerExchange exchange) {
        exchange.putAttachment(CONNECTION, this);
    }

    /** Has all reads and writes of the socket pass through here. */
    void observe() {
        socket.getSourceChannel().setConduit(observedSource());
        socket.getSinkChannel().setConduit(observedSink());
    }

    private StreamSourceConduit observedSource() {
        return new AbstractStreamSourceConduit<StreamSourceConduit>(source) {
            @Override
            public int read(ByteBuffer to) throws IOException {
                int peekedBytes = peeked.flip().remaining();
                if (to.hasRemaining()) {
                    to.put(peeked);
                }
                peeked.compact();
                int count = source.read(to);
                if (count > 0) {
                    bytesReceived(count);
                }
                return peekedBytes > 0 ? peekedBytes + Math.max(0, count) : count;
            }
        };
    }

    private StreamSinkConduit observedSink() {
        StreamSinkConduit sink = socket.getSinkChannel().getConduit();
        return new AbstractStreamSinkConduit<StreamSinkConduit>(sink) {
            @Override
            public int write(ByteBuffer from) throws IOException {
                return bytesSent(next.write(from));
            }

            @Override
            public long write(ByteBuffer[] from, int offset, int length) throws IOException {
                return bytesSent((int) next.write(from, offset, length));
            }

            @Override
            public int writeFinal(ByteBuffer from) throws IOException {
                return bytesSent(next.writeFinal(from));
            }

            @Override
            public long writeFinal(ByteBuffer[] from, int offset, int length) throws IOException {
                return bytesSent((int) next.writeFinal(from, offset, length));
            }
        };
    }

    private void bytesReceived(int bytes) {
        if (!closed) {
            policy.bytesReceived(index, bytes, clock.now());
        }
    }

    private int bytesSent(int bytes) {
        if (!closed && bytes > 0) {
            policy.bytesSent(index, bytes, clock.now());
        }
        return bytes;
    }

    /** Whether no unread byte waits; reads one byte ahead to see. */
    boolean hasNoUnreadBytes() {
        try {
            if (peeked.position() == 0) {
                int count = source.read(peeked);
                if (count > 0) {
                    bytesReceived(count);
                    socket.getSourceChannel().wakeupReads();
                }
            }
            return peeked.position() == 0;
        } catch (IOException e) {
            // A broken connection has nothing to lose by a close.
            return true;
        }
    }

    void headRead() {
        priorityWeight = NO_REQUEST;
        // Guards against a head read before the close that would bring the index back to life.
        if (!closed) {
            policy.headRead(index, clock.now());
        }
    }

    /**
     * Opens a request, which need not have come whole.
     *
     * @return false where another request of this id is open: backends could not tell them apart
     */
    boolean openRequest(String id, Request opened) {
        if (!openRequestIds.add(id)) {
            return false;
        }
        requestId = id;
        request = opened;
        return true;
    }

    /** All of the open request has come. */
    void requestRead() {
        if (!closed && !requestRead) {
            requestRead = true;
            metrics.requestAccepted();
            priorityWeight = 0;
            policy.requestRead(index, request.tenant, clock.now());
        }
    }

    /** The open request is served, and counts for its client with this weight. */
    void requestServed(double weight) {
        priorityWeight = weight;
    }

    /** A response is ready: whether the connection stays open after it. */
    boolean responseReady() {
        return !closed && policy.responseReady(index, clock.now());
    }

    /** The Keep-Alive timeout for the response in whole seconds; 0 where none is announced. */
    int announcedKeepAliveSeconds() {
        return policy.announcedKeepAliveSeconds(index);
    }

    /** More of the response is there to be sent. */
    void responseBytesAvailable() {
        if (!closed) {
            policy.responseBytesAvailable(index, clock.now());
        }
    }

    void requestInvalid() {
        if (!closed) {
            policy.invalidRequestReceived(index, clock.now());
        }
    }

    /** For how many seconds it is not read, its request having been rejected. */
    double startReadPause() {
        return closed ? 0 : policy.startReadPause(index, clock.now());
    }

    /** The response is out, and no request is open from now on. */
    void responseSent() {
        if (!closed) {
            policy.responseSent(index, priorityWeight, clock.now());
        }
        closeRequest();
    }

    /** Ends the open request and returns it; null where none is open. */
    Request closeRequest() {
        Request ended = request;
        openRequestIds.remove(requestId);
        if (requestRead) {
            metrics.requestCompleted();
        }
        requestRead = false;
        if (body != null) {
            body.release();
            body = null;
        }
        request = null;
        endOverdue = null;
        requestId = null;
        return ended;
    }

    boolean isClosed() {
        return closed;
    }

    void markClosed() {
        closed = true;
    }
}
