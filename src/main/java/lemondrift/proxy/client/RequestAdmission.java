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
 * Hands requests to the balancer as fast as it decides them. What can't be decided in time is held
 * back here, or shed (503, WAIT_TOO_LONG) by the balancer's threshold; what the balancer leaves
 * open past its deadline is ended here (OVERDUE). I/O thread only.
 */
final class RequestAdmission {
    /** A rejection whose response has no Retry-After. */
    private static final double NO_RETRY_AFTER = 0;

    private final RequestQueue<PendingRequest> requestQueue;
    private final DecisionEvents decisionEvents;
    private final ResponseWriter responses;
    private final MonotonicClock clock;
    private Runnable beforeEachRequest = () -> {};

    RequestAdmission(
            double latencyObjectiveSeconds,
            DecisionEvents decisionEvents,
            ResponseWriter responses,
            MonotonicClock clock) {
        requestQueue = new RequestQueue<>(latencyObjectiveSeconds);
        this.decisionEvents = decisionEvents;
        this.responses = responses;
        this.clock = clock;
    }

    /** What is to be done before a request is decided; set before listening. */
    void runBeforeEachRequest(Runnable task) {
        beforeEachRequest = task;
    }

    /** The shortest latency objective of all request classes from now on. */
    void setLatencyObjective(double seconds) {
        requestQueue.setLatencyObjective(seconds);
    }

    /** Queues a request for the balancer, holds it back, or sheds it. */
    void offer(PendingRequest pending) {
        beforeEachRequest.run();
        Request request = pending.request();
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
            responses.reject(pending, shed.get().retryAfterSeconds());
        } else {
            requestQueue.holdBack(pending, decideBy);
        }
    }

    /** The balancer decided so many requests in so many seconds, and has room for more. */
    void requestsDecided(int requestCount, double totalSeconds) {
        requestQueue.requestsDecided(requestCount, totalSeconds);
        for (PendingRequest next = requestQueue.pollNext();
                next != null;
                next = requestQueue.pollNext()) {
            decisionEvents.requestArrived(next);
        }
    }

    /**
     * Ends a request that is past its deadline, whatever keeps the balancer: as rejected where a
     * retry of the client is harmless, else as failed. No attempt is sent after that.
     */
    void endOverdue(PendingRequest pending) {
        if (!ClientCloseWatch.isClientWaiting(pending)) {
            return;
        }
        Request request = pending.request();
        request.failureReason = FailureReason.OVERDUE;
        if (isClientRetryHarmless(pending)) {
            responses.reject(pending, NO_RETRY_AFTER);
        } else {
            responses.fail(pending);
        }
        decisionEvents.requestAbandoned(request);
    }

    /** By what was sent, which this thread knows whatever the decisions are busy with. */
    private static boolean isClientRetryHarmless(PendingRequest pending) {
        return !pending.mayHaveBeenExecuted()
                || pending.request().terms.requestClass().isClientRetryHarmless();
    }
}
