package lemondrift.balancer;

import java.util.Arrays;
import lemondrift.model.AttemptOutcome;

/**
 * Estimates how long a backend works on one request, and therefore by how much one request raises
 * its utilization.
 *
 * <p>If load reports contain a request rate, the service time is utilization divided by requests
 * per second, as a mean over all backends and for each backend alone. If they contain none, the
 * service time is derived from this proxy's own attempts: the time of quick responses gives the
 * utilization that a request adds, and the time per request estimated to be ahead gives how long a
 * request waits.
 */
final class ServiceTimeEstimator {
    /** The service time of a single backend is limited to between half and twice the usual one. */
    private static final double MAX_RATIO = 2;

    /** Before anything is measured, the service time is the window divided by this. */
    private static final double INITIAL_WINDOW_DIVISOR = 16;

    /** The first quick response time is at least the window divided by this. */
    private static final double MIN_WINDOW_DIVISOR = 1000;

    /** The smallest upward step of the quick response time, as a share of it. */
    private static final double MIN_STEP = 0.02;

    /**
     * How many upward steps balance one downward step: the quick response time settles at the lower
     * quartile.
     */
    private static final double DOWN_STEP_FACTOR = 3;

    /** The number of outcomes or reports that a mean is taken over. */
    private static final double MEAN_OUTCOMES = 8;

    /**
     * The number of outcomes that a mean is taken over if reports are stale, and the number of
     * reports for the mean over all backends.
     */
    private static final double LONG_MEAN_OUTCOMES = MEAN_OUTCOMES * MEAN_OUTCOMES;

    private final BackendTable backends;

    /** The quick response time: the lower quartile of the response times, in seconds. */
    private double quickResponseSeconds;

    /** The number of this proxy's attempts that succeeded or timed out. */
    private double outcomeCount;

    /**
     * The mean duration of an attempt divided by the number of requests ahead of it plus itself, in
     * seconds.
     */
    private double secondsPerQueuedRequest;

    /**
     * The mean service time from the reports of all backends, in seconds; 0 if reports contain no
     * request rate.
     */
    private double reportedSeconds;

    /** By backend: the service time from its reports, in seconds; 0 if there is none. */
    private double[] backendSeconds = {};

    ServiceTimeEstimator(BackendTable backends) {
        this.backends = backends;
        quickResponseSeconds = backends.windowSeconds / INITIAL_WINDOW_DIVISOR;
        secondsPerQueuedRequest = quickResponseSeconds;
        reportedSeconds =
                backends.settings.loadReports().requestRateField() < 0 ? 0 : quickResponseSeconds;
    }

    /** Grows the arrays for newly listed backends. */
    void ensureCapacity() {
        if (backendSeconds.length < backends.size) {
            backendSeconds = Arrays.copyOf(backendSeconds, backends.size);
        }
    }

    /** Discards the service time of a backend that has restarted. */
    void resetBackend(int backend) {
        backendSeconds[backend] = 0;
    }

    /**
     * Updates the service times from a new load report.
     *
     * @param requestsPerSecond 0 if the report does not contain it
     */
    void loadReported(int backend, double utilization, double requestsPerSecond) {
        double seconds = utilization / requestsPerSecond;
        if (seconds > 0 && seconds < backends.windowSeconds) {
            reportedSeconds += utilization * (seconds - reportedSeconds) / LONG_MEAN_OUTCOMES;
            backendSeconds[backend] +=
                    (seconds - backendSeconds[backend])
                            * (backendSeconds[backend] == 0 ? 1 : 2.0 / MEAN_OUTCOMES);
        }
    }

    /**
     * Updates the service times from an ended attempt of this proxy. Timed-out attempts count too:
     * if all backends become slow, only the quickest attempts succeed.
     *
     * @param queueAhead how many requests were ahead of the attempt at the backend
     * @param staleReports whether load reports are already old when they arrive
     */
    void attemptEnded(
            AttemptOutcome outcome,
            double durationSeconds,
            double queueAhead,
            boolean staleReports) {
        boolean succeeded = outcome == AttemptOutcome.SUCCESS;
        if (succeeded || outcome == AttemptOutcome.TIMED_OUT) {
            secondsPerQueuedRequest +=
                    (durationSeconds / (1 + queueAhead) - secondsPerQueuedRequest)
                            / Math.min(
                                    ++outcomeCount,
                                    staleReports ? LONG_MEAN_OUTCOMES : MEAN_OUTCOMES);
        }
        if (succeeded) {
            double step = Math.max(MIN_STEP, 1 / (3 + outcomeCount));
            quickResponseSeconds =
                    outcomeCount == 1
                            ? Math.max(durationSeconds, backends.windowSeconds / MIN_WINDOW_DIVISOR)
                            : quickResponseSeconds
                                    * (durationSeconds < quickResponseSeconds
                                            ? 1 - DOWN_STEP_FACTOR * step
                                            : 1 + step);
        }
    }

    /**
     * Returns how long one request takes at a backend, in seconds; more while the backend warms up.
     */
    double serviceTimeSeconds(int backend, double now) {
        return (reportedSeconds > 0 ? reportedSeconds : secondsPerQueuedRequest)
                / backends.warmShare(backend, now);
    }

    /**
     * Returns the utilization that one request adds at a backend over a window if all proxies send
     * at the same rate. It is limited to 1, a whole window, before it is scaled up for a slow or
     * cold backend or down for a fast one.
     */
    double utilizationPerRequest(int backend, double now) {
        double usualSeconds = reportedSeconds > 0 ? reportedSeconds : quickResponseSeconds;
        double ratio =
                backendSeconds[backend] > 0
                        ? backendSeconds[backend] / usualSeconds
                        : backends.meanWeight / backends.endpoint[backend].weight();
        return Math.min(
                        1,
                        quickResponseSeconds
                                * backends.settings.proxyCount()
                                / backends.windowSeconds)
                * Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, ratio))
                / backends.warmShare(backend, now);
    }
}
