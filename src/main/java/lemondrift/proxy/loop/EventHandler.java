package lemondrift.proxy.loop;

import java.util.OptionalInt;
import lemondrift.balancer.LoadBalancer;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Request;
import lemondrift.proxy.discovery.BackendDirectory;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.events.PendingRequest;
import lemondrift.proxy.time.MonotonicClock;

/**
 * Handles events about requests and backends: passes each to gossip, the shadow and the balancer,
 * and has the balancer's decision executed. Decision thread only.
 */
final class EventHandler {
    private final LoadBalancer balancer;
    private final BackendDirectory directory;
    private final MonotonicClock clock;
    private final PeerExchange peers;
    private final ShadowRunner shadow;
    private final DecisionExecutor executor;

    /** How many requests arrived in this iteration. */
    private int arrivedCount;

    EventHandler(
            LoadBalancer balancer,
            BackendDirectory directory,
            MonotonicClock clock,
            PeerExchange peers,
            ShadowRunner shadow,
            DecisionExecutor executor) {
        this.balancer = balancer;
        this.directory = directory;
        this.clock = clock;
        this.peers = peers;
        this.shadow = shadow;
        this.executor = executor;
    }

    /** Opens a request. The balancer sends it to a backend, lets it wait, or rejects it. */
    void requestArrived(PendingRequest pending) {
        arrivedCount++;
        executor.requestOpened(pending);
        shadow.requestArrived(pending.request());
        executor.execute(balancer.requestArrived(clock.now(), pending.request()));
    }

    /** Returns how many requests have arrived since the last call, and resets the count. */
    int getAndResetArrivedCount() {
        int count = arrivedCount;
        arrivedCount = 0;
        return count;
    }

    /**
     * Delivers the response if the attempt is the first of its request to succeed. Any other
     * outcome may lead to a retry or end the request.
     */
    void attemptEnded(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            double[] loadReport,
            BackendResponse response) {
        boolean firstSuccess = executor.deliverOrDiscard(attempt, outcome, response);
        peers.attemptEnded(attempt.backend, outcome);
        boolean requestCompleted = firstSuccess || attempt.request.completed;
        shadow.attemptEnded(attempt, outcome, durationSeconds, requestCompleted, loadReport);
        executor.execute(
                balancer.attemptEnded(
                        clock.now(),
                        attempt,
                        outcome,
                        durationSeconds,
                        requestCompleted,
                        loadReport));
    }

    /**
     * Ends the attempts and probes that were not sent because of an error. Guards against attempts
     * that stay in flight forever and backends that look busy forever.
     */
    void endUnsentAttemptsAndProbes() {
        for (Attempt attempt = executor.pollUnsentAttempt();
                attempt != null;
                attempt = executor.pollUnsentAttempt()) {
            attemptEnded(attempt, AttemptOutcome.NOT_SENT, 0, null, null);
            executor.releaseIfFinished(attempt.request);
        }
        for (OptionalInt backend = executor.pollUnsentProbe();
                backend.isPresent();
                backend = executor.pollUnsentProbe()) {
            probeEnded(backend.getAsInt(), AttemptOutcome.NOT_SENT, null);
        }
    }

    void probeEnded(int backend, AttemptOutcome outcome, double[] loadReport) {
        directory.release(backend);
        shadow.probeEnded(backend, outcome, loadReport);
        executor.execute(balancer.probeEnded(clock.now(), backend, outcome, loadReport));
    }

    void requestAbandoned(Request request) {
        shadow.requestAbandoned(request);
        if (!request.completed) {
            executor.execute(balancer.requestAbandoned(clock.now(), request));
        }
    }

    /** Allows the request no further attempts. */
    void bodyNotReplayable(Request request) {
        request.terms = request.terms.withMaxAttempts(request.attemptCount);
    }

    void endpointListFailed() {
        executor.execute(balancer.endpointListFailed(clock.now()));
    }

    void wakeTimeReached() {
        executor.execute(balancer.wake(clock.now()));
    }
}
