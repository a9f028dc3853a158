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

    /** Null until it is started. */
    private XnioExecutor.Key connectTimer;

    /** Null until it is started. */
    private XnioExecutor.Key responseTimer;

    /** Null until it is started. */
    private XnioExecutor.Key streamTimer;

    /**
     * Creates time limits whose timers do not run yet.
     *
     * @param connectSeconds how long connecting may take
     * @param responseSeconds how long the entire call may take; if the request's body is streamed,
     *     how long the response may take after the body's last byte
     * @param sendSeconds how long after the start a buffered request may still be written
     * @param streamAfterSeconds how long after {@link #startedAt} a response of unknown length is
     *     streamed; 0 or less for never
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

    /**
     * Starts the timers.
     *
     * @param streamsBody whether the request's body is streamed, so that the time for the response
     *     starts only with {@link #bodyStreamed}
     * @param connecting whether a connection has to be established first
     * @param timeoutAction runs when the time to connect or the time for the response is over
     */
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

    /** Stops the timer for connecting, as the connection is established. */
    void connected() {
        connectTimer.remove();
    }

    /**
     * Starts the time for the response, as the kernel has the last byte of a streamed body.
     *
     * @param maxSeconds how long the response may take at the most
     */
    void bodyStreamed(double maxSeconds) {
        startedAt = clock.now();
        responseTimer = startTimer(Math.min(responseSeconds, maxSeconds), onTimeout);
    }

    /**
     * Returns the time of the start or, if a body was streamed, the time at which its last byte was
     * written, in seconds of the clock.
     */
    double startedAt() {
        return startedAt;
    }

    /** Returns how many seconds are left for the response; negative if they are over. */
    double secondsLeft() {
        return startedAt + responseSeconds - clock.now();
    }

    /** Returns whether the time in which a buffered request may be written is over. */
    boolean isTooLateToSend() {
        return clock.now() >= startedAt + sendSeconds;
    }

    /**
     * Schedules an action for the time after which a response of unknown length is streamed. Does
     * nothing if an action has been scheduled before, or if such responses are never streamed.
     */
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
