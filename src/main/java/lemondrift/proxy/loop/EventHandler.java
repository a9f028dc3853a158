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
 * What each event about a request or a backend does: it goes to gossip, to the shadow and to the
 * balancer, and what the balancer decides is carried out. Decisions thread only.
 */
final class EventHandler {
    private final LoadBalancer balancer;
    private final BackendDirectory directory;
    private final MonotonicClock clock;
    private final PeerExchange peers;
    private final ShadowRunner shadow;
    private final DecisionExecutor executor;

    /** Requests that arrived in this iteration. */
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

    /** The request is open from now on; the balancer decides where it goes, or rejects it. */
    void requestArrived(PendingRequest pending) {
        arrivedCount++;
        executor.requestOpened(pending);
        shadow.requestArrived(pending.request());
        executor.execute(balancer.requestArrived(clock.now(), pending.request()));
    }

    /** How many requests have arrived since the last call. */
    int getAndResetArrivedCount() {
        int count = arrivedCount;
        arrivedCount = 0;
        return count;
    }

    /** The first success goes to the client; any other outcome may lead to a retry or a failure. */
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
     * Ends what an error kept from being sent. Guards against attempts that stay in flight for good
     * and backends that look busy for as long.
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

    /** Allows the request no more attempts than it has had. */
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
