package lemondrift.proxy.logging;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes lines of the log on a thread of its own, so that whoever reads them slowly, or not at all,
 * holds up nobody who owes an answer. What there is no room for is left out and counted.
 */
public final class AsyncLog extends OutputStream {
    /** Lines that wait at the most. */
    private static final int ROOM = 1024;

    private final OutputStream to;
    private final BlockingQueue<byte[]> waiting = new ArrayBlockingQueue<>(ROOM);
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);
    private final AtomicLong leftOut = new AtomicLong();
    private volatile boolean writing;

    public AsyncLog(OutputStream to) {
        this.to = to;
        Thread writer = new Thread(this::run, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Has the log's lines go through one from now on. */
    public static AsyncLog ofStandardError() {
        AsyncLog log = new AsyncLog(System.err);
        System.setErr(new PrintStream(log, true));
        return log;
    }

    @Override
    public synchronized void write(int b) {
        line.write(b);
        if (b == '\n') {
            ends();
        }
    }

    @Override
    public synchronized void write(byte[] bytes, int offset, int length) {
        line.write(bytes, offset, length);
        if (length > 0 && bytes[offset + length - 1] == '\n') {
            ends();
        }
    }

    private void ends() {
        if (!waiting.offer(line.toByteArray())) {
            leftOut.incrementAndGet();
        }
        line.reset();
    }

    private void run() {
        try {
            while (true) {
                byte[] next = waiting.take();
                writing = true;
                long missing = leftOut.getAndSet(0);
                if (missing > 0) {
                    to.write(
                            ("log lines left out: " + missing + "\n")
                                    .getBytes(StandardCharsets.UTF_8));
                }
                to.write(next);
                to.flush();
                writing = false;
            }
        } catch (IOException | InterruptedException e) {
            // Nobody can be told of it.
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until all has been written, so many seconds at the most. */
    public void drain(double seconds) {
        long until = System.nanoTime() + (long) (seconds * 1e9);
        while ((writing || !waiting.isEmpty()) && System.nanoTime() < until) {
            try {
                TimeUnit.MILLISECONDS.sleep(1);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
