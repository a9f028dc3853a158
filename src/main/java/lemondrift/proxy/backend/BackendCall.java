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
 * One request on one connection and its response, buffered whole, or where it is long its beginning
 * and then a {@link StreamedResponse}. It ends once: with a response, with a failure, or by {@link
 * #abandon}. It never retries. I/O thread only.
 */
public final class BackendCall {
    private enum State {
        /** Waits to be started, or for a connection; a place in the pool is reserved. */
        CONNECTING,
        /** Holds a connection: sends the request and reads the response, at the same time. */
        CONNECTED,
        /** Ended; whatever comes now changes nothing. */
        DONE
    }

    private static final Logger LOG = LoggerFactory.getLogger(BackendCall.class);

    private final ConnectionPool pool;
    private final RequestWriter requestWriter;
    private final ResponseReader reader;
    private final CallTimeouts timeouts;

    /** Whether anybody waits for the response. */
    private final BooleanSupplier isResponseAwaited;

    private final Runnable onSent;
    private final Consumer<BackendResponse> onEnd;
    private State state = State.CONNECTING;

    /** Null while connecting. */
    private ConnectionPool.PooledConnection pooledConnection;

    /** Null until the connect has begun. */
    private IoFuture<StreamConnection> connectFuture;

    /** The buffer that a streamed response has taken over; null where there is none. */
    private PooledByteBuffer streamedBuffer;

    private BackendCall(
            ConnectionPool pool,
            RequestWriter.Request request,
            ResponseReader reader,
            CallTimeouts timeouts,
            BooleanSupplier isResponseAwaited,
            Runnable onSent,
            Consumer<BackendResponse> onEnd) {
        this.pool = pool;
        this.requestWriter = new RequestWriter(this, pool.ioThread, request);
        this.reader = reader;
        this.timeouts = timeouts;
        this.isResponseAwaited = isResponseAwaited;
        this.onSent = onSent;
        this.onEnd = onEnd;
    }

    /**
     * A call, to be started, whose response is buffered whole.
     *
     * @param maxBodyBytes a longer response is a failure
     * @param connectTimeoutSeconds how long connecting may take
     * @param timeoutSeconds how long the whole call may take
     * @param onEnd hears of the response or the failure once, not after {@link #abandon}
     * @return null if no connection is free and none may be opened
     */
    public static BackendCall make(
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
     * A call, to be started, whose response may be streamed: when it is too long to be buffered, or
     * its length is unknown and it has lasted for some time. Nothing more of the request is sent
     * once it is not wanted or its time is over.
     *
     * @param isResponseAwaited whether anybody waits for the response; asked before each write
     * @param onSent hears once the last byte of the request is with the kernel
     * @param onEnd hears of the response or the failure once, not after {@link #abandon}
     * @return null if no connection is free and none may be opened
     */
    static BackendCall makeStreaming(
            ConnectionPool pool,
            RequestWriter.Request request,
            int maxBufferedBytes,
            CallTimeouts timeouts,
            BooleanSupplier isResponseAwaited,
            Runnable onSent,
            Consumer<BackendResponse> onEnd) {
        BackendCall call =
                new BackendCall(
                        pool,
                        request,
                        new ResponseReader(maxBufferedBytes, true),
                        timeouts,
                        isResponseAwaited,
                        onSent,
                        onEnd);
        return call.reserve() ? call : null;
    }

    /** The bytes of a GET request without a body. */
    public static byte[] buildGetRequest(String path, String host) {
        return ("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Takes an idle connection or a place for a new one, and starts the timers. */
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

    /** Sends the request, on the connection at hand or once one is established. */
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
            // Wide, as connectors may throw anything. Guards against a call that ends twice: a
            // caller that saw the exception would end it too, and then the timers would.
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
        // Guards against a backend that began to drain while the connection was established.
        if (pool.isRetired()) {
            endNotSent();
            return;
        }
        // Guards against a stale time: less is left than before the connection was established.
        requestWriter.makeHead(timeouts.secondsLeft());
        pooledConnection.connection.getSourceChannel().setReadListener(source -> read());
        pooledConnection.connection.getSourceChannel().resumeReads();
        requestWriter.start(pooledConnection.connection.getSinkChannel());
    }

    /** Whether the call has ended. */
    boolean isDone() {
        return state == State.DONE;
    }

    /** Whether the request is worth sending: somebody waits for the response and it has time. */
    boolean isStillWanted() {
        return isResponseAwaited.getAsBoolean()
                && (requestWriter.streamsBody() || !timeouts.isTooLateToSend());
    }

    /** The last byte of the request is with the kernel. */
    void requestSent() {
        if (requestWriter.streamsBody()) {
            timeouts.bodyStreamed();
        }
        onSent.run();
    }

    /** The instant at which it was made, or at which the last byte of a streamed body had gone. */
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
            // Wide: guards against an attempt without an end where a library fails on a response.
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

    /**
     * Guards against a client that hears nothing until too late of a response that comes slowly.
     */
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

    /** Hands over the beginning of the response, and the connection with what follows. */
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
     * Guards against the next request on the connection that gets what lies beyond this response,
     * or follows what was not sent of this request.
     */
    private void endComplete(boolean connectionUnusable) {
        finish();
        pool.release(
                pooledConnection,
                !connectionUnusable && requestWriter.isSent() && !reader.closesConnection());
        onEnd.accept(reader.bufferedResponse());
    }

    /** The connection could not be established, broke, or brought what cannot be read. */
    void endConnectionBroken() {
        endFailed(false);
    }

    private void endFailed(boolean timedOut) {
        if (!isDone()) {
            abandon();
            onEnd.accept(BackendResponse.connectionFailed(requestWriter.isSent(), timedOut));
        }
    }

    /** The request is not going to be sent, through no fault of the backend. */
    void endNotSent() {
        if (!isDone()) {
            abandon();
            onEnd.accept(BackendResponse.notSent());
        }
    }

    /** Gives the request up by closing its connection, so that no copy of it stays out. */
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
