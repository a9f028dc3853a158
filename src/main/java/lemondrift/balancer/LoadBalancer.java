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
 * Makes the decisions of one proxy. The caller passes each event in order, with the time in
 * seconds, and carries out the returned {@link Decision} before the next call, which reuses the
 * object. It must call {@link #wake} at {@link Decision#wakeAt} or later. Not thread-safe.
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
     * Creates a load balancer that knows no backends yet.
     *
     * @param seed the seed of all randomness; each proxy needs its own, so that proxies do not make
     *     the same random choices at the same time
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

    /**
     * Handles a new request of a client. A request without terms gets the current terms of its
     * class and keeps them until it ends.
     */
    public Decision requestArrived(double now, Request request) {
        if (request.terms == null) {
            request.terms = backends.settings.termsFor(request.requestClassIndex);
        }
        return decide(now, () -> deadlines.requestArrived(request, now, decision));
    }

    /**
     * Handles the end of an attempt, whether it was caused by the backend, the attempt's timeout or
     * a cancellation.
     *
     * @param completed whether the client has its answer or has left
     * @param loadReport the fields of the load report that came with the response; null if there
     *     was none
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

    /**
     * Handles the start of a response to the client: from now on the request does not expire at its
     * deadline.
     */
    public Decision responseStarted(double now, Attempt attempt) {
        return decide(now, () -> attempt.request.responseStarted = true);
    }

    /**
     * Handles an endpoint list, or the last part of one.
     *
     * @param full whether backends that are not among the updates are no longer listed
     * @param stale whether the list may be out of date, so that it must be polled
     */
    public Decision endpointListCompleted(
            double now, boolean full, boolean stale, List<EndpointUpdate> updates) {
        applyEndpointUpdates(now, full, updates);
        polling.listReceived(stale, now);
        return wake(now);
    }

    /**
     * Handles a part of an endpoint list that is followed by further parts. The last part is passed
     * to {@link #endpointListCompleted}.
     */
    public void applyEndpointUpdates(double now, boolean full, List<EndpointUpdate> updates) {
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

    /** Handles a failed call for the endpoint list. */
    public Decision endpointListFailed(double now) {
        return decide(now, () -> polling.callFailed(now, decision));
    }

    /**
     * Handles the answer to a probe or its failure.
     *
     * @param loadReport the fields of the load report; null if there was none
     */
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
     * Replaces the settings.
     *
     * @param reassigned the indexes that now stand for another request class than before
     */
    public void settingsChanged(Settings settings, List<Integer> reassigned) {
        backends.settingsChanged(settings);
        waits.settingsChanged();
        deadlines.settingsChanged(reassigned);
        outliers.settingsChanged(reassigned);
    }

    /**
     * Sets how many requests the other proxies have in flight at a backend, as far as they report
     * it.
     */
    public void peerLoadReported(int backend, int requests) {
        estimator.peerInFlight[backend] = requests;
    }

    /**
     * Returns whether the other proxies should report their requests in flight. If backends can be
     * probed, this is not needed, because a load report contains more information.
     */
    public boolean needsGossip() {
        return estimator.probeRounds() == 0;
    }

    /** Sets whether any other proxy currently reports its requests in flight. */
    public void setGossipActive(boolean active) {
        estimator.gossipActive = active;
    }

    /**
     * Sets the service time that other proxies have measured. It is used until this proxy's own
     * responses outweigh it.
     *
     * @param seconds the mean service time
     * @param samples the number of responses that it was measured from; at least 1
     */
    public void seedServiceTime(double seconds, double samples) {
        slowStart.seedServiceTime(seconds, samples);
    }

    /** Returns the mean service time that this proxy has measured. */
    public ServiceTime measuredServiceTime() {
        return slowStart.measuredServiceTime();
    }

    /**
     * Adjusts the attempts in flight at a backend. For a shadow, whose own attempts are not sent.
     *
     * @param attempts the number of attempts that were made there because another balancer decided
     *     so; negative to take back attempts of the shadow
     */
    public void adjustAttempts(double now, int backend, int attempts) {
        selector.adjustAttempts(backend, attempts, now);
    }

    /**
     * Returns the threshold below which requests of a class would be rejected if they arrived now.
     * Does not affect later decisions.
     */
    public ShedThreshold shedThreshold(double now, int requestClass) {
        Request request = new Request(0, requestClass, 0, now, 0);
        request.terms = backends.settings.termsFor(requestClass);
        return admission
                .shedThreshold(request, now)
                .withMaxRetryAfter(backends.settings.limits().maxRetryAfterSeconds());
    }

    /**
     * Returns the number of ready backends that are not ejected. A backend that is ejected only for
     * a single request class counts as usable.
     */
    public int usableBackendCount() {
        return outliers.notEjectedCount();
    }

    /**
     * Handles a client that has left: cancels the attempts in flight for its request if that is
     * allowed.
     */
    public Decision requestAbandoned(double now, Request request) {
        return decide(now, () -> deadlines.requestAbandoned(request, decision));
    }

    /**
     * Ends a request with a local reply for the given reason. Does nothing if the request has
     * already ended.
     */
    public Decision endRequest(double now, Request request, FailureReason reason) {
        return decide(now, () -> deadlines.replyLocally(request, reason, 0, decision));
    }

    /** Handles everything that is due at the time asked for by {@link Decision#wakeAt}. */
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
