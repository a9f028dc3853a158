package lemondrift.balancer;

import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;

/**
 * Estimates how long a request would wait at a backend before work on it begins, in seconds.
 *
 * <p>If load reports are fresh, the wait is the estimated utilization above 1, in requests, times
 * the service time. To the degree that a report has lost freshness, and unless gossip replaces it,
 * the mean wait that this proxy's attempts recently met is a lower bound. If reports are stale, the
 * wait is the one that this proxy's attempts meet now, by Little's law: attempts in flight divided
 * by attempts sent per second, minus the service time.
 */
final class WaitEstimator {
    /** The number of windows over which waits count if reports are stale. */
    private static final double STALE_WINDOWS = 2;

    /**
     * The least number of outcomes that the observed wait is a mean of, so that no single outcome
     * decides.
     */
    private static final double MIN_MEAN_OUTCOMES = 4;

    /** The number of attempts that the observed wait counts as, in addition to those in flight. */
    private static final double OBSERVED_ATTEMPTS = 8;

    /** Keeps the share of time since the first query above 0. */
    private static final double TINY_SHARE = 1e-9;

    /** This proxy's attempts per second. */
    final DecayingSum ownRate = new DecayingSum();

    private final BackendTable backends;
    private final UtilizationEstimator estimator;
    private final ServiceTimeEstimator serviceTimes;

    /** The mean wait that this proxy's attempts recently met, in seconds. */
    private final DecayingSum observedWait = new DecayingSum();

    /** This proxy's attempts in flight at all backends. */
    private double inFlight;

    /** When the wait of this proxy's attempts was first queried, in seconds; 0 before. */
    private double firstAskedAt;

    WaitEstimator(
            BackendTable backends,
            UtilizationEstimator estimator,
            ServiceTimeEstimator serviceTimes) {
        this.backends = backends;
        this.estimator = estimator;
        this.serviceTimes = serviceTimes;
        settingsChanged();
    }

    void settingsChanged() {
        ownRate.timeConstantSeconds = backends.memorySeconds;
        observedWait.timeConstantSeconds = backends.memorySeconds;
    }

    /** Returns the expected wait at a backend, in seconds. */
    double expectedWait(int backend, double now) {
        if (estimator.reportsAreStale()) {
            return expectedWaitFromAttempts(backend, now);
        }
        double observed =
                estimator.hasGossip(backend)
                        ? 0
                        : (1 - estimator.freshness(backend, now)) * observedWait.value(now);
        return Math.max(observed, expectedWaitFromUtilization(backend, now));
    }

    /** Returns the wait expected from a backend's estimated utilization alone, in seconds. */
    double expectedWaitFromUtilization(int backend, double now) {
        return Math.max(0, estimator.estimate(backend, now) - 1)
                / serviceTimes.utilizationPerRequest(backend, now)
                * serviceTimes.serviceTimeSeconds(backend, now);
    }

    /** Returns the wait that this proxy's attempts meet now, by Little's law, in seconds. */
    private double expectedWaitFromAttempts(int backend, double now) {
        firstAskedAt = firstAskedAt == 0 ? now : firstAskedAt;
        double elapsedShare = 1 - Math.exp((firstAskedAt - now) / backends.memorySeconds);
        double rate = ownRate.value(now) / (elapsedShare + TINY_SHARE);
        double serviceSeconds = serviceTimes.serviceTimeSeconds(backend, now);
        // Guards against one attempt in flight at a proxy with little traffic looking like a queue.
        return Math.max(
                0,
                (inFlight + OBSERVED_ATTEMPTS)
                                / (rate
                                        + OBSERVED_ATTEMPTS
                                                / (serviceSeconds + observedWait.value(now)))
                        - serviceSeconds);
    }

    /**
     * Counts sent attempts.
     *
     * @param attempts negative to take back attempts of a shadow that were not made
     */
    void attemptsSent(int attempts, double now) {
        inFlight += attempts;
        ownRate.add(attempts / backends.memorySeconds, now);
    }

    /**
     * Handles the end of an attempt of this proxy. Its wait counts if the attempt succeeded, timed
     * out, was rejected as overloaded or could not connect.
     */
    void attemptEnded(Attempt attempt, AttemptOutcome outcome, double durationSeconds, double now) {
        inFlight--;
        if (outcome == AttemptOutcome.SUCCESS
                || outcome == AttemptOutcome.TIMED_OUT
                || (outcome.neverExecuted && outcome != AttemptOutcome.NOT_SENT)) {
            double wait = measureWait(attempt.backend, outcome, durationSeconds, now);
            double recentSeconds = STALE_WINDOWS * backends.windowSeconds;
            // The wait decays faster if reports are stale, because then no report shows that an
            // overload is over.
            observedWait.timeConstantSeconds =
                    estimator.reportsAreStale() ? recentSeconds : backends.memorySeconds;
            observedWait.add(
                    (wait - observedWait.value(now))
                            / Math.max(MIN_MEAN_OUTCOMES, recentSeconds * ownRate.value(now)),
                    now);
        }
    }

    private double measureWait(
            int backend, AttemptOutcome outcome, double durationSeconds, double now) {
        if (outcome == AttemptOutcome.OVERLOADED) {
            return backends.windowSeconds;
        }
        if (outcome != AttemptOutcome.SUCCESS) {
            return durationSeconds;
        }
        return backends.settings.loadReports().inResponses() && !estimator.reportsAreStale()
                ? expectedWaitFromUtilization(backend, now)
                : Math.max(0, durationSeconds - serviceTimes.serviceTimeSeconds(backend, now));
    }
}
