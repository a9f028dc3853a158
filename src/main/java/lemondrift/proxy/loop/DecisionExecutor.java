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
 * Carries out decisions: turns them into actions of the I/O thread, and owns the open requests and
 * the time at which the balancer wants to be woken. {@link #eventFailed} is what happens when a
 * decision throws. Decisions thread only.
 */
final class DecisionExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(DecisionExecutor.class);

    /**
     * Seconds after a failed event at which the balancer is woken at the latest, as the wake time
     * it wanted may be lost.
     */
    private static final double WAKE_AFTER_FAILURE_SECONDS = 1;

    private final LoadBalancer balancer;
    private final BackendDirectory directory;
    private final MonotonicClock clock;
    private final ProxyActions actions;
    private final PeerExchange peers;
    private final ShadowRunner shadow;
    private final Map<Request, PendingRequest> openRequests = new HashMap<>();

    /** Not sent because of an error, the earliest first. */
    private final Queue<Attempt> unsentAttempts = new ArrayDeque<>();

    /** The backends of probes that were not sent because of an error. */
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

    /** When the balancer wants to be woken, as of its last decision. */
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
     * Cancellations first, then attempts, local replies, probes, calls for the endpoint list and
     * log lines.
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
        // A backend that becomes usable or unusable without a list comes with a log message.
        if (!decision.logMessages.isEmpty()) {
            reportBackendCount();
        }
        wakeAt = decision.wakeAt;
    }

    /** Guards against a failed send that keeps the rest of the decision from being carried out. */
    private void send(Attempt attempt) {
        directory.retain(attempt.backend);
        peers.attemptSent(attempt.backend);
        try {
            actions.send(
                    attempt, openRequests.get(attempt.request), directory.address(attempt.backend));
        } catch (RuntimeException e) {
            // Wide, as whatever it is, the attempt has not been sent.
            LOG.error("attempt at backend {} not handed to the I/O thread", attempt.backend, e);
            unsentAttempts.add(attempt);
        }
    }

    /** Guards as {@link #send} does, and against a backend that waits for its report for good. */
    private void probe(int backend) {
        directory.retain(backend);
        try {
            actions.probe(backend, directory.address(backend));
        } catch (RuntimeException e) {
            // Wide, as whatever it is, the probe has not been sent.
            LOG.error("probe of backend {} not handed to the I/O thread", backend, e);
            unsentProbes.add(backend);
        }
    }

    /** Takes out an attempt that was not sent, and of which the balancer has not heard; or null. */
    Attempt pollUnsentAttempt() {
        return unsentAttempts.poll();
    }

    /** Takes out a backend whose probe was not sent, and of which the balancer has not heard. */
    OptionalInt pollUnsentProbe() {
        return unsentProbes.isEmpty() ? OptionalInt.empty() : OptionalInt.of(unsentProbes.remove());
    }

    /**
     * Delivers the response of the first attempt that succeeds, and discards what follows of any
     * other.
     *
     * @param response null where none came
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
     * What happens when a decision, or carrying it out, throws: the error is logged with its event
     * and request, the request ends at once unless it is completed, the balancer and the shadow
     * forget it, and the balancer is woken within a second.
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

    /** Ends a request as the balancer says, or as failed where the balancer throws again. */
    private void endAfterError(Request request) {
        try {
            execute(balancer.endRequest(clock.now(), request, FailureReason.INTERNAL_ERROR));
        } catch (RuntimeException | Error e) {
            // Wide, as a request has to be answered whatever state an error has left.
            LOG.error("request {} not ended by the balancer", request.id, e);
            request.failureReason = FailureReason.INTERNAL_ERROR;
            request.completed = true;
            fail(request);
        }
    }

    /** Ends all open requests at the end of the process. */
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
     * Forgets a request that is completed and has no attempt in flight, and releases its backends.
     */
    void releaseIfFinished(Request request) {
        if (request.completed
                && request.attemptsInFlight == 0
                && openRequests.remove(request) != null) {
            // Guards against the index of an earlier attempt's backend that passes on: retries go
            // by it.
            for (Attempt attempt = request.latestAttempt;
                    attempt != null;
                    attempt = attempt.previous) {
                directory.release(attempt.backend);
            }
        }
    }

    /** Has the metrics count how many backends are listed, and how many of them are not usable. */
    void reportBackendCount() {
        actions.updateBackendCounts(
                directory.listedCount(), directory.listedCount() - balancer.usableBackendCount());
    }
}
