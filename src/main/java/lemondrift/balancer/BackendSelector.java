package lemondrift.balancer;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.Request;

/**
 * Chooses the backend of an attempt: the one with the lowest estimated utilization among the
 * eligible backends of the subset.
 *
 * <p>A backend in another zone is ranked lower by the cost of crossing zones, which weighs less the
 * higher the request's priority is. Ties are broken at random. If reports are stale, most backends
 * are tied; the range of the random tie-break is then wider, and failures that have not led to an
 * ejection count as well.
 *
 * <p>If the report of the best backend is not fresh and probes are allowed, the best backends are
 * probed first and the request waits, up to {@link #PROBE_WAIT_WINDOWS} of a window for each round.
 * A backend that leaves a probe unanswered for longer is not chosen until it answers.
 */
final class BackendSelector extends DecisionStage {
    /** The share of requests that become late if the utilization is higher by 1. */
    private static final double LATE_SHARE_PER_UTILIZATION = 0.5;

    /**
     * The cost of crossing zones is divided by at least the mean priority weight over this divisor.
     */
    private static final double MIN_WEIGHT_DIVISOR = 100;

    /** The range of the random tie-break if reports are fresh, in utilization. */
    private static final double TIE_WIDTH = 1e-6;

    /** The mean of the random tie-break if reports are stale, in requests. */
    private static final double STALE_TIE_REQUESTS = 0.125;

    /** A report with a freshness (0 to 1) above this is not renewed by a probe. */
    private static final double MIN_FRESHNESS = 0.6;

    /** How long to wait for the answer to a probe, in windows. */
    private static final double PROBE_WAIT_WINDOWS = 1.0 / 32;

    /**
     * The share of the subset that a request of priority 0 leaves free for higher priorities if the
     * best backend is cold.
     */
    private static final double RESERVED_SHARE = 0.25;

    private final BackendTable backends;
    private final UtilizationEstimator estimator;
    private final ServiceTimeEstimator serviceTimes;
    private final WaitEstimator waits;
    private final OutlierDetection outliers;
    private final SlowStart slowStart;
    private final DeterministicRandom random;
    private final BackendSubset subset;

    /** Requests that wait for probes, the longest-waiting one first. */
    private final Deque<Request> awaitingProbes = new ArrayDeque<>();

    BackendSelector(
            BackendTable backends,
            UtilizationEstimator estimator,
            ServiceTimeEstimator serviceTimes,
            WaitEstimator waits,
            OutlierDetection outliers,
            SlowStart slowStart,
            DeterministicRandom random) {
        this.backends = backends;
        this.estimator = estimator;
        this.serviceTimes = serviceTimes;
        this.waits = waits;
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.random = random;
        subset = new BackendSubset(backends, estimator, waits, random);
    }

    /**
     * Guards against a backend that answers no probe and therefore keeps looking as idle as in its
     * last report.
     */
    @Override
    boolean isBackendEligible(Request request, int backend, double now) {
        return (backends.probeSentAt[backend] == 0
                        || now - backends.probeSentAt[backend]
                                < PROBE_WAIT_WINDOWS * backends.windowSeconds)
                && super.isBackendEligible(request, backend, now);
    }

    /**
     * Sorts the subset, the best backend first, and sets the request's best backend: {@link
     * Request#NO_BACKEND} if no more backends are eligible than the request must leave free.
     */
    private void rankSubset(Request request, int size, double now) {
        double crossZoneCost = crossZoneCost(request);
        int[] order = backends.order;
        for (int next = 0; next < size; next++) {
            int backend = order[next];
            int position = next;
            backends.rankingScore[backend] =
                    computeRankingScore(request, backend, crossZoneCost, now);
            for (;
                    position > 0
                            && backends.rankingScore[order[position - 1]]
                                    > backends.rankingScore[backend];
                    position--) {
                order[position] = order[position - 1];
            }
            order[position] = backend;
        }
        boolean usable =
                size > 0
                        && backends.rankingScore[order[reservedBackendCount(request, size, now)]]
                                != Double.POSITIVE_INFINITY;
        request.bestBackend = usable ? order[0] : Request.NO_BACKEND;
    }

    /**
     * Returns the score that a backend is ranked by, in utilization; the lowest score is the best.
     * Infinite if the backend is not eligible for the request.
     */
    private double computeRankingScore(
            Request request, int backend, double crossZoneCost, double now) {
        if (!isBackendEligible(request, backend, now)) {
            return Double.POSITIVE_INFINITY;
        }
        boolean sameZone = backends.endpoint[backend].location() == backends.settings.location();
        return estimator.estimate(backend, now)
                + (sameZone ? 0 : crossZoneCost)
                + tieBreak(backend, now);
    }

    /** Returns the cost of crossing zones relative to the request's priority, in utilization. */
    private double crossZoneCost(Request request) {
        double meanWeight = backends.settings.priorityWeights().average().orElse(1);
        return backends.settings.costs().crossZone()
                / LATE_SHARE_PER_UTILIZATION
                * meanWeight
                / Math.max(
                        request.terms.requestClass().priorityWeight(),
                        meanWeight / MIN_WEIGHT_DIVISOR);
    }

    private double tieBreak(int backend, double now) {
        if (!estimator.reportsAreStale()) {
            return TIE_WIDTH * random.nextDouble();
        }
        return (1 - estimator.freshness(backend, now))
                * (outliers.penalty(backend, now)
                        - STALE_TIE_REQUESTS
                                * Math.log(1 - random.nextDouble())
                                * serviceTimes.utilizationPerRequest(backend, now));
    }

    /**
     * Returns how many eligible backends the request must leave free; 0 if the best backend is
     * warm. Guards against low priorities taking the last capacity of cold backends from high ones.
     */
    private int reservedBackendCount(Request request, int size, double now) {
        if (backends.warmShare(backends.order[0], now) == 1) {
            return 0;
        }
        double priority = backends.settings.relativePriority(request.terms.requestClass());
        return (int) (RESERVED_SHARE * size * (1 - priority));
    }

    /**
     * Ranks the subset for the request. If the best backend's report is not fresh and rounds of
     * probes are left, also probes the best backends and keeps the request until it is released by
     * {@link #pollReleased}.
     *
     * @return whether the request was kept
     */
    boolean rankAndProbe(Request request, double now, Decision decision) {
        if (request.probeRounds == 0) {
            subset.refresh(request, now, this);
        }
        int size = subset.size(now);
        rankSubset(request, size, now);
        if (request.probeRounds >= estimator.probeRounds()
                || request.bestBackend == Request.NO_BACKEND
                || estimator.freshness(request.bestBackend, now) > MIN_FRESHNESS) {
            return false;
        }
        request.probeRounds++;
        request.probedBackends =
                Arrays.copyOf(
                        backends.order, Math.min(UtilizationEstimator.PROBES_PER_ROUND, size));
        for (int backend : request.probedBackends) {
            if (backends.probeSentAt[backend] == 0
                    && estimator.freshness(backend, now) <= MIN_FRESHNESS
                    && isBackendEligible(request, backend, now)) {
                backends.probeSentAt[backend] = now;
                decision.probes.add(backend);
            }
        }
        request.probeWaitUntil = now + PROBE_WAIT_WINDOWS * backends.windowSeconds;
        return awaitingProbes.add(request);
    }

    /**
     * Draws backends from outside the subset for the request.
     *
     * @return whether any was found
     */
    boolean widenSubset(Request request, double now) {
        return subset.widen(request, now, this);
    }

    /**
     * Returns the shortest expected wait in the current subset, in seconds; infinite if no backend
     * is eligible for the request. An unanswered probe does not exclude a backend here, because the
     * caller may not have read the answer yet.
     */
    double minExpectedWait(Request request, double now) {
        return Arrays.stream(backends.order)
                .limit(subset.size(now))
                .filter(backend -> super.isBackendEligible(request, backend, now))
                .mapToDouble(backend -> waits.expectedWaitFromUtilization(backend, now))
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** Makes the attempt at the request's best backend. */
    @Override
    void offer(Request request, double now, Decision decision) {
        int backend = request.bestBackend;
        request.latestAttempt =
                new Attempt(
                        request,
                        backend,
                        now,
                        request.attemptDeadline - now,
                        Math.max(0, estimator.estimate(backend, now) - 1),
                        request.repeatableBefore());
        request.attemptCount++;
        request.attemptsInFlight++;
        request.probeRounds = 0;
        request.subsetRedraws = 0;
        decision.attempts.add(request.latestAttempt);
        adjustAttempts(backend, 1, now);
        slowStart.requestsSent(backend, 1, now);
    }

    /**
     * Adds attempts to those in flight at a backend.
     *
     * @param attempts negative to take back attempts of a shadow that were not made
     */
    void adjustAttempts(int backend, int attempts, double now) {
        estimator.attemptsSent(backend, attempts);
        waits.attemptsSent(attempts, now);
    }

    @Override
    void attemptEnded(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            double now,
            Decision decision) {
        boolean stale = estimator.reportsAreStale();
        // A stale report does not show how many requests were ahead; the report in the response
        // does.
        double queueAhead =
                stale ? estimator.reportedInFlight(attempt.backend) : attempt.queueAhead;
        estimator.attemptEnded(attempt.backend);
        serviceTimes.attemptEnded(outcome, durationSeconds, queueAhead, stale);
        waits.attemptEnded(attempt, outcome, durationSeconds, now);
        super.attemptEnded(attempt, outcome, durationSeconds, now, decision);
    }

    /**
     * Removes and returns a request that need not wait any longer, because its probes are answered,
     * it has waited long enough or it is completed; returns null if there is none.
     */
    Request pollReleased(double now) {
        Request released =
                awaitingProbes.stream()
                        .filter(
                                request ->
                                        request.completed
                                                || now >= request.probeWaitUntil
                                                || probesAnswered(request))
                        .findFirst()
                        .orElse(null);
        awaitingProbes.remove(released);
        return released;
    }

    private boolean probesAnswered(Request request) {
        return Arrays.stream(request.probedBackends)
                .allMatch(backend -> backends.probeSentAt[backend] == 0);
    }

    /**
     * Returns when the next request has waited long enough for its probes, in seconds; infinite if
     * no request waits.
     */
    double wakeAt() {
        return awaitingProbes.isEmpty()
                ? Double.POSITIVE_INFINITY
                : awaitingProbes.peek().probeWaitUntil;
    }
}
