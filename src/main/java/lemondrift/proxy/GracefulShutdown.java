package lemondrift.proxy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemondrift.proxy.client.ClientListener;
import lemondrift.proxy.loop.DecisionLoop;
import lemondrift.proxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Shuts the proxy down at SIGTERM. Times count from the signal (0 s):
 *
 * <ol>
 *   <li>From 0 s: new clients are still accepted, except on an inherited listening socket, which is
 *       left to the new process at once. Each response closes its connection, and idle connections
 *       are closed one by one.
 *   <li>From {@link #ACCEPT_SECONDS}: as soon as no connection is open, except those that were sent
 *       their closing response and had enough time to read it, the listener closes and the shutdown
 *       is complete.
 *   <li>At the request deadline + {@link #RESPONSE_GRACE_SECONDS}: requests that are still open are
 *       rejected or failed. The request deadline is the time at which a request that arrives at the
 *       signal times out at the latest.
 *   <li>At the request deadline + {@link #READ_GRACE_SECONDS}: the service ends. The listener
 *       closes, and so does every connection on which no response is being sent.
 *   <li>Until the drain timeout: responses that have begun are sent to their end, as they have no
 *       deadline of their own; the client connections' timeouts end those that make no progress.
 *       The shutdown is complete as soon as none is left.
 * </ol>
 *
 * <p>Blocks the thread that handles the signal. The checks run on the I/O thread.
 */
final class GracefulShutdown {
    private static final Logger LOG = LoggerFactory.getLogger(GracefulShutdown.class);

    /** Seconds during which new clients are accepted and idle connections are closed. */
    private static final double ACCEPT_SECONDS = 0.55;

    /** Seconds from the request deadline by which the last responses are written. */
    private static final double RESPONSE_GRACE_SECONDS = 0.5;

    /**
     * Seconds from the request deadline by which clients have read the last responses. Shorter than
     * the 0.7 s after the deadline at which a platform may kill the process.
     */
    private static final double READ_GRACE_SECONDS = 0.6;

    /** Seconds between checks whether all requests are answered. */
    private static final double CHECK_INTERVAL_SECONDS = 0.01;

    private final MonotonicClock clock;
    private final XnioIoThread ioThread;
    private final ClientListener clientListener;
    private final DecisionLoop decisionLoop;
    private final double acceptUntil;
    private final double responseDeadline;
    private final double readDeadline;
    private final double drainDeadline;
    private final CountDownLatch drained = new CountDownLatch(1);

    /**
     * Creates a shutdown.
     *
     * @param startedAt the start of the shutdown, in seconds of the clock
     * @param requestDeadline the time at which the last request that arrives until the start times
     *     out, in seconds of the clock
     * @param drainTimeoutSeconds how long after the start responses may still be sent
     */
    GracefulShutdown(
            MonotonicClock clock,
            XnioIoThread ioThread,
            ClientListener clientListener,
            DecisionLoop decisionLoop,
            double startedAt,
            double requestDeadline,
            double drainTimeoutSeconds) {
        this.clock = clock;
        this.ioThread = ioThread;
        this.clientListener = clientListener;
        this.decisionLoop = decisionLoop;
        acceptUntil = startedAt + ACCEPT_SECONDS;
        responseDeadline = requestDeadline + RESPONSE_GRACE_SECONDS;
        readDeadline = requestDeadline + READ_GRACE_SECONDS;
        drainDeadline = Math.max(readDeadline, startedAt + drainTimeoutSeconds);
    }

    /**
     * Starts to drain client connections. Leaves an inherited listening socket to the new process.
     */
    void begin() {
        clientListener.stopAcceptingOnInheritedSocket();
        clientListener.drain(acceptUntil, responseDeadline);
    }

    /**
     * Returns once all requests are answered, or at the last deadline.
     *
     * @param onServiceEnded runs if responses are still being sent when no more requests are served
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    void awaitResponses(Runnable onServiceEnded) throws InterruptedException {
        XnioExecutor.Key checks =
                ioThread.executeAtInterval(
                        this::closeIfDrained,
                        (long) (CHECK_INTERVAL_SECONDS * 1e9),
                        TimeUnit.NANOSECONDS);
        if (!await(drained, responseDeadline)) {
            decisionLoop.endOpenRequests();
            if (!await(drained, readDeadline) && drainDeadline > readDeadline) {
                awaitLongResponses(onServiceEnded);
            }
        }
        checks.remove();
    }

    private void awaitLongResponses(Runnable onServiceEnded) throws InterruptedException {
        CountDownLatch serviceEnded = new CountDownLatch(1);
        ioThread.execute(() -> endService(serviceEnded));
        if (await(serviceEnded, drainDeadline) && drained.getCount() > 0) {
            onServiceEnded.run();
            if (!await(drained, drainDeadline)) {
                LOG.warn("drain timeout, responses cut off: {}", clientListener.sendingCount());
            }
        }
    }

    private void endService(CountDownLatch serviceEnded) {
        int sending = clientListener.endService();
        if (sending == 0) {
            drained.countDown();
        } else {
            LOG.info("no more requests are served, responses still being sent: {}", sending);
        }
        serviceEnded.countDown();
    }

    /**
     * Checks and closes in one step on the I/O thread. Guards against losing a request that is read
     * between a check and a close on another thread.
     */
    private void closeIfDrained() {
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
