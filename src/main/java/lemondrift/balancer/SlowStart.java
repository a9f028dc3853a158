package lemondrift.balancer;

import java.util.Arrays;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.Request;
import lemondrift.model.ServiceTime;

/**
 * Rule 4: limits how many requests a backend receives while it warms up.
 *
 * <p>A backend that has just started has the share of its capacity that {@link
 * BackendTable#warmShare} returns, which rises from slowStartMinShare to 1 over slowStartSeconds.
 * All proxies that use the backend must together send it at most overloadFactor times that capacity
 * within overloadWindowSeconds (all of these are settings). This proxy's part in one window, its
 * budget, in seconds of a warm backend's work, is therefore overloadFactor times warmShare times
 * overloadWindowSeconds, divided by the number of those proxies. Half of it may be sent at once,
 * the other half over the window.
 *
 * <p>Each request therefore drains after {@link #drainSeconds}. Another request may be sent if it
 * drains within the window together with the requests that have not drained yet. The undrained work
 * is counted in requests and drains at the current rate, so that a new estimate of the service time
 * applies to it at once.
 */
final class SlowStart extends DecisionStage {
    /** The work of a probe as a share of the work of a request. */
    static final double PROBE_REQUESTS = 0.01;

    /** The number of responses that the mean service time is taken over. */
    private static final double MEAN_RESPONSES = 50;

    /**
     * The service time from other proxies counts as at most this many of this proxy's responses.
     */
    private static final double MAX_SEED_RESPONSES = 8;

    private final BackendTable backends;
    private final UtilizationEstimator estimator;
    private final DeterministicRandom random;

    /**
     * The mean response time of a warm backend, in seconds. It includes some waiting, so that it
     * never underestimates the work of a request.
     */
    private double responseSeconds;

    private double responses;

    /** The service time that is assumed before there are responses, in seconds. */
    private double seedSeconds;

    /** The number of responses that {@link #seedSeconds} counts as. */
    private double seedResponses = 1;

    /** By backend: this proxy's requests that had not drained at {@link #undrainedAt}. */
    private double[] undrainedRequests = {};

    private double[] undrainedAt = {};

    SlowStart(BackendTable backends, UtilizationEstimator estimator, DeterministicRandom random) {
        this.backends = backends;
        this.estimator = estimator;
        this.random = random;
        seedSeconds = backends.windowSeconds / 2;
    }

    /** Grows the arrays for newly listed backends. */
    void ensureCapacity() {
        if (undrainedRequests.length < backends.size) {
            undrainedRequests = Arrays.copyOf(undrainedRequests, backends.size);
            undrainedAt = Arrays.copyOf(undrainedAt, backends.size);
        }
    }

    /**
     * Handles the start of a backend. If one request takes longer than the window to drain, the
     * first request may be sent at a random time within its drain time: one request from each of
     * hundreds of proxies at once would use up the budget many times over.
     */
    void backendStarted(int backend, double now) {
        double windowShare =
                backends.settings.rules().overloadWindowSeconds() / drainSeconds(backend, now);
        undrainedRequests[backend] = random.nextDouble() * Math.max(0, 1 - windowShare);
        undrainedAt[backend] = now;
    }

    @Override
    boolean isBackendEligible(Request request, int backend, double now) {
        return hasBudget(backend, now) && super.isBackendEligible(request, backend, now);
    }

    /**
     * Returns whether the backend may receive one more request: if it is warm, if no earlier
     * request is undrained, or if the request drains within the window together with the undrained
     * ones.
     */
    private boolean hasBudget(int backend, double now) {
        return backends.warmShare(backend, now) == 1
                || updateUndrainedRequests(backend, now) == 0
                || (undrainedRequests[backend] + 1) * drainSeconds(backend, now)
                        <= backends.settings.rules().overloadWindowSeconds();
    }

    /** Updates and returns the number of this proxy's requests that have not drained by now. */
    private double updateUndrainedRequests(int backend, double now) {
        undrainedRequests[backend] =
                Math.max(
                        0,
                        undrainedRequests[backend]
                                - (now - undrainedAt[backend])
                                        / drainSeconds(backend, undrainedAt[backend]));
        undrainedAt[backend] = now;
        return undrainedRequests[backend];
    }

    /**
     * Returns how long one request takes to drain, in seconds, at half of this proxy's part of the
     * load that the backend can take.
     */
    private double drainSeconds(int backend, double now) {
        double sharingProxies =
                backends.settings.proxyCount()
                        * (estimator.hasGossip(backend)
                                ? backends.endpoint[backend].userShare()
                                : 1);
        double countedResponses = Math.min(responses, MEAN_RESPONSES);
        double serviceSeconds =
                (seedSeconds * seedResponses + responseSeconds * countedResponses)
                        / (seedResponses + countedResponses);
        return serviceSeconds
                * sharingProxies
                * 2
                / backends.settings.rules().overloadFactor()
                / backends.warmShare(backend, now);
    }

    /** Counts requests that were sent to a backend; a probe counts as a fraction of a request. */
    void requestsSent(int backend, double requests, double now) {
        undrainedRequests[backend] = updateUndrainedRequests(backend, now) + requests;
    }

    @Override
    void attemptEnded(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            double now,
            Decision decision) {
        if (outcome == AttemptOutcome.SUCCESS) {
            // Guards against a proxy that has just started and has seen only responses of cold
            // backends.
            double warmSeconds = durationSeconds * backends.warmShare(attempt.backend, now);
            responseSeconds +=
                    (warmSeconds - responseSeconds) / Math.min(MEAN_RESPONSES, ++responses);
        }
        super.attemptEnded(attempt, outcome, durationSeconds, now, decision);
    }

    /**
     * Sets the service time that other proxies have measured. It counts until this proxy's own
     * responses outweigh it.
     */
    void seedServiceTime(double serviceSeconds, double samples) {
        seedSeconds = serviceSeconds;
        seedResponses = Math.min(samples, MAX_SEED_RESPONSES);
    }

    /** Returns the service time that this proxy has measured. */
    ServiceTime measuredServiceTime() {
        return new ServiceTime(responseSeconds, responses);
    }
}
