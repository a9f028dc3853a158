package lemondrift.proxy.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;

/**
 * Passes a body on from one side of the proxy to the other as it comes. Reads nothing while the
 * other side takes nothing, so that no more than one buffer is held. I/O thread only.
 */
public final class BodyRelay {
    /**
     * How long either side may stand still; 0 where another timeout covers that side.
     *
     * @param sourceSeconds how long no byte may come
     * @param sinkSeconds how long no byte may be taken
     */
    public record StallTimeouts(double sourceSeconds, double sinkSeconds) {}

    /** Guards against one quick pair of connections that keeps all others from the I/O thread. */
    private static final int MAX_PIECES_PER_RUN = 16;

    private final BodySource source;
    private final StreamSinkChannel sink;
    private final XnioIoThread ioThread;
    private final StallTimeouts timeouts;
    private final Runnable onRead;
    private final Consumer<Boolean> onEnd;

    /** What was read and is not written whole; null where there is none. */
    private ByteBuffer piece;

    private XnioExecutor.Key stallTimer;
    private boolean ended;

    /**
     * A relay, to be started by {@link #run}.
     *
     * @param onRead runs after each attempt to read a piece
     * @param onEnd hears once whether the whole body was passed on, not after {@link #stop}
     */
    public BodyRelay(
            BodySource source,
            StreamSinkChannel sink,
            XnioIoThread ioThread,
            StallTimeouts timeouts,
            Runnable onRead,
            Consumer<Boolean> onEnd) {
        this.source = source;
        this.sink = sink;
        this.ioThread = ioThread;
        this.timeouts = timeouts;
        this.onRead = onRead;
        this.onEnd = onEnd;
        sink.getWriteSetter().set(channel -> run());
    }

    /** Passes on what can be passed on now, then waits for the side that has to go on. */
    public void run() {
        if (ended) {
            return;
        }
        stopTimer();
        try {
            for (int count = 0; count < MAX_PIECES_PER_RUN && !ended; count++) {
                if (!writePiece()) {
                    awaitSink();
                    return;
                }
                sink.suspendWrites();
                piece = source.nextPiece();
                onRead.run();
                if (piece == null && source.isComplete()) {
                    end(true);
                } else if (piece == null && !ended) {
                    awaitSource();
                    return;
                }
            }
            if (!ended) {
                ioThread.execute(this::run);
            }
        } catch (IOException | RuntimeException e) {
            // Wide, as either side's library may throw anything: whatever it is, the body broke
            // off.
            if (!ended) {
                end(false);
            }
        }
    }

    /** Writes what the sink takes of the piece; whether nothing is left of it. */
    private boolean writePiece() throws IOException {
        if (piece != null && piece.hasRemaining()) {
            sink.write(piece);
            return !piece.hasRemaining();
        }
        return true;
    }

    private void awaitSink() {
        sink.resumeWrites();
        startTimer(timeouts.sinkSeconds);
    }

    private void awaitSource() throws IOException {
        // What the sink still buffers goes first.
        if (sink.flush()) {
            startTimer(timeouts.sourceSeconds);
            source.awaitMore(this::run);
        } else {
            awaitSink();
        }
    }

    private void startTimer(double seconds) {
        if (seconds > 0) {
            stallTimer =
                    ioThread.executeAfter(
                            () -> end(false), (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
        }
    }

    private void end(boolean complete) {
        stop();
        onEnd.accept(complete);
    }

    /** Passes on nothing more; nobody hears of it. */
    public void stop() {
        ended = true;
        stopTimer();
    }

    private void stopTimer() {
        if (stallTimer != null) {
            stallTimer.remove();
            stallTimer = null;
        }
    }
}
