package lemondrift.proxy.loop;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Queue;
import lemondrift.balancer.LoadBalancer;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.FailureReason;
import lemondrift.model.Request;
import lemondrift.proxy.discovery.BackendDirectory;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.events.PendingRequest;
import lemondrift.proxy.events.ProxyActions;
import lemondrift.proxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes decisions: turns them into actions of the I/O thread. Owns the open requests and the
 * time at which the balancer is to be woken. {@link #eventFailed} handles an exception thrown while
 * an event is handled. Decision thread only.
 */
final class DecisionExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(DecisionExecutor.class);

    /**
     * Longest time, in seconds, until the balancer is woken after a failed event. Guards against a
     * lost wake time: the decision that set it may have failed.
     */
    private static final double WAKE_AFTER_FAILURE_SECONDS = 1;

    private final LoadBalancer balancer;
    private final BackendDirectory directory;
    private final MonotonicClock clock;
    private final ProxyActions actions;
    private final PeerExchange peers;
    private final ShadowRunner shadow;
    private final Map<Request, PendingRequest> openRequests = new HashMap<>();

    /** Attempts that were not sent because of an error, in the order of the failures. */
    private final Queue<Attempt> unsentAttempts = new ArrayDeque<>();

    /**
     * Backends of the probes that were not sent because of an error, in the order of the failures.
     */
    private final Queue<Integer> unsentProbes = new ArrayDeque<>();

    private double wakeAt = Double.POSITIVE_INFINITY;

    DecisionExecutor(
            LoadBalancer balancer,
            BackendDirectory directory,
            MonotonicClock clock,
            ProxyActions actions,
            PeerExchange peers,
            ShadowRunner shadow) {
        this.balancer = balancer;
        this.directory = directory;
        this.clock = clock;
        this.actions = actions;
        this.peers = peers;
        this.shadow = shadow;
    }

    /**
     * Returns when the balancer is to be woken, as of its last decision, in seconds of the proxy's
     * clock; infinity if not at all.
     */
    double wakeAt() {
        return wakeAt;
    }

    int openRequestCount() {
        return openRequests.size();
    }

    boolean hasOpenRequestOf(int requestClass) {
        return openRequests.keySet().stream()
                .anyMatch(request -> request.requestClassIndex == requestClass);
    }

    void requestOpened(PendingRequest pending) {
        openRequests.put(pending.request(), pending);
    }

    /**
     * Executes a decision: first cancellations, then attempts, local replies, probes, calls for the
     * endpoint list and log messages.
     */
    void execute(Decision decision) {
        shadow.decisionMade(decision);
        decision.cancellations.forEach(actions::cancel);
        for (Attempt attempt : decision.attempts) {
            send(attempt);
        }
        for (Decision.LocalReply reply : decision.localReplies) {
            if (reply.rejected()) {
                reject(reply.request(), reply.retryAfterSeconds());
            } else {
                fail(reply.request());
            }
            releaseIfFinished(reply.request());
        }
        decision.probes.forEach(this::probe);
        decision.endpointListCalls.forEach(actions::requestEndpointList);
        decision.logMessages.forEach(LOG::info);
        // The balancer logs a message when a backend becomes usable or unusable without an endpoint
        // list.
        if (!decision.logMessages.isEmpty()) {
            reportBackendCount();
        }
        wakeAt = decision.wakeAt;
    }

    /**
     * Sends an attempt. Guards against a failed send that keeps the rest of the decision from being
     * executed.
     */
    private void send(Attempt attempt) {
        directory.retain(attempt.backend);
        peers.attemptSent(attempt.backend);
        try {
            actions.send(
                    attempt, openRequests.get(attempt.request), directory.address(attempt.backend));
        } catch (RuntimeException e) {
            // Catches every runtime exception: whatever the cause, the attempt has not been sent.
            LOG.error("attempt at backend {} not handed to the I/O thread", attempt.backend, e);
            unsentAttempts.add(attempt);
        }
    }

    /**
     * Sends a probe. Guards against a failed probe that keeps the rest of the decision from being
     * executed, and against a balancer that waits forever for the load report of the backend.
     */
    private void probe(int backend) {
        directory.retain(backend);
        try {
            actions.probe(backend, directory.address(backend));
        } catch (RuntimeException e) {
            // Catches every runtime exception: whatever the cause, the probe has not been sent.
            LOG.error("probe of backend {} not handed to the I/O thread", backend, e);
            unsentProbes.add(backend);
        }
    }

    /**
     * Removes and returns an attempt that was not sent and whose end was not yet reported to the
     * balancer; null if there is none.
     */
    Attempt pollUnsentAttempt() {
        return unsentAttempts.poll();
    }

    /**
     * Removes and returns the backend of a probe that was not sent and whose end was not yet
     * reported to the balancer; empty if there is none.
     */
    OptionalInt pollUnsentProbe() {
        return unsentProbes.isEmpty() ? OptionalInt.empty() : OptionalInt.of(unsentProbes.remove());
    }

    /**
     * Delivers the response of the first attempt of a request that succeeds, and discards the
     * remainder of any other response.
     *
     * @param response null if the attempt ended without a response
     * @return whether this attempt is the first of its request to succeed
     */
    boolean deliverOrDiscard(Attempt attempt, AttemptOutcome outcome, BackendResponse response) {
        boolean firstSuccess = outcome == AttemptOutcome.SUCCESS && !attempt.request.completed;
        PendingRequest pending = openRequests.get(attempt.request);
        if (firstSuccess && pending != null) {
            actions.deliver(pending, response);
        } else if (response != null && response.remainder() != null) {
            actions.discard(response);
        }
        return firstSuccess;
    }

    /**
     * Handles an error that was thrown while an event was handled or its decision was executed.
     * Logs the error with its event and request. If the event is about a request that is not
     * completed, ends that request in the balancer and the shadow. Has the balancer woken within a
     * second.
     */
    void eventFailed(Event event, Throwable cause) {
        Request request = event.request();
        if (request == null) {
            LOG.error("decision event {} failed", event.type(), cause);
        } else {
            LOG.error("decision event {} of request {} failed", event.type(), request.id, cause);
        }
        if (request != null && !request.completed) {
            endAfterError(request);
            shadow.requestAbandoned(request);
        }
        wakeAt = Math.min(wakeAt, clock.now() + WAKE_AFTER_FAILURE_SECONDS);
    }

    /** Ends a request as the balancer decides, or as failed if the balancer throws again. */
    private void endAfterError(Request request) {
        try {
            execute(balancer.endRequest(clock.now(), request, FailureReason.INTERNAL_ERROR));
        } catch (RuntimeException | Error e) {
            // Catches every exception and error: a request must be answered whatever state the
            // first error has left behind.
            LOG.error("request {} not ended by the balancer", request.id, e);
            request.failureReason = FailureReason.INTERNAL_ERROR;
            request.completed = true;
            fail(request);
        }
    }

    /**
     * Ends all open requests, as the balancer decides for each. Called at the end of the process.
     */
    void endOpenRequests() {
        for (Request request : List.copyOf(openRequests.keySet())) {
            execute(balancer.endRequest(clock.now(), request, FailureReason.SHUTDOWN));
        }
    }

    private void reject(Request request, double retryAfterSeconds) {
        PendingRequest pending = openRequests.get(request);
        if (pending != null) {
            actions.reject(pending, retryAfterSeconds);
        }
    }

    private void fail(Request request) {
        PendingRequest pending = openRequests.get(request);
        if (pending != null) {
            actions.fail(pending);
        }
    }

    /**
     * Removes a request from the open requests and releases the backends of its attempts, if the
     * request is completed and has no attempt in flight. Otherwise does nothing.
     */
    void releaseIfFinished(Request request) {
        if (request.completed
                && request.attemptsInFlight == 0
                && openRequests.remove(request) != null) {
            // Releases the backends of all attempts only now, because retries refer to the backends
            // of earlier attempts by index. Guards against an index that is reassigned to another
            // backend before.
            for (Attempt attempt = request.latestAttempt;
                    attempt != null;
                    attempt = attempt.previous) {
                directory.release(attempt.backend);
            }
        }
    }

    /** Reports to the metrics how many backends are listed and how many of them are not usable. */
    void reportBackendCount() {
        actions.updateBackendCounts(
                directory.listedCount(), directory.listedCount() - balancer.usableBackendCount());
    }
}
