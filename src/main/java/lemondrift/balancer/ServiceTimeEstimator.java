package lemondrift.balancer;

import java.util.Arrays;
import lemondrift.model.AttemptOutcome;

/**
 * How long a backend works on one request, and so by how much one request raises its utilization.
 *
 * <p>Where load reports carry a request rate, the service time is utilization divided by requests a
 * second, as a mean over all backends and for each alone. Where they carry none, it is taken from
 * the proxy's own attempts: their quick responses for what a request adds, and the time for each
 * request thought to be ahead for how long one waits.
 */
final class ServiceTimeEstimator {
    /** A single backend's service time is taken as half to twice the usual one. */
    private static final double MAX_RATIO = 2;

    /** A service time is taken as the window over this before anything is measured. */
    private static final double INITIAL_WINDOW_DIVISOR = 16;

    /** The first quick response time is taken as the window over this at the least. */
    private static final double MIN_WINDOW_DIVISOR = 1000;

    /** The least step of the quick response time upward, as a share of it. */
    private static final double MIN_STEP = 0.02;

    /** How many steps up balance one step down: it settles at the lower quartile. */
    private static final double DOWN_STEP_FACTOR = 3;

    /** Over how many outcomes or reports a mean is taken. */
    private static final double MEAN_OUTCOMES = 8;

    /** The same where reports are stale, or for the mean over all backends. */
    private static final double LONG_MEAN_OUTCOMES = MEAN_OUTCOMES * MEAN_OUTCOMES;

    private final BackendTable backends;

    /** A quick response's time, the lower quartile, in seconds. */
    private double quickResponseSeconds;

    /** Own attempts that succeeded or timed out. */
    private double outcomeCount;

    /** How long an attempt takes for each request ahead of it and itself, in seconds. */
    private double secondsPerQueuedRequest;

    /** The mean service time of the backends' reports, in seconds; 0 where they carry no rate. */
    private double reportedSeconds;

    /** By backend: its reported service time in seconds; 0 where there is none. */
    private double[] backendSeconds = {};

    ServiceTimeEstimator(BackendTable backends) {
        this.backends = backends;
        quickResponseSeconds = backends.windowSeconds / INITIAL_WINDOW_DIVISOR;
        secondsPerQueuedRequest = quickResponseSeconds;
        reportedSeconds =
                backends.settings.loadReports().requestRateField() < 0 ? 0 : quickResponseSeconds;
    }

    /** Makes room for backends that were listed for the first time. */
    void ensureCapacity() {
        if (backendSeconds.length < backends.size) {
            backendSeconds = Arrays.copyOf(backendSeconds, backends.size);
        }
    }

    /** The backend has started anew. */
    void resetBackend(int backend) {
        backendSeconds[backend] = 0;
    }

    /**
     * A new load report.
     *
     * @param requestsPerSecond 0 where the report does not say
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
     * An own attempt has ended. Time-outs count too: where all backends turn slow, only the
     * quickest attempts succeed.
     *
     * @param queueAhead how many requests were ahead of it at the backend
     * @param staleReports whether load reports are old when they come
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

    /** How long one request takes at a backend, in seconds; more while it warms up. */
    double serviceTimeSeconds(int backend, double now) {
        return (reportedSeconds > 0 ? reportedSeconds : secondsPerQueuedRequest)
                / backends.warmShare(backend, now);
    }

    /**
     * The utilization that one request adds at a backend over a window if all proxies send alike;
     * at most a whole window's. More at a slow or cold backend, less at a fast one.
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
