package lemondrift.proxy.client;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import lemondrift.buffer.BodyBufferBudget;
import lemondrift.proxy.events.StreamedRequestBody;
import org.xnio.channels.StreamSourceChannel;

/**
 * A request's body as it arrives: buffered as long as the budget allows, otherwise streamed piece
 * by piece, with chunked framing if its length is not known. I/O thread only.
 */
final class RequestBody implements StreamedRequestBody {
    /** Receives the events of reading a body. */
    interface Listener {
        /** The complete body has arrived and is buffered. */
        void buffered(byte[] body);

        /** The body exceeds the buffer budget and must be streamed. */
        void streamed(RequestBody body);

        /** The body is not read on until a backend has taken more of it. */
        void readPaused();

        /** More of the body is awaited from the client. */
        void readResumed();

        /**
         * The last byte of a streamed body has been read and is passed on next, unless the body is
         * released.
         */
        void streamComplete();

        /** A byte that is not buffered is passed on, so that the body can't be sent again. */
        void notReplayable();

        /** The body is longer than the proxy accepts. */
        void tooLong();

        /** The body can't be read, or its framing is invalid. */
        void unreadable();
    }

    /** Guards against one fast client that keeps the I/O thread from all others. */
    private static final int MAX_DISCARDED_PIECES_PER_RUN = 16;

    private static final ByteBuffer CHUNK_END = ByteBuffer.wrap(new byte[] {'\r', '\n'});

    private final StreamSourceChannel channel;
    private final BodyBufferBudget bufferBudget;
    private final ByteBufferPool bufferPool;
    private final long maxBytes;
    private final Listener listener;
    private final UploadDeadline deadline;

    /** The length in bytes; negative if it is not known. */
    private final long declaredBytes;

    /** How long a backend may go without reading any byte of the body. */
    private final double stallTimeoutSeconds;

    private final boolean chunked;

    /** Bytes that were read and are passed on next, with the framing of chunks. */
    private final Deque<ByteBuffer> nextPieces = new ArrayDeque<>();

    /** How long the response may take from the body's last byte; set when the body is streamed. */
    private double responseTimeoutSeconds;

    private byte[] buffered = {};
    private int bufferedBytes;
    private long receivedBytes;

    /**
     * Bytes that have arrived and are not buffered. Not from the pool: guards against a pooled
     * buffer that is reused while it is still being written.
     */
    private ByteBuffer unbuffered;

    private boolean startedUnbuffered;
    private boolean sourceEnded;
    private boolean allReturned;

    /** Whether reading has stopped, because it failed or the request has ended. */
    private boolean stopped;

    private Runnable onRelease = () -> {};

    RequestBody(
            HttpServerExchange exchange,
            BodyBufferBudget bufferBudget,
            ByteBufferPool bufferPool,
            long maxBytes,
            double stallTimeoutSeconds,
            UploadDeadline deadline,
            Listener listener) {
        this.stallTimeoutSeconds = stallTimeoutSeconds;
        this.deadline = deadline;
        channel = exchange.getRequestChannel();
        declaredBytes = exchange.getRequestContentLength();
        chunked = declaredBytes < 0;
        this.bufferBudget = bufferBudget;
        this.bufferPool = bufferPool;
        this.maxBytes = maxBytes;
        this.listener = listener;
    }

    /**
     * Buffers the complete body, or starts to stream it if it exceeds the budget. Continues when
     * more bytes arrive.
     */
    void readIntoBuffer() {
        deadline.setAwaitingClient(false);
        try (PooledByteBuffer pooled = bufferPool.allocate()) {
            ByteBuffer piece = pooled.getBuffer();
            for (int count = read(piece.clear()); count != 0; count = read(piece.clear())) {
                if (count < 0) {
                    sourceEnded = true;
                    listener.buffered(
                            bufferedBytes == buffered.length
                                    ? buffered
                                    : Arrays.copyOf(buffered, bufferedBytes));
                    return;
                }
                piece.flip();
                if (!bufferBudget.tryReserve(bufferedBytes, count)) {
                    startStreaming(piece);
                    return;
                }
                append(piece, count);
            }
            deadline.setAwaitingClient(true);
            channel.getReadSetter().set(source -> readIntoBuffer());
            channel.resumeReads();
        } catch (IOException | RuntimeException e) {
            // Catches every exception: the client must get a response whatever the decoder throws.
            unreadable();
        }
    }

    /**
     * Reads from the client. Returns the number of bytes, 0 if none have arrived, -1 at the end.
     */
    private int read(ByteBuffer to) throws IOException {
        double now = deadline.now();
        int count = channel.read(to);
        if (count >= 0) {
            receivedBytes += count;
            deadline.read(count, now);
        }
        return count;
    }

    private void append(ByteBuffer piece, int count) {
        int needed = bufferedBytes + count;
        if (needed > buffered.length) {
            buffered = Arrays.copyOf(buffered, Math.max(needed, 2 * buffered.length));
        }
        piece.get(buffered, bufferedBytes, count);
        bufferedBytes += count;
    }

    private void startStreaming(ByteBuffer piece) {
        unbuffered = ByteBuffer.allocate(piece.capacity()).put(piece).flip();
        channel.suspendReads();
        listener.readPaused();
        listener.streamed(this);
    }

    /**
     * Limits how long the client waits for the response.
     *
     * @param timeoutSeconds how long it waits after its last byte
     * @param onOverdue runs if it has waited that long and the body has not been released
     */
    void startDeadline(double timeoutSeconds, Runnable onOverdue) {
        deadline.start(timeoutSeconds, onOverdue);
    }

    @Override
    public double stallTimeoutSeconds() {
        return stallTimeoutSeconds;
    }

    @Override
    public double responseTimeoutSeconds() {
        return responseTimeoutSeconds;
    }

    @Override
    public double clientSecondsLeft() {
        return deadline.secondsLeft();
    }

    void setResponseTimeoutSeconds(double seconds) {
        responseTimeoutSeconds = seconds;
    }

    @Override
    public boolean isChunked() {
        return chunked;
    }

    @Override
    public boolean restart() {
        if (startedUnbuffered) {
            return false;
        }
        nextPieces.clear();
        allReturned = false;
        if (bufferedBytes > 0) {
            addPiece(ByteBuffer.wrap(buffered, 0, bufferedBytes).slice());
        }
        return true;
    }

    private void addPiece(ByteBuffer piece) {
        if (chunked) {
            nextPieces.add(asciiBuffer(Integer.toHexString(piece.remaining()) + "\r\n"));
        }
        nextPieces.add(piece);
        if (chunked) {
            nextPieces.add(CHUNK_END.duplicate());
        }
    }

    private static ByteBuffer asciiBuffer(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public ByteBuffer nextPiece() {
        if (nextPieces.isEmpty() && !allReturned) {
            readNext();
        }
        return stopped ? null : nextPieces.poll();
    }

    /**
     * Reads the next piece. Throws nothing: a backend must not be blamed for the client's error.
     */
    private void readNext() {
        try {
            if (!startedUnbuffered) {
                startedUnbuffered = true;
                listener.notReplayable();
            } else if (!stopped && !sourceEnded) {
                int count = read(unbuffered.clear());
                unbuffered.flip();
                sourceEnded = count < 0;
            }
            sourceEnded = sourceEnded || isLastByteRead();
            if (receivedBytes > maxBytes) {
                tooLong();
                return;
            }
            if (unbuffered.hasRemaining()) {
                addPiece(unbuffered.slice());
                unbuffered.position(unbuffered.limit());
            }
            if (sourceEnded) {
                endStream();
            }
        } catch (IOException | RuntimeException e) {
            // Catches every exception: whatever the decoder throws is not the backend's fault.
            unreadable();
        }
    }

    /**
     * Returns whether the last byte of a body of known length has been read. Reads the end of the
     * body, so that the request is complete before its last byte is passed on.
     */
    private boolean isLastByteRead() throws IOException {
        return !stopped
                && receivedBytes == declaredBytes
                && channel.read(ByteBuffer.allocate(1)) < 0;
    }

    private void endStream() {
        allReturned = true;
        if (chunked) {
            nextPieces.add(asciiBuffer("0\r\n\r\n"));
        }
        listener.streamComplete();
    }

    private void tooLong() {
        if (!stopped) {
            stopReading();
            listener.tooLong();
        }
    }

    private void unreadable() {
        if (!stopped) {
            stopReading();
            listener.unreadable();
        }
    }

    private void stopReading() {
        stopped = true;
        channel.suspendReads();
    }

    @Override
    public boolean isComplete() {
        return allReturned && nextPieces.isEmpty() && !stopped;
    }

    @Override
    public void awaitMore(Runnable action) {
        if (stopped) {
            return;
        }
        deadline.setAwaitingClient(true);
        listener.readResumed();
        channel.getReadSetter()
                .set(
                        source -> {
                            source.suspendReads();
                            deadline.setAwaitingClient(false);
                            listener.readPaused();
                            action.run();
                        });
        channel.resumeReads();
    }

    @Override
    public void onRelease(Runnable action) {
        onRelease = action;
    }

    /**
     * Reads and drops the rest of the body after {@link #release}. Continues when more bytes
     * arrive.
     *
     * @param onEnd runs once at the end of the body, but not if it can't be read or is longer than
     *     the proxy accepts
     */
    void discard(Runnable onEnd) {
        try (PooledByteBuffer pooled = bufferPool.allocate()) {
            int count = 1;
            for (int piece = 0; piece < MAX_DISCARDED_PIECES_PER_RUN && count > 0; piece++) {
                count = channel.read(pooled.getBuffer().clear());
                receivedBytes += Math.max(0, count);
            }
            if (receivedBytes > maxBytes) {
                listener.unreadable();
                return;
            }
            if (count < 0) {
                channel.suspendReads();
                onEnd.run();
                return;
            }
            channel.getReadSetter().set(source -> discard(onEnd));
            channel.resumeReads();
        } catch (IOException | RuntimeException e) {
            // Catches every exception, as the decoder may throw any: the connection must close.
            listener.unreadable();
        }
    }

    /** Frees the buffered bytes and stops reading, as the request has ended. */
    void release() {
        bufferBudget.release(bufferedBytes);
        bufferedBytes = 0;
        buffered = new byte[0];
        stopped = true;
        deadline.stop();
        onRelease.run();
    }
}
