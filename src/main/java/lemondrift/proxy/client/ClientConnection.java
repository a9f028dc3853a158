package lemondrift.proxy.client;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;
import lemondrift.buffer.BodyBufferBudget;
import lemondrift.connection.ConnectionPolicy;
import lemondrift.metrics.ProxyMetrics;
import lemondrift.model.Request;
import lemondrift.proxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * A client connection and the request that is open on it. Reports its events to the policy; bytes
 * are observed below Undertow, which reports only requests as a whole. I/O thread only.
 */
final class ClientConnection {
    /** The connection on which an exchange's request arrived. */
    private static final AttachmentKey<ClientConnection> CONNECTION =
            AttachmentKey.create(ClientConnection.class);

    private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);

    /** The priority weight if no request has been read completely. */
    private static final double NO_REQUEST = -1;

    /** Objects that all connections share. */
    record Context(
            ConnectionPolicy policy,
            MonotonicClock clock,
            ProxyMetrics metrics,
            BodyBufferBudget readAheadBudget,
            RequestIds requestIds) {}

    final StreamConnection socket;
    final int index;

    /** The open request; null if there is none. */
    Request request;

    /** The body of the current request; null if there is none. */
    RequestBody body;

    /** Stops the relay of a long response; null if none is running. */
    Runnable stopRelay;

    /** Ends the open request when it is overdue; null unless its complete body is buffered. */
    Runnable endOverdue;

    /** Returns whether a backend may have executed the open request. */
    BooleanSupplier mayHaveBeenExecuted = () -> false;

    private final ConnectionPolicy policy;
    private final MonotonicClock clock;
    private final ProxyMetrics metrics;
    private final BodyBufferBudget readAheadBudget;
    private final RequestIds requestIds;
    private final StreamSourceConduit source;

    /** A byte that was read to check for unread bytes, until Undertow reads it. */
    private final ByteBuffer peeked = ByteBuffer.allocate(1);

    private String requestId;
    private boolean requestRead;

    /** The open request's priority weight once it is served; 0 until then. */
    private double priorityWeight = NO_REQUEST;

    private boolean closed;

    /** Whether the connection ends with a reset. */
    private boolean resetsOnClose;

    /** Whether bytes that the client sends ahead of its response are dropped. */
    private boolean dropsBytesAhead;

    /** Whether the reply to the current request was counted. */
    private boolean replyCounted;

    ClientConnection(StreamConnection socket, int index, Context context) {
        this.socket = socket;
        this.index = index;
        policy = context.policy;
        clock = context.clock;
        metrics = context.metrics;
        readAheadBudget = context.readAheadBudget;
        requestIds = context.requestIds;
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

    /** Returns the budget for bytes that are sent ahead of a response. */
    BodyBufferBudget readAheadBudget() {
        return readAheadBudget;
    }

    /**
     * Drops all bytes that the client sends from now on. The connection closes after the current
     * response, so that no request can be missed in them.
     */
    void dropBytesAhead() {
        dropsBytesAhead = true;
    }

    boolean dropsBytesAhead() {
        return dropsBytesAhead;
    }

    /** Reports all reads and writes of the socket to the policy from now on. */
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

    /**
     * Returns whether no unread byte waits or the connection is broken. Reads one byte ahead to
     * find out.
     */
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
            // Closing a broken connection loses nothing.
            return true;
        }
    }

    /** Reports that the head of a request has been read. */
    void headRead() {
        priorityWeight = NO_REQUEST;
        replyCounted = false;
        // Guards against a head read before the close, which would reactivate a freed index.
        if (!closed) {
            policy.headRead(index, clock.now());
        }
    }

    /**
     * Opens a request, which need not have arrived completely.
     *
     * @return false if the id is in use: backends could not tell the two requests apart
     */
    boolean openRequest(String id, Request opened) {
        if (!requestIds.open(id, clock.now())) {
            return false;
        }
        requestId = id;
        request = opened;
        return true;
    }

    /** Reports that the body is not read on until a backend has taken more of it. */
    void bodyReadPaused() {
        if (!closed) {
            policy.bodyReadPaused(index, clock.now());
        }
    }

    /** Reports that more of the body is awaited from the client. */
    void bodyReadResumed() {
        if (!closed) {
            policy.bodyReadResumed(index, clock.now());
        }
    }

    /**
     * Stops to pass the body on, as the request gets a response without it. Guards against a
     * backend that receives the rest after that and executes the request.
     */
    void stopBody() {
        if (body != null) {
            body.release();
        }
    }

    /**
     * Reads and drops the rest of the body, as the response was sent without it.
     *
     * @param onEnd runs once the body has been read to its end
     */
    void discardBody(Runnable onEnd) {
        if (!closed) {
            policy.discardingRequest(index, clock.now());
            body.discard(onEnd);
        }
    }

    /** Reports that the open request has arrived completely. */
    void requestRead() {
        if (!closed && !requestRead) {
            requestRead = true;
            metrics.requestAccepted();
            priorityWeight = 0;
            policy.requestRead(index, request.tenant, clock.now());
        }
    }

    /** Records that the open request is served, and counts for its client with this weight. */
    void requestServed(double weight) {
        priorityWeight = weight;
    }

    /** Reports that a response is ready; returns whether the connection stays open after it. */
    boolean responseReady() {
        return !closed && policy.responseReady(index, clock.now());
    }

    /** Returns the Keep-Alive timeout to announce, in whole seconds; 0 to announce none. */
    int announcedKeepAliveSeconds() {
        return policy.announcedKeepAliveSeconds(index);
    }

    /** Reports that more bytes of the response can be sent. */
    void responseBytesAvailable() {
        if (!closed) {
            policy.responseBytesAvailable(index, clock.now());
        }
    }

    /** Reports that the request is refused as invalid. */
    void requestInvalid() {
        if (!closed) {
            policy.invalidRequestReceived(index, clock.now());
        }
    }

    /**
     * Starts a pause in which nothing is read, after a request was refused, rejected or failed.
     * Returns the length of the pause in seconds; 0 if the connection is closed.
     */
    double startReadPause() {
        return closed ? 0 : policy.startReadPause(index, clock.now());
    }

    /**
     * Lets the connection end with a reset from now on, whoever closes it, until the response has
     * been sent. For a response that has no other mark of its end than that of the connection.
     */
    void resetUnlessResponseSent() {
        setReset(true);
    }

    private void setReset(boolean resets) {
        resetsOnClose = resets;
        try {
            socket.setOption(Options.CLOSE_ABORT, resets);
        } catch (IOException e) {
            // The socket is closed.
            LOG.debug("reset of a connection not changed", e);
        }
    }

    /** Reports that the response has been sent, and closes the open request. */
    void responseSent() {
        if (resetsOnClose) {
            setReset(false);
        }
        if (!closed) {
            policy.responseSent(index, priorityWeight, clock.now());
            if (dropsBytesAhead) {
                policy.discardingRequest(index, clock.now());
            }
        }
        closeRequest();
    }

    /** Returns whether the reply to the current request is counted for the first time. */
    boolean countReplyOnce() {
        boolean first = !replyCounted;
        replyCounted = true;
        return first;
    }

    /** Closes the open request, as its client has left, and returns it; null if none is open. */
    Request abandonRequest() {
        if (request != null
                && mayHaveBeenExecuted.getAsBoolean()
                && !request.terms.requestClass().isClientRetryHarmless()) {
            requestIds.abandon(requestId, clock.now());
        }
        return closeRequest();
    }

    /** Closes the open request and returns it; null if none is open. */
    Request closeRequest() {
        Request ended = request;
        requestIds.close(requestId);
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
        mayHaveBeenExecuted = () -> false;
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
