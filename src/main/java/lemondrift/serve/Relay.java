package lemondrift.serve;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;

/**
 * Passes a long answer on as it comes: nothing is read of the backend while the client does not take, so that
 * no more than one buffer is held. I/O thread only.
 */
final class Relay {
    /** Pieces in a row. Danger: one quick pair would keep all others from the I/O thread. */
    private static final int AT_A_TIME = 16;

    private final Call from;
    private final StreamSinkChannel to;
    private final XnioIoThread io;
    private final double stall;
    private final Runnable offered;
    private final Consumer<Boolean> end;
    private ByteBuffer piece;
    private XnioExecutor.Key timer;
    private boolean over;

    /** Offered hears of each piece, end once whether all was passed on, and not after the client has left. */
    Relay(HttpServerExchange client, Answer begun, XnioIoThread io, double stall, Runnable offered,
            Consumer<Boolean> end) {
        this.offered = offered;
        from = begun.rest();
        piece = ByteBuffer.wrap(begun.body());
        this.io = io;
        this.stall = stall;
        this.end = end;
        to = client.getResponseChannel();
        to.getWriteSetter().set(sink -> run());
    }

    /** Does what can be done now and waits for whichever side it is that has to go on. */
    void run() {
        if (over) {
            return;
        }
        stopTimer();
        try {
            for (int i = 0; i < AT_A_TIME; i++) {
                if (piece != null && piece.hasRemaining()) {
                    to.write(piece);
                    if (piece.hasRemaining()) {
                        to.resumeWrites();
                        return;
                    }
                }
                to.suspendWrites();
                piece = from.next();
                offered.run();
                if (piece == null && from.isWhole()) {
                    from.passed();
                    finish(true);
                    return;
                } else if (piece == null && to.flush()) {
                    timer = io.executeAfter(() -> broken(), (long) (stall * 1e9), TimeUnit.NANOSECONDS);
                    from.awaitMore(this::run);
                    return;
                } else if (piece == null) {
                    // What the client has not taken yet goes first.
                    to.resumeWrites();
                    return;
                }
            }
            io.execute(this::run);
        } catch (IOException | RuntimeException e) {
            broken();
        }
    }

    private void broken() {
        if (!over) {
            from.drop();
            finish(false);
        }
    }

    private void finish(boolean whole) {
        over = true;
        stopTimer();
        end.accept(whole);
    }

    /** The client has gone, and nobody wants the rest. */
    void left() {
        if (!over) {
            over = true;
            stopTimer();
            from.drop();
        }
    }

    private void stopTimer() {
        if (timer != null) {
            timer.remove();
            timer = null;
        }
    }
}
