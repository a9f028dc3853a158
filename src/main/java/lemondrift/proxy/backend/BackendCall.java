package lemondrift.proxy.backend;

import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import lemondrift.proxy.events.BackendResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * One request on one connection and its response. The response is buffered completely. If it is too
 * long, or its length is unknown and it is slow, it consists of its beginning and a {@link
 * StreamedResponse} instead. A call ends exactly once: with a response, with a failure, or by
 * {@link #abandon}. It never retries. I/O thread only.
 */
public final class BackendCall {
    private enum State {
        /** Waits to be started or for a connection; a slot in the pool is reserved. */
        CONNECTING,
        /** Has a connection: sends the request and reads the response at the same time. */
        CONNECTED,
        /** Ended: later events change nothing. */
        DONE
    }

    private static final Logger LOG = LoggerFactory.getLogger(BackendCall.class);

    private final ConnectionPool pool;
    private final RequestWriter requestWriter;
    private final ResponseReader reader;
    private final CallTimeouts timeouts;

    /** Returns whether the request may still be sent, whatever time is left for the response. */
    private final BooleanSupplier maySend;

    private final Runnable onSent;
    private final Consumer<BackendResponse> onEnd;
    private State state = State.CONNECTING;

    /** Null while connecting. */
    private ConnectionPool.PooledConnection pooledConnection;

    /** Null until connecting has started. */
    private IoFuture<StreamConnection> connectFuture;

    /** The buffer that a streamed response has taken over; null if there is none. */
    private PooledByteBuffer streamedBuffer;

    private BackendCall(
            ConnectionPool pool,
            RequestWriter.Request request,
            ResponseReader reader,
            CallTimeouts timeouts,
            BooleanSupplier maySend,
            Runnable onSent,
            Consumer<BackendResponse> onEnd) {
        this.pool = pool;
        this.requestWriter = new RequestWriter(this, pool.ioThread, pool.clock, request);
        this.reader = reader;
        this.timeouts = timeouts;
        this.maySend = maySend;
        this.onSent = onSent;
        this.onEnd = onEnd;
    }

    /**
     * Creates a call whose response is buffered completely. It sends nothing until {@link #start},
     * but its timeouts count from now.
     *
     * @param maxBodyBytes the maximum length of the response's body; a longer one is a failure
     * @param connectTimeoutSeconds how long connecting may take
     * @param timeoutSeconds how long the entire call may take
     * @param onEnd receives the response or the failure once, but not after {@link #abandon}
     * @return the call; null if no connection is idle and none may be opened
     */
    public static BackendCall create(
            ConnectionPool pool,
            byte[] request,
            int maxBodyBytes,
            double connectTimeoutSeconds,
            double timeoutSeconds,
            Consumer<BackendResponse> onEnd) {
        CallTimeouts timeouts =
                new CallTimeouts(
                        pool.ioThread,
                        pool.clock,
                        connectTimeoutSeconds,
                        timeoutSeconds,
                        Double.POSITIVE_INFINITY,
                        0);
        BackendCall call =
                new BackendCall(
                        pool,
                        new RequestWriter.Request(request),
                        new ResponseReader(maxBodyBytes, false),
                        timeouts,
                        () -> true,
                        () -> {},
                        onEnd);
        return call.reserve() ? call : null;
    }

    /**
     * Creates a call whose response may be streamed: if it is too long to be buffered, or if its
     * length is unknown and it has taken some time. Stops sending the request when the response is
     * no longer needed or the time to send is over. Sends nothing until {@link #start}, but the
     * timeouts count from now.
     *
     * @param maySend returns whether the request may still be sent: whether its response is needed,
     *     and a repeat of it is recognized; called before each write
     * @param onSent runs when the kernel has the last byte of the request
     * @param onEnd receives the response or the failure once, but not after {@link #abandon}
     * @return the call; null if no connection is idle and none may be opened
     */
    static BackendCall createStreaming(
            ConnectionPool pool,
            RequestWriter.Request request,
            int maxBufferedBytes,
            CallTimeouts timeouts,
            BooleanSupplier maySend,
            Runnable onSent,
            Consumer<BackendResponse> onEnd) {
        BackendCall call =
                new BackendCall(
                        pool,
                        request,
                        new ResponseReader(maxBufferedBytes, true),
                        timeouts,
                        maySend,
                        onSent,
                        onEnd);
        return call.reserve() ? call : null;
    }

    /** Builds the bytes of a GET request without a body. */
    public static byte[] buildGetRequest(String path, String host) {
        return ("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /**
     * Takes an idle connection or reserves a slot for a new one, and starts the timers. Returns
     * false if neither is available.
     */
    private boolean reserve() {
        pooledConnection = pool.takeUnquarantined();
        if (pooledConnection == null && !pool.tryReserveSlot()) {
            pooledConnection = pool.takeAnyIdle();
            if (pooledConnection == null) {
                return false;
            }
        }
        if (pooledConnection != null) {
            state = State.CONNECTED;
        }
        timeouts.start(
                requestWriter.streamsBody(), pooledConnection == null, () -> endFailed(true));
        return true;
    }

    /** Sends the request, after a connection has been established if none was idle. */
    public void start() {
        if (pooledConnection != null) {
            send();
        } else {
            connect();
        }
    }

    private void connect() {
        try {
            connectFuture = pool.connector.open(pool.address, this::connected);
            connectFuture.addNotifier(
                    (future, unused) -> {
                        if (future.getStatus() == IoFuture.Status.FAILED) {
                            endConnectionBroken();
                        }
                    },
                    null);
        } catch (RuntimeException e) {
            // Catches every exception, as connectors may throw any. Guards against a call that ends
            // twice: a caller that sees the exception would end it, and then the timers would, too.
            LOG.error("connecting to {} failed", pool.address, e);
            endNotSent();
        }
    }

    private void connected(StreamConnection connection) {
        if (isDone()) {
            IoUtils.safeClose(connection);
            return;
        }
        pooledConnection = pool.addConnection(connection);
        state = State.CONNECTED;
        timeouts.connected();
        send();
    }

    private void send() {
        // Guards against a backend that started to drain while the connection was established.
        if (pool.isRetired()) {
            endNotSent();
            return;
        }
        // Guards against a stale time in the head: connecting may have used a part of it.
        requestWriter.encodeHead(timeouts.secondsLeft());
        pooledConnection.connection.getSourceChannel().setReadListener(source -> read());
        pooledConnection.connection.getSourceChannel().resumeReads();
        requestWriter.start(pooledConnection.connection.getSinkChannel());
    }

    /** Returns whether the call has ended. */
    boolean isDone() {
        return state == State.DONE;
    }

    /** Returns whether more of the request should be sent: it may be sent and time is left. */
    boolean shouldSend() {
        return maySend.getAsBoolean()
                && (requestWriter.streamsBody() || !timeouts.isTooLateToSend());
    }

    /** Called by the {@link RequestWriter} when the kernel has the last byte of the request. */
    void requestSent() {
        if (requestWriter.streamsBody()) {
            timeouts.bodyStreamed(requestWriter.maxResponseSeconds());
        }
        onSent.run();
    }

    /**
     * Returns the time at which the call was created or, if a body was streamed, the time at which
     * its last byte was written, in seconds of the clock.
     */
    double startedAt() {
        return timeouts.startedAt();
    }

    private void read() {
        PooledByteBuffer pooled = pool.bufferPool.allocate();
        try {
            int count = 1;
            while (!isDone() && count > 0) {
                count =
                        pooledConnection
                                .connection
                                .getSourceChannel()
                                .read(pooled.getBuffer().clear());
                if (count > 0) {
                    bytesRead(pooled);
                } else if (count < 0) {
                    connectionEnded();
                }
            }
            scheduleStreaming();
        } catch (IOException | RuntimeException e) {
            // Catches every exception: guards against an attempt that never ends if a library fails
            // on a response.
            endConnectionBroken();
        } finally {
            if (streamedBuffer != pooled) {
                pooled.close();
            }
        }
    }

    private void bytesRead(PooledByteBuffer pooled) throws IOException {
        ByteBuffer buffer = pooled.getBuffer().flip();
        if (reader.read(buffer)) {
            boolean unexpectedBytes = buffer.hasRemaining();
            if (unexpectedBytes) {
                pool.startQuarantine();
            }
            endComplete(unexpectedBytes);
        } else if (reader.isTooLongToBuffer()) {
            endStreamed(pooled);
        }
    }

    private void connectionEnded() {
        if (reader.endsAtConnectionClose()) {
            endComplete(true);
        } else {
            endConnectionBroken();
        }
    }

    /** Guards against a client that receives nothing of a slow response until it is too late. */
    private void scheduleStreaming() {
        if (!isDone() && reader.isLengthUnknown() && requestWriter.isSent()) {
            timeouts.scheduleStreaming(this::streamIncomplete);
        }
    }

    private void streamIncomplete() {
        if (!isDone()) {
            reader.forceStreaming();
            PooledByteBuffer empty = pool.bufferPool.allocate();
            empty.getBuffer().limit(0);
            endStreamed(empty);
        }
    }

    /** Ends the call with the beginning of the response and the connection for the remainder. */
    private void endStreamed(PooledByteBuffer unread) {
        streamedBuffer = unread;
        finish();
        pooledConnection.connection.getSourceChannel().suspendReads();
        onEnd.accept(
                reader.streamedResponse(
                        new StreamedResponse(
                                pool, pooledConnection, requestWriter, reader, unread)));
    }

    /**
     * Ends the call with a complete response. Guards against reuse of a connection on which the
     * next request would receive bytes beyond this response, or would follow an incomplete request.
     */
    private void endComplete(boolean connectionUnusable) {
        finish();
        pool.release(
                pooledConnection,
                !connectionUnusable && requestWriter.isSent() && !reader.closesConnection());
        onEnd.accept(reader.bufferedResponse());
    }

    /** Ends the call, as the connection could not be established, broke, or sent invalid bytes. */
    void endConnectionBroken() {
        endFailed(false);
    }

    private void endFailed(boolean timedOut) {
        if (!isDone()) {
            abandon();
            onEnd.accept(BackendResponse.connectionFailed(requestWriter.isSent(), timedOut));
        }
    }

    /** Ends the call, as its request will not be sent, through no fault of the backend. */
    void endNotSent() {
        if (!isDone()) {
            abandon();
            onEnd.accept(BackendResponse.notSent());
        }
    }

    /** Ends the call and closes its connection, so that its request does not stay in flight. */
    public void abandon() {
        if (isDone()) {
            return;
        }
        boolean connecting = state == State.CONNECTING;
        finish();
        if (!connecting) {
            pooledConnection.close();
            return;
        }
        pool.releaseSlot();
        if (connectFuture != null) {
            connectFuture.cancel();
        }
    }

    private void finish() {
        state = State.DONE;
        timeouts.stop();
        requestWriter.stop();
    }
}
