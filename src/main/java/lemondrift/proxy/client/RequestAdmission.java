package lemondrift.proxy.client;

import java.util.Optional;
import lemondrift.connection.RequestQueue;
import lemondrift.model.FailureReason;
import lemondrift.model.Request;
import lemondrift.model.ShedThreshold;
import lemondrift.proxy.events.DecisionEvents;
import lemondrift.proxy.events.PendingRequest;
import lemondrift.proxy.time.MonotonicClock;

/**
 * Hands requests to the balancer as fast as it decides them. Requests that it can't decide in time
 * are held back here, or shed (503, WAIT_TOO_LONG) according to the balancer's threshold. Requests
 * that the balancer leaves open past their deadline are ended here (OVERDUE). Once it is closed,
 * all requests are rejected here (SHUTDOWN). I/O thread only.
 */
final class RequestAdmission {
    /** The Retry-After in seconds of a rejection that sends none. */
    private static final double NO_RETRY_AFTER = 0;

    private final RequestQueue<PendingRequest> requestQueue;
    private final DecisionEvents decisionEvents;
    private final ResponseWriter responseWriter;
    private final MonotonicClock clock;
    private Runnable beforeEachRequest = () -> {};
    private boolean closed;

    RequestAdmission(
            double latencyObjectiveSeconds,
            DecisionEvents decisionEvents,
            ResponseWriter responseWriter,
            MonotonicClock clock) {
        requestQueue = new RequestQueue<>(latencyObjectiveSeconds);
        this.decisionEvents = decisionEvents;
        this.responseWriter = responseWriter;
        this.clock = clock;
    }

    /** Sets a task that runs before each request is offered; must be set before listening. */
    void runBeforeEachRequest(Runnable task) {
        beforeEachRequest = task;
    }

    /** Sets the shortest latency objective of all request classes, in seconds. */
    void setLatencyObjective(double seconds) {
        requestQueue.setLatencyObjective(seconds);
    }

    /** Rejects all requests from now on, as the balancer decides no more. */
    void close() {
        closed = true;
    }

    /** Queues a request for the balancer, holds it back, or sheds it. */
    void offer(PendingRequest pending) {
        Request request = pending.request();
        if (closed) {
            request.failureReason = FailureReason.SHUTDOWN;
            responseWriter.reject(pending, NO_RETRY_AFTER);
            return;
        }
        beforeEachRequest.run();
        double decideBy =
                request.arrivedAt
                        + Math.min(
                                request.deadline - request.arrivedAt,
                                request.terms.requestClass().latencyObjectiveSeconds());
        if (requestQueue.tryReserve()) {
            decisionEvents.requestArrived(pending);
            return;
        }
        Optional<ShedThreshold> shed =
                requestQueue.isBacklogged()
                        ? decisionEvents.shedThreshold(
                                request.requestClassIndex, decideBy - clock.now())
                        : Optional.empty();
        if (shed.isPresent()) {
            request.failureReason = FailureReason.WAIT_TOO_LONG;
            responseWriter.reject(pending, shed.get().retryAfterSeconds());
        } else {
            requestQueue.holdBack(pending, decideBy);
        }
    }

    /**
     * Records that the balancer has decided requests, and hands it as many held-back requests as
     * the queue has room for.
     *
     * @param totalSeconds how long all these decisions took together
     */
    void requestsDecided(int requestCount, double totalSeconds) {
        requestQueue.requestsDecided(requestCount, totalSeconds);
        for (PendingRequest next = requestQueue.pollNext();
                next != null;
                next = requestQueue.pollNext()) {
            decisionEvents.requestArrived(next);
        }
    }

    /**
     * Ends a request that is past its deadline, whatever delays the balancer or the backend:
     * rejects it if a retry by the client is harmless, otherwise fails it. No attempt is sent
     * afterwards, and a streamed body is passed on no further. Does nothing if the client no longer
     * waits.
     */
    void endOverdue(PendingRequest pending) {
        if (!ClientCloseWatch.isClientWaiting(pending)) {
            return;
        }
        ClientConnection.of(pending.exchange()).stopBody();
        Request request = pending.request();
        request.failureReason =
                pending.streamedBody() == null || pending.mayHaveBeenExecuted()
                        ? FailureReason.OVERDUE
                        : FailureReason.BODY_NOT_TAKEN;
        if (isClientRetryHarmless(pending)) {
            responseWriter.reject(pending, NO_RETRY_AFTER);
        } else {
            responseWriter.fail(pending);
        }
        decisionEvents.requestAbandoned(request);
    }

    /**
     * Returns whether the client may safely send the request again. Judges by the attempts that
     * were sent, which this thread knows even while the decision thread is busy.
     */
    private static boolean isClientRetryHarmless(PendingRequest pending) {
        return !pending.mayHaveBeenExecuted()
                || pending.request().terms.requestClass().isClientRetryHarmless();
    }
}
