package lemondrift.balancer;

import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;

/**
 * How long a request would wait at a backend before work on it begins, in seconds.
 *
 * <p>Where load reports are fresh, it is the estimated utilization above 1, in requests, times the
 * service time. As far as the report has lost freshness and no gossip stands in for it, the mean
 * wait that own attempts met lately counts at least. Where reports are stale, it is the wait that
 * own attempts meet now, by Little's law: those in flight divided by those sent a second, less the
 * service time.
 */
final class WaitEstimator {
    /** Over how many windows waits count where reports are stale. */
    private static final double STALE_WINDOWS = 2;

    /** The least number of outcomes over which the observed wait is a mean: none decides alone. */
    private static final double MIN_MEAN_OUTCOMES = 4;

    /** As how many attempts the observed wait counts beside those in flight. */
    private static final double OBSERVED_ATTEMPTS = 8;

    /** Keeps the share of time since the first question above 0. */
    private static final double TINY_SHARE = 1e-9;

    /** Own attempts a second. */
    final DecayingSum ownRate = new DecayingSum();

    private final BackendTable backends;
    private final UtilizationEstimator estimator;
    private final ServiceTimeEstimator serviceTimes;

    /** The mean wait that own attempts met lately, in seconds. */
    private final DecayingSum observedWait = new DecayingSum();

    /** Own attempts in flight at all backends. */
    private double inFlight;

    /** When the wait of own attempts was first asked for, in seconds; 0 before. */
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

    /** The wait to expect at a backend. */
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

    /** The wait to expect by a backend's estimated utilization alone. */
    double expectedWaitFromUtilization(int backend, double now) {
        return Math.max(0, estimator.estimate(backend, now) - 1)
                / serviceTimes.utilizationPerRequest(backend, now)
                * serviceTimes.serviceTimeSeconds(backend, now);
    }

    /** The wait that own attempts meet now, by Little's law. */
    private double expectedWaitFromAttempts(int backend, double now) {
        firstAskedAt = firstAskedAt == 0 ? now : firstAskedAt;
        double elapsedShare = 1 - Math.exp((firstAskedAt - now) / backends.memorySeconds);
        double rate = ownRate.value(now) / (elapsedShare + TINY_SHARE);
        double serviceSeconds = serviceTimes.serviceTimeSeconds(backend, now);
        // Guards against one attempt in flight at a proxy with little traffic that looks like a
        // jam.
        return Math.max(
                0,
                (inFlight + OBSERVED_ATTEMPTS)
                                / (rate
                                        + OBSERVED_ATTEMPTS
                                                / (serviceSeconds + observedWait.value(now)))
                        - serviceSeconds);
    }

    /** So many attempts more were sent; fewer where a shadow's own was not made. */
    void attemptsSent(int attempts, double now) {
        inFlight += attempts;
        ownRate.add(attempts / backends.memorySeconds, now);
    }

    /** An own attempt has ended; what it met counts where the backend was reached or refused. */
    void attemptEnded(Attempt attempt, AttemptOutcome outcome, double durationSeconds, double now) {
        inFlight--;
        if (outcome == AttemptOutcome.SUCCESS
                || outcome == AttemptOutcome.TIMED_OUT
                || (outcome.neverExecuted && outcome != AttemptOutcome.NOT_SENT)) {
            double wait = measureWait(attempt.backend, outcome, durationSeconds, now);
            double recentSeconds = STALE_WINDOWS * backends.windowSeconds;
            // It fades sooner where no report shows that a jam is over.
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
