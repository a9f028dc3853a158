package lemondrift.proxy.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;

/**
 * Forwards a body from one side of the proxy to the other as it arrives. Reads nothing while the
 * receiver accepts nothing, so that at most one buffer is held. I/O thread only.
 */
public final class BodyRelay {
    /**
     * How long either side may make no progress; 0 if another timeout covers that side.
     *
     * @param sourceSeconds how long the source may send no byte
     * @param sinkSeconds how long the sink may accept no byte
     */
    public record StallTimeouts(double sourceSeconds, double sinkSeconds) {}

    /** Guards against one fast pair of connections that keeps the I/O thread from all others. */
    private static final int MAX_PIECES_PER_RUN = 16;

    private final BodySource source;
    private final StreamSinkChannel sink;
    private final XnioIoThread ioThread;
    private final DoubleSupplier clock;
    private final StallTimeouts timeouts;
    private final Runnable onRead;
    private final Consumer<Boolean> onEnd;

    /** The piece that was read last, possibly written in part; null if there is none. */
    private ByteBuffer piece;

    /** When the sink last accepted bytes, in seconds of the clock. */
    private double sinkProgressAt;

    private boolean awaitsSink;
    private XnioExecutor.Key stallTimer;
    private boolean ended;

    /**
     * Creates a relay, which {@link #run} starts.
     *
     * @param clock returns the current time in seconds
     * @param onRead runs after each attempt to read a piece
     * @param onEnd receives once whether the complete body was forwarded, but not after {@link
     *     #stop}
     */
    public BodyRelay(
            BodySource source,
            StreamSinkChannel sink,
            XnioIoThread ioThread,
            DoubleSupplier clock,
            StallTimeouts timeouts,
            Runnable onRead,
            Consumer<Boolean> onEnd) {
        this.source = source;
        this.sink = sink;
        this.ioThread = ioThread;
        this.clock = clock;
        sinkProgressAt = clock.getAsDouble();
        this.timeouts = timeouts;
        this.onRead = onRead;
        this.onEnd = onEnd;
        sink.getWriteSetter().set(channel -> run());
    }

    /** Forwards as much as possible now, then waits for the side that can't continue. */
    public void run() {
        if (ended) {
            return;
        }
        stopTimer();
        awaitsSink = false;
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
                // Continues once the I/O thread has looked at its other connections and timers: it
                // looks at neither while there are tasks. The sink may accept nothing by then.
                awaitSink();
            }
        } catch (IOException | RuntimeException e) {
            // Catches every exception, as the library of either side may throw any: the body is
            // incomplete in each case.
            if (!ended) {
                end(false);
            }
        }
    }

    /** Writes as much of the piece as the sink accepts; returns whether nothing is left of it. */
    private boolean writePiece() throws IOException {
        if (piece != null && piece.hasRemaining()) {
            if (sink.write(piece) > 0) {
                sinkProgressAt = clock.getAsDouble();
            }
            return !piece.hasRemaining();
        }
        return true;
    }

    /**
     * Returns for how many seconds the sink has accepted no byte; 0 if the relay does not wait for
     * it.
     */
    public double sinkStalledSeconds() {
        return awaitsSink ? clock.getAsDouble() - sinkProgressAt : 0;
    }

    private void awaitSink() {
        awaitsSink = true;
        sink.resumeWrites();
        startTimer(timeouts.sinkSeconds);
    }

    private void awaitSource() throws IOException {
        // Bytes that the sink still buffers must be written first.
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

    /** Stops forwarding, without a call of {@code onEnd}. */
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
