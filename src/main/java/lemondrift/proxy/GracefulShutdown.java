package lemondrift.proxy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemondrift.proxy.client.ClientListener;
import lemondrift.proxy.loop.DecisionLoop;
import lemondrift.proxy.time.MonotonicClock;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * What the proxy does at SIGTERM, from the signal (0 s) on:
 *
 * <ol>
 *   <li>From 0 s: new clients are still accepted; each response closes its connection, and quiet
 *       connections are closed one by one.
 *   <li>From {@link #ACCEPT_SECONDS}: the listener closes as soon as no connection waits for a
 *       response, and the shutdown is done.
 *   <li>At the request deadline + {@link #RESPONSE_GRACE_SECONDS}: requests that are open still are
 *       rejected or failed. The request deadline is when the last request that may come now times
 *       out.
 *   <li>At the request deadline + {@link #READ_GRACE_SECONDS}: done, whatever is open.
 * </ol>
 *
 * <p>Runs on the thread that handles the signal, which it blocks; the checks run on the I/O thread.
 */
final class GracefulShutdown {
    /** Seconds in which new clients may still come, and in which quiet connections are closed. */
    private static final double ACCEPT_SECONDS = 0.55;

    /** Seconds from the request deadline until the last responses are written. */
    private static final double RESPONSE_GRACE_SECONDS = 0.5;

    /**
     * Seconds from the request deadline until clients have read them; a platform that kills 0.7 s
     * after the deadline comes later.
     */
    private static final double READ_GRACE_SECONDS = 0.6;

    /** Seconds between two checks whether all requests are answered. */
    private static final double CHECK_INTERVAL_SECONDS = 0.01;

    private final MonotonicClock clock;
    private final XnioIoThread ioThread;
    private final ClientListener clientListener;
    private final DecisionLoop decisionLoop;
    private final double acceptUntil;
    private final double responseDeadline;
    private final double readDeadline;

    /**
     * A shutdown that begins now.
     *
     * @param startedAt now, in seconds of the clock
     * @param requestDeadline when the last request that may come now times out
     */
    GracefulShutdown(
            MonotonicClock clock,
            XnioIoThread ioThread,
            ClientListener clientListener,
            DecisionLoop decisionLoop,
            double startedAt,
            double requestDeadline) {
        this.clock = clock;
        this.ioThread = ioThread;
        this.clientListener = clientListener;
        this.decisionLoop = decisionLoop;
        acceptUntil = startedAt + ACCEPT_SECONDS;
        responseDeadline = requestDeadline + RESPONSE_GRACE_SECONDS;
        readDeadline = requestDeadline + READ_GRACE_SECONDS;
    }

    /** Sends clients away; an inherited listening socket is left to the process that follows. */
    void begin() {
        clientListener.closeInheritedSocket();
        clientListener.drain(acceptUntil, responseDeadline);
    }

    /** Returns once all requests are answered, or at the latest at the last of the deadlines. */
    void awaitResponses() throws InterruptedException {
        CountDownLatch drained = new CountDownLatch(1);
        XnioExecutor.Key checks =
                ioThread.executeAtInterval(
                        () -> closeIfDrained(drained),
                        (long) (CHECK_INTERVAL_SECONDS * 1e9),
                        TimeUnit.NANOSECONDS);
        if (!await(drained, responseDeadline)) {
            decisionLoop.endOpenRequests();
            await(drained, readDeadline);
        }
        checks.remove();
    }

    /**
     * On the I/O thread. Guards against a request that is read between a check and a close
     * elsewhere, and lost.
     */
    private void closeIfDrained(CountDownLatch drained) {
        if (clock.now() >= acceptUntil && clientListener.isDrained()) {
            clientListener.close();
            drained.countDown();
        }
    }

    private boolean await(CountDownLatch latch, double deadline) throws InterruptedException {
        return latch.await(
                (long) (Math.max(0, deadline - clock.now()) * 1e9), TimeUnit.NANOSECONDS);
    }
}
