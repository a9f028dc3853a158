package lemondrift.proxy.backend;

import java.util.concurrent.TimeUnit;
import lemondrift.proxy.time.Durations;
import lemondrift.proxy.time.MonotonicClock;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The time limits of one call and the timers that enforce them. I/O thread only. */
final class CallTimeouts {
    private final XnioIoThread ioThread;
    private final MonotonicClock clock;
    private final double connectSeconds;
    private final double responseSeconds;
    private final double sendSeconds;
    private final double streamAfterSeconds;
    private Runnable onTimeout;
    private double startedAt;

    /** Null where it has not been started. */
    private XnioExecutor.Key connectTimer;

    /** Null where it has not been started. */
    private XnioExecutor.Key responseTimer;

    /** Null where it has not been started. */
    private XnioExecutor.Key streamTimer;

    /**
     * Limits whose timers do not run yet.
     *
     * @param connectSeconds how long connecting may take
     * @param responseSeconds how long the whole call may take; where its body is streamed, how long
     *     the response may take after the body's last byte
     * @param sendSeconds how long after the start a buffered request may still be written
     * @param streamAfterSeconds after how much of the time for the response one of unknown length
     *     is streamed; 0 or less for never
     */
    CallTimeouts(
            XnioIoThread ioThread,
            MonotonicClock clock,
            double connectSeconds,
            double responseSeconds,
            double sendSeconds,
            double streamAfterSeconds) {
        this.ioThread = ioThread;
        this.clock = clock;
        this.connectSeconds = connectSeconds;
        this.responseSeconds = responseSeconds;
        this.sendSeconds = sendSeconds;
        this.streamAfterSeconds = streamAfterSeconds;
    }

    /** The call starts: the time for its connect and, unless its body is streamed, its response. */
    void start(boolean streamsBody, boolean connecting, Runnable timeoutAction) {
        onTimeout = timeoutAction;
        startedAt = clock.now();
        if (!streamsBody) {
            responseTimer = startTimer(responseSeconds, onTimeout);
        }
        if (connecting) {
            connectTimer = startTimer(connectSeconds, onTimeout);
        }
    }

    /** The connection is established. */
    void connected() {
        connectTimer.remove();
    }

    /** The last byte of a streamed body is with the kernel: the response's time counts from now. */
    void bodyStreamed() {
        startedAt = clock.now();
        responseTimer = startTimer(responseSeconds, onTimeout);
    }

    /** The instant of the start, or at which the last byte of a streamed body had gone. */
    double startedAt() {
        return startedAt;
    }

    /** How much time is left for the response. */
    double secondsLeft() {
        return startedAt + responseSeconds - clock.now();
    }

    /** Whether the time has passed in which a buffered request may be written. */
    boolean isTooLateToSend() {
        return clock.now() >= startedAt + sendSeconds;
    }

    /** Runs the action, once, when a response of unknown length is to be streamed. */
    void scheduleStreaming(Runnable action) {
        if (streamAfterSeconds > 0 && streamTimer == null) {
            streamTimer = startTimer(startedAt + streamAfterSeconds - clock.now(), action);
        }
    }

    private XnioExecutor.Key startTimer(double seconds, Runnable action) {
        long nanos = Durations.toNanos(Math.max(0, seconds));
        return ioThread.executeAfter(action, nanos, TimeUnit.NANOSECONDS);
    }

    /** Stops all timers. */
    void stop() {
        remove(responseTimer);
        remove(connectTimer);
        remove(streamTimer);
    }

    private static void remove(XnioExecutor.Key timer) {
        if (timer != null) {
            timer.remove();
        }
    }
}
