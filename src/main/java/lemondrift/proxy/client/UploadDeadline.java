package lemondrift.proxy.client;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import lemondrift.connection.UploadProgress;
import lemondrift.proxy.time.Durations;
import lemondrift.proxy.time.MonotonicClock;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Limits how long the client of a streamed request waits for its response, from the earliest time
 * at which it can have sent its last byte ({@link UploadProgress}). Guards against a client that
 * waits in vain while a backend takes nothing of the body. I/O thread only.
 */
final class UploadDeadline {
    private final XnioIoThread ioThread;
    private final MonotonicClock clock;
    private final StreamConnection socket;
    private final UploadProgress progress;

    private double timeoutSeconds;
    private Runnable onOverdue;
    private boolean awaitingClient;

    /** Null while the deadline is not enforced. */
    private XnioExecutor.Key timer;

    /**
     * Creates a deadline that is not enforced before {@link #start}.
     *
     * @param bodyLength the length of the body in bytes, negative if it is not known
     */
    UploadDeadline(
            XnioIoThread ioThread, MonotonicClock clock, StreamConnection socket, long bodyLength) {
        this.ioThread = ioThread;
        this.clock = clock;
        this.socket = socket;
        progress =
                new UploadProgress(
                        Math.max(UploadProgress.UNKNOWN_LENGTH, bodyLength), clock.now());
    }

    /**
     * Starts to enforce the deadline.
     *
     * @param timeoutSeconds how long the client waits for the response after its last byte
     * @param onOverdue runs if the client has waited that long
     */
    void start(double timeoutSeconds, Runnable onOverdue) {
        this.timeoutSeconds = timeoutSeconds;
        this.onOverdue = onOverdue;
        schedule(timeoutSeconds);
    }

    /** Records that bytes of the body were read; 0 if none had arrived. */
    void read(int bytes, double now) {
        progress.read(bytes, now);
    }

    /** Returns the current time, for {@link #read}; to be taken before the bytes are read. */
    double now() {
        return clock.now();
    }

    /** Sets whether the proxy waits for the client to send more, so that no time counts. */
    void setAwaitingClient(boolean isAwaited) {
        if (awaitingClient && !isAwaited) {
            progress.read(0, clock.now());
        }
        awaitingClient = isAwaited;
    }

    /** Returns how many seconds are left until the deadline, as far as it is known now. */
    double secondsLeft() {
        double now = clock.now();
        double earliestEnd =
                awaitingClient ? now : progress.earliestEnd(receiveBufferBytes(socket), now);
        return earliestEnd + timeoutSeconds - now;
    }

    private void check() {
        double secondsLeft = secondsLeft();
        if (secondsLeft > 0) {
            schedule(secondsLeft);
        } else {
            timer = null;
            onOverdue.run();
        }
    }

    private void schedule(double seconds) {
        timer =
                ioThread.executeAfter(
                        this::check, Durations.toNanos(Math.max(0, seconds)), TimeUnit.NANOSECONDS);
    }

    /** Returns the size of the kernel's buffer; if it is not known, that of the longest body. */
    static long receiveBufferBytes(StreamConnection socket) {
        try {
            Integer bytes = socket.getOption(Options.RECEIVE_BUFFER);
            return bytes == null ? Integer.MAX_VALUE : bytes;
        } catch (IOException e) {
            return Integer.MAX_VALUE;
        }
    }

    /** Stops to enforce the deadline. */
    void stop() {
        if (timer != null) {
            timer.remove();
            timer = null;
        }
    }
}
