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
 * Writes log lines on a separate thread. Guards against a slow or stopped reader of the log
 * blocking the threads that serve requests: lines that do not fit into the queue are dropped and
 * counted. Any thread may write.
 */
public final class AsyncLog extends OutputStream {
    /** Maximum number of lines that wait to be written. */
    private static final int MAX_QUEUED_LINES = 1024;

    private final OutputStream sink;
    private final BlockingQueue<byte[]> queuedLines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

    /** The part of an incomplete line that has been written so far. */
    private final ByteArrayOutputStream incompleteLine = new ByteArrayOutputStream(256);

    private final AtomicLong droppedLines = new AtomicLong();

    /** True while a line taken from the queue is being written. */
    private volatile boolean writing;

    /** Creates a log that writes to a sink, and starts its thread. */
    public AsyncLog(OutputStream sink) {
        this.sink = sink;
        Thread writer = new Thread(this::writeQueuedLines, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Redirects {@link System#err} to a new log that writes to standard error. */
    public static AsyncLog redirectStandardError() {
        AsyncLog log = new AsyncLog(System.err);
        System.setErr(new PrintStream(log, true));
        return log;
    }

    @Override
    public synchronized void write(int b) {
        incompleteLine.write(b);
        if (b == '\n') {
            queueLine();
        }
    }

    @Override
    public synchronized void write(byte[] bytes, int offset, int length) {
        incompleteLine.write(bytes, offset, length);
        if (length > 0 && bytes[offset + length - 1] == '\n') {
            queueLine();
        }
    }

    private void queueLine() {
        if (!queuedLines.offer(incompleteLine.toByteArray())) {
            droppedLines.incrementAndGet();
        }
        incompleteLine.reset();
    }

    private void writeQueuedLines() {
        try {
            while (true) {
                byte[] next = queuedLines.take();
                writing = true;
                long dropped = droppedLines.getAndSet(0);
                if (dropped > 0) {
                    sink.write(
                            ("log lines left out: " + dropped + "\n")
                                    .getBytes(StandardCharsets.UTF_8));
                }
                sink.write(next);
                sink.flush();
                writing = false;
            }
        } catch (IOException | InterruptedException e) {
            // The log itself has failed, so the error cannot be reported.
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until all queued lines are written, at most for the given number of seconds. */
    public void drain(double timeoutSeconds) {
        long deadlineNanos = System.nanoTime() + (long) (timeoutSeconds * 1e9);
        while ((writing || !queuedLines.isEmpty()) && System.nanoTime() < deadlineNanos) {
            try {
                TimeUnit.MILLISECONDS.sleep(1);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
