package lemondrift.proxy.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;

/**
 * Passes a body on as it comes: nothing is read of one side while the other does not take, so that
 * no more than one buffer is held. I/O thread only.
 */
public final class BodyRelay {
    /** How many seconds either side may stand still; 0 where somebody else looks after it. */
    public record Patience(double giver, double taker) {}

    /** Pieces in a row. Danger: one quick pair would keep all others from the I/O thread. */
    private static final int AT_A_TIME = 16;

    private final BodyChunks from;
    private final StreamSinkChannel to;
    private final XnioIoThread io;
    private final Patience patience;
    private final Runnable offered;
    private final Consumer<Boolean> end;
    private ByteBuffer piece;
    private XnioExecutor.Key timer;
    private boolean over;

    /** Offered hears of each piece, end once whether all was passed on; neither does after stop. */
    public BodyRelay(
            BodyChunks from,
            StreamSinkChannel to,
            XnioIoThread io,
            Patience patience,
            Runnable offered,
            Consumer<Boolean> end) {
        this.from = from;
        this.to = to;
        this.io = io;
        this.patience = patience;
        this.offered = offered;
        this.end = end;
        to.getWriteSetter().set(sink -> run());
    }

    /** Does what can be done now and waits for whichever side it is that has to go on. */
    public void run() {
        if (over) {
            return;
        }
        stopTimer();
        try {
            for (int i = 0; i < AT_A_TIME && !over; i++) {
                if (piece != null && piece.hasRemaining()) {
                    to.write(piece);
                    if (piece.hasRemaining()) {
                        awaitTaker();
                        return;
                    }
                }
                to.suspendWrites();
                piece = from.next();
                offered.run();
                if (piece == null && from.isWhole()) {
                    finish(true);
                } else if (piece == null && !over) {
                    awaitGiver();
                    return;
                }
            }
            if (!over) {
                io.execute(this::run);
            }
        } catch (IOException | RuntimeException e) {
            if (!over) {
                finish(false);
            }
        }
    }

    private void awaitTaker() {
        to.resumeWrites();
        startTimer(patience.taker);
    }

    private void awaitGiver() throws IOException {
        // What the taker has not taken yet goes first.
        if (to.flush()) {
            startTimer(patience.giver);
            from.awaitMore(this::run);
        } else {
            awaitTaker();
        }
    }

    private void startTimer(double seconds) {
        if (seconds > 0) {
            timer =
                    io.executeAfter(
                            () -> finish(false), (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
        }
    }

    private void finish(boolean whole) {
        stop();
        end.accept(whole);
    }

    /** Nobody wants the rest. */
    public void stop() {
        over = true;
        stopTimer();
    }

    private void stopTimer() {
        if (timer != null) {
            timer.remove();
            timer = null;
        }
    }
}
