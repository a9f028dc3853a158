package lemondrift.balancer;

import java.util.Arrays;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.Request;
import lemondrift.model.ServiceTime;

/**
 * Rule 4: how much a backend gets while it warms up.
 *
 * <p>A backend that has just started has the share of its capacity that {@link
 * BackendTable#warmShare} gives, rising from slowStartMinShare to 1 over slowStartSeconds. It must
 * not be given more than overloadFactor times that within overloadWindowSeconds (all of them
 * settings), by all proxies that use it together. So this proxy's part in one window is, in seconds
 * of a warm backend's work, overloadFactor times warmShare times overloadWindowSeconds divided by
 * the number of those proxies: half of it may go out at once, the other half over the window.
 *
 * <p>Each request thus drains after {@link #drainSeconds}, and another may be sent where what has
 * not drained, with it, drains within the window. The undrained work is counted in requests and
 * drains at the present pace, so that what is learnt of the service time holds for it at once.
 */
final class SlowStart extends DecisionStage {
    /** A probe's work as a share of a request's. */
    static final double PROBE_REQUESTS = 0.01;

    /** Over how many responses the service time is a mean. */
    private static final double MEAN_RESPONSES = 50;

    /** As how many own responses those of other proxies count at the most. */
    private static final double MAX_SEED_RESPONSES = 8;

    private final BackendTable backends;
    private final UtilizationEstimator estimator;
    private final DeterministicRandom random;

    /**
     * The mean response time of a warm backend, in seconds: it holds some waiting, so that as the
     * work of a request it is never too little.
     */
    private double responseSeconds;

    private double responses;

    /** What is supposed of the service time before there are responses, in seconds. */
    private double seedSeconds;

    /** As how many responses the seed counts. */
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

    /** Makes room for backends that were listed for the first time. */
    void ensureCapacity() {
        if (undrainedRequests.length < backends.size) {
            undrainedRequests = Arrays.copyOf(undrainedRequests, backends.size);
            undrainedAt = Arrays.copyOf(undrainedAt, backends.size);
        }
    }

    /**
     * A backend has started. Where one request takes longer than the window to drain, the first may
     * go at a random time within that: one request of each of hundreds of proxies at once would
     * spend the budget many times.
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

    /** Whether one more request drains within the window; always where the backend is warm. */
    private boolean hasBudget(int backend, double now) {
        return backends.warmShare(backend, now) == 1
                || updateUndrainedRequests(backend, now) == 0
                || (undrainedRequests[backend] + 1) * drainSeconds(backend, now)
                        <= backends.settings.rules().overloadWindowSeconds();
    }

    /** This proxy's requests that have not drained by now. */
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
     * How long one request takes to drain, in seconds, at half of this proxy's part of what the
     * backend bears.
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

    /** So many requests were sent there; a probe is a part of one. */
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
            // Guards against a proxy that has just started and knows responses of cold ones alone.
            double warmSeconds = durationSeconds * backends.warmShare(attempt.backend, now);
            responseSeconds +=
                    (warmSeconds - responseSeconds) / Math.min(MEAN_RESPONSES, ++responses);
        }
        super.attemptEnded(attempt, outcome, durationSeconds, now, decision);
    }

    /** What other proxies have measured; it counts until own responses outweigh it. */
    void seedServiceTime(double serviceSeconds, double samples) {
        seedSeconds = serviceSeconds;
        seedResponses = Math.min(samples, MAX_SEED_RESPONSES);
    }

    /** What this proxy has measured. */
    ServiceTime measuredServiceTime() {
        return new ServiceTime(responseSeconds, responses);
    }
}
