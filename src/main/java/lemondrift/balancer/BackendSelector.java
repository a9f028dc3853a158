package lemondrift.balancer;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.Request;

/**
 * Which backend an attempt goes to: the one of the subset with the lowest estimated utilization
 * among those that may take it.
 *
 * <p>A backend in another zone is ranked worse by the cost of crossing, which weighs less the
 * higher the request's priority. Ties break at random; where reports are stale most are ties, so
 * the draw is wider, and failures short of an ejection count.
 *
 * <p>Where the best backend's report is not fresh and probes are allowed, the best ones are probed
 * first and the request waits, up to {@link #PROBE_WAIT_WINDOWS} of a window for each round. A
 * backend whose probe is unanswered for longer is left out until it answers.
 */
final class BackendSelector extends DecisionStage {
    /** The share of requests that a utilization higher by 1 makes late. */
    private static final double LATE_SHARE_PER_UTILIZATION = 0.5;

    /** The mean priority weight over this is the least that crossing is weighed against. */
    private static final double MIN_WEIGHT_DIVISOR = 100;

    /** The width of a tie where reports are fresh, in utilization. */
    private static final double TIE_WIDTH = 1e-6;

    /** The width of a tie where reports are stale, in requests. */
    private static final double STALE_TIE_REQUESTS = 0.125;

    /** Above this freshness (0 to 1) a report is not renewed. */
    private static final double MIN_FRESHNESS = 0.6;

    /** How long a probe is waited for, in windows. */
    private static final double PROBE_WAIT_WINDOWS = 1.0 / 32;

    /** The share of the subset that is left free for higher priorities where the best is cold. */
    private static final double RESERVED_SHARE = 0.25;

    private final BackendTable backends;
    private final UtilizationEstimator estimator;
    private final ServiceTimeEstimator serviceTimes;
    private final WaitEstimator waits;
    private final OutlierDetection outliers;
    private final SlowStart slowStart;
    private final DeterministicRandom random;
    private final BackendSubset subset;

    /** Requests that wait for probes, the one that waits longest first. */
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

    /** Guards against a backend that answers no probe and so looks as idle as it last was. */
    @Override
    boolean isBackendEligible(Request request, int backend, double now) {
        return (backends.probeSentAt[backend] == 0
                        || now - backends.probeSentAt[backend]
                                < PROBE_WAIT_WINDOWS * backends.windowSeconds)
                && super.isBackendEligible(request, backend, now);
    }

    /** Sorts the subset, the best first, and sets the request's best backend. */
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
     * What a backend is ranked by, the lowest first, in utilization; infinite where it may not take
     * the request.
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

    /** The cost of crossing zones as a share of the request's priority, in utilization. */
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
     * How many usable backends the request must leave free. Guards against low priorities taking
     * the last capacity of cold backends from high ones.
     */
    private int reservedBackendCount(Request request, int size, double now) {
        if (backends.warmShare(backends.order[0], now) == 1) {
            return 0;
        }
        double priority = backends.settings.relativePriority(request.terms.requestClass());
        return (int) (RESERVED_SHARE * size * (1 - priority));
    }

    /**
     * Ranks the subset for the request; then probes the best backends and keeps the request, as
     * long as the best one's report is not fresh and rounds are left.
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

    /** Draws backends from outside the subset for the request; whether any was found. */
    boolean widenSubset(Request request, double now) {
        return subset.widen(request, now, this);
    }

    /**
     * The least wait to expect in the subset as it stands, in seconds; infinite where no backend
     * may take the request. Probes count as answered: who asks has not read their answers yet.
     */
    double minExpectedWait(Request request, double now) {
        return Arrays.stream(backends.order)
                .limit(subset.size(now))
                .filter(backend -> super.isBackendEligible(request, backend, now))
                .mapToDouble(backend -> waits.expectedWaitFromUtilization(backend, now))
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** Makes the attempt, at the request's best backend. */
    @Override
    void offer(Request request, double now, Decision decision) {
        int backend = request.bestBackend;
        request.latestAttempt =
                new Attempt(
                        request,
                        backend,
                        now,
                        request.attemptDeadline - now,
                        Math.max(0, estimator.estimate(backend, now) - 1));
        request.attemptCount++;
        request.attemptsInFlight++;
        request.probeRounds = 0;
        request.subsetRedraws = 0;
        decision.attempts.add(request.latestAttempt);
        adjustAttempts(backend, 1, now);
        slowStart.requestsSent(backend, 1, now);
    }

    /** So many attempts more are in flight there; fewer where a shadow's own was not made. */
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
        // A stale report is no measure of what was ahead; the response's own report is.
        double queueAhead =
                stale ? estimator.reportedInFlight(attempt.backend) : attempt.queueAhead;
        estimator.attemptEnded(attempt.backend);
        serviceTimes.attemptEnded(outcome, durationSeconds, queueAhead, stale);
        waits.attemptEnded(attempt, outcome, durationSeconds, now);
        super.attemptEnded(attempt, outcome, durationSeconds, now, decision);
    }

    /** Takes out a request whose probes are answered or that has waited long enough, or null. */
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

    /** When a request has waited long enough for its probes; infinite where none waits. */
    double wakeAt() {
        return awaitingProbes.isEmpty()
                ? Double.POSITIVE_INFINITY
                : awaitingProbes.peek().probeWaitUntil;
    }
}
