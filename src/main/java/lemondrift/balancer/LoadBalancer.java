package lemondrift.balancer;

import java.util.List;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.FailureReason;
import lemondrift.model.Request;
import lemondrift.model.ServiceTime;
import lemondrift.model.Settings;
import lemondrift.model.ShedThreshold;

/**
 * The decisions of one proxy. It hears each event in order, with the time in seconds, and answers
 * with a {@link Decision} to be carried out before the next call, which reuses it. {@link #wake} is
 * to be called at {@link Decision#wakeAt} or after. Not thread-safe.
 */
public final class LoadBalancer {
    private final Decision decision = new Decision();
    private final BackendTable backends;
    private final ServiceTimeEstimator serviceTimes;
    private final UtilizationEstimator estimator;
    private final WaitEstimator waits;
    private final RequestDeadlines deadlines;
    private final AdmissionControl admission;
    private final OutlierDetection outliers;
    private final SlowStart slowStart;
    private final BackendSelector selector;
    private final EndpointListPolling polling;

    /**
     * @param seed of all randomness; each proxy needs its own, so that they do not act in step
     */
    public LoadBalancer(Settings settings, long seed) {
        DeterministicRandom random = new DeterministicRandom(seed);
        backends = new BackendTable(settings, random);
        serviceTimes = new ServiceTimeEstimator(backends);
        estimator = new UtilizationEstimator(backends, serviceTimes);
        waits = new WaitEstimator(backends, estimator, serviceTimes);
        deadlines = new RequestDeadlines(backends);
        outliers = new OutlierDetection(backends, random);
        slowStart = new SlowStart(backends, estimator, random);
        selector =
                new BackendSelector(
                        backends, estimator, serviceTimes, waits, outliers, slowStart, random);
        polling = new EndpointListPolling(settings, random);
        admission = new AdmissionControl(backends, estimator, serviceTimes, waits, selector);
        deadlines
                .then(admission)
                .then(new RetryPolicy(backends))
                .then(outliers)
                .then(slowStart)
                .then(new DrainCheck(backends))
                .then(selector);
    }

    /** A client's request has come; it keeps the terms of its class that hold now. */
    public Decision requestArrived(double now, Request request) {
        if (request.terms == null) {
            request.terms = backends.settings.termsFor(request.requestClassIndex);
        }
        return decide(now, () -> deadlines.requestArrived(request, now, decision));
    }

    /**
     * An attempt has ended, whether by its backend, its timeout or its cancellation.
     *
     * @param completed whether the client has its answer or has left
     * @param loadReport the fields of the report that came with the response; null where none did
     */
    public Decision attemptEnded(
            double now,
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            boolean completed,
            double[] loadReport) {
        attempt.ended = true;
        attempt.request.attemptsInFlight--;
        attempt.request.completed |= completed;
        estimator.loadReported(
                attempt.backend, loadReport, outcome == AttemptOutcome.SUCCESS, true, now);
        return decide(
                now, () -> selector.attemptEnded(attempt, outcome, durationSeconds, now, decision));
    }

    /** The first bytes of a response go to the client: it no longer ends at its deadline. */
    public Decision responseStarted(double now, Attempt attempt) {
        return decide(now, () -> attempt.request.responseStarted = true);
    }

    /**
     * An endpoint list or its last part has come.
     *
     * @param full whether backends that are not among the updates are no longer listed
     * @param stale whether the list may be out of date, so that it must be polled for
     */
    public Decision endpointsListed(
            double now, boolean full, boolean stale, List<EndpointUpdate> updates) {
        endpointsChanged(now, full, updates);
        polling.listReceived(stale, now);
        return wake(now);
    }

    /** A part of a list of which more comes; {@link #endpointsListed} ends it. */
    public void endpointsChanged(double now, boolean full, List<EndpointUpdate> updates) {
        backends.applyUpdates(full, updates);
        serviceTimes.ensureCapacity();
        estimator.ensureCapacity();
        outliers.ensureCapacity();
        slowStart.ensureCapacity();
        for (EndpointUpdate update : updates) {
            if (backends.consumeNewStart(update.backend())) {
                backendStarted(update.backend(), now);
            }
        }
    }

    private void backendStarted(int backend, double now) {
        slowStart.backendStarted(backend, now);
        outliers.resetBackend(backend);
        estimator.resetBackend(backend);
        serviceTimes.resetBackend(backend);
    }

    /** A call for the endpoint list has failed. */
    public Decision endpointListFailed(double now) {
        return decide(now, () -> polling.callFailed(now, decision));
    }

    /** A probe was answered, with a load report or null, or has failed. */
    public Decision probeEnded(
            double now, int backend, AttemptOutcome outcome, double[] loadReport) {
        backends.probeSentAt[backend] = 0;
        return decide(
                now,
                () ->
                        estimator.loadReported(
                                backend,
                                loadReport,
                                outcome == AttemptOutcome.SUCCESS,
                                false,
                                now));
    }

    /**
     * Other settings hold.
     *
     * @param reassigned the indexes at which another request class stands than before
     */
    public void settingsChanged(Settings settings, List<Integer> reassigned) {
        backends.settingsChanged(settings);
        waits.settingsChanged();
        deadlines.settingsChanged(reassigned);
        outliers.settingsChanged(reassigned);
    }

    /** How many requests the other proxies have in flight at a backend, as far as they tell. */
    public void peerLoadReported(int backend, int requests) {
        estimator.peerInFlight[backend] = requests;
    }

    /**
     * Whether other proxies are to tell what they have in flight; not where backends can be probed,
     * which says more.
     */
    public boolean needsGossip() {
        return estimator.probeRounds() == 0;
    }

    /** Whether any other proxy tells what it has in flight. */
    public void setGossipActive(boolean active) {
        estimator.gossipActive = active;
    }

    /** What other proxies have measured of the service time, from at least one response. */
    public void seedServiceTime(double seconds, double samples) {
        slowStart.seedServiceTime(seconds, samples);
    }

    /** The mean service time as this proxy has measured it. */
    public ServiceTime measuredServiceTime() {
        return slowStart.measuredServiceTime();
    }

    /**
     * For a shadow: attempts made at a backend by another's choice; negative to take its own back.
     */
    public void adjustAttempts(double now, int backend, int attempts) {
        selector.adjustAttempts(backend, attempts, now);
    }

    /** What would be rejected of a request class on arrival now; asking changes nothing. */
    public ShedThreshold shedThreshold(double now, int requestClass) {
        Request request = new Request(0, requestClass, 0, now, 0);
        request.terms = backends.settings.termsFor(requestClass);
        return admission
                .shedThreshold(request, now)
                .withMaxRetryAfter(backends.settings.limits().maxRetryAfterSeconds());
    }

    /** How many ready backends are not ejected; ejected for one request class alone counts. */
    public int usableBackendCount() {
        return outliers.notEjectedCount();
    }

    /** The client has gone; what is in flight for it is cancelled where that is allowed. */
    public Decision requestAbandoned(double now, Request request) {
        return decide(now, () -> deadlines.requestAbandoned(request, decision));
    }

    /** A request that is still open ends with a reply of the proxy's own, for this reason. */
    public Decision endRequest(double now, Request request, FailureReason reason) {
        return decide(now, () -> deadlines.replyLocally(request, reason, 0, decision));
    }

    /** The time asked for by {@link Decision#wakeAt} has come. */
    public Decision wake(double now) {
        return decide(
                now,
                () -> {
                    deadlines.wake(now, decision);
                    polling.wake(now, decision);
                });
    }

    private Decision decide(double now, Runnable event) {
        decision.clear();
        event.run();
        for (Request request = selector.pollReleased(now);
                request != null;
                request = selector.pollReleased(now)) {
            deadlines.offerAgain(request, now, decision);
        }
        decision.probes.forEach(
                backend -> slowStart.requestsSent(backend, SlowStart.PROBE_REQUESTS, now));
        decision.wakeAt = Math.min(deadlines.wakeAt(), Math.min(polling.pollAt, selector.wakeAt()));
        return decision;
    }
}
