package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * The network's way from a backend to the proxy on one connection: what is written arrives in its
 * order, at once or late.
 */
final class Way extends OutputStream {
    private record Piece(byte[] bytes, long dueNanos) {}

    private final BlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();

    Way(OutputStream out) {
        Discovery.daemon(
                () -> {
                    while (true) {
                        Piece piece = pieces.take();
                        long nanos = piece.dueNanos - System.nanoTime();
                        if (nanos > 0) {
                            Thread.sleep(nanos / 1_000_000, (int) (nanos % 1_000_000));
                        }
                        out.write(piece.bytes);
                    }
                });
    }

    @Override
    public void write(int value) {
        write(new byte[] {(byte) value});
    }

    @Override
    public void write(byte[] bytes) {
        writeLate(bytes, 0);
    }

    /** Writes bytes that arrive some milliseconds late. */
    void writeLate(byte[] bytes, int millis) {
        pieces.add(new Piece(bytes.clone(), System.nanoTime() + millis * 1_000_000L));
    }
}
