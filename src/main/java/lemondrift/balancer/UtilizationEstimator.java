package lemondrift.balancer;

import java.util.Arrays;
import lemondrift.model.Settings;

/**
 * Estimates the utilization of each backend, by which the selector chooses (Salem, Wong and
 * Bochmann, "Least Utilization"): the utilization of the last load report, plus the number of
 * requests that this proxy has sent there since then times the utilization that one request adds. A
 * backend with utilization 1 is busy all the time, and each waiting request adds to that.
 *
 * <p>A report loses freshness with age: freshness is 1 when the report arrives and then decays
 * exponentially towards 0. To the degree that the report has lost freshness, the mean of the recent
 * reports replaces it, and the attempts in flight replace the attempts sent since the report. If
 * other proxies gossip about their requests in flight, these count like this proxy's own attempts.
 *
 * <p>Reports are called stale if the backends renew them so rarely that they are old when they
 * arrive. This is detected from reports that repeat the previous one.
 */
final class UtilizationEstimator {
    /** How many backends are probed in one round. */
    static final int PROBES_PER_ROUND = 3;

    /** How many rounds of probes one attempt may wait for. */
    static final int MAX_PROBE_ROUNDS = 4;

    /** The time constant with which a renewable report loses freshness, in windows. */
    private static final double FRESHNESS_WINDOWS = 0.125;

    /** The highest cost of the probes for one request, as a share of a request. */
    private static final double MAX_PROBE_COST = 0.03;

    /** The number of repeated reports over which the repeat time rises. */
    private static final double REPEATS_TO_RISE = 8;

    /** The number of new reports over which the repeat time falls. */
    private static final double REPORTS_TO_FALL = 4;

    /** The mean load before there are reports; it counts as one report. */
    private static final double INITIAL_MEAN_LOAD = 0.5;

    /** Whether other proxies report their requests in flight. */
    boolean gossipActive;

    /** By backend: the requests that other proxies have in flight there. */
    double[] peerInFlight = {};

    private final BackendTable backends;
    private final ServiceTimeEstimator serviceTimes;

    /** How long backends repeat the same report, in seconds. */
    private double repeatSeconds;

    /** The sum of the loads in recent reports; {@link #recentReports} is their number. */
    private final DecayingSum recentLoad = new DecayingSum();

    private final DecayingSum recentReports = new DecayingSum();

    /**
     * By backend: the load in the last report, which is the reported utilization plus the
     * utilization that the reported requests in flight add.
     */
    private double[] reportedLoad = {};

    /** By backend: the utilization of the last report alone; 1 after a failed attempt. */
    private double[] reportedUtilization = {};

    /** By backend: the requests in flight according to the last report. */
    private double[] reportedInFlight = {};

    /** By backend: when the last report arrived, in seconds; 0 if there was none. */
    private double[] reportedAt = {};

    /** By backend: this proxy's attempts sent since the last report. */
    private double[] sentSinceReport = {};

    UtilizationEstimator(BackendTable backends, ServiceTimeEstimator serviceTimes) {
        this.backends = backends;
        this.serviceTimes = serviceTimes;
    }

    /** Grows the arrays for newly listed backends. */
    void ensureCapacity() {
        if (reportedAt.length == backends.size) {
            return;
        }
        reportedLoad = Arrays.copyOf(reportedLoad, backends.size);
        reportedUtilization = Arrays.copyOf(reportedUtilization, backends.size);
        reportedInFlight = Arrays.copyOf(reportedInFlight, backends.size);
        reportedAt = Arrays.copyOf(reportedAt, backends.size);
        sentSinceReport = Arrays.copyOf(sentSinceReport, backends.size);
        peerInFlight = Arrays.copyOf(peerInFlight, backends.size);
    }

    /** Discards the state of a backend that has restarted. */
    void resetBackend(int backend) {
        reportedAt[backend] = 0;
        sentSinceReport[backend] = 0;
        peerInFlight[backend] = 0;
    }

    /**
     * Returns how many rounds of probes an attempt may wait for; 0 if reports are stale or a probe
     * is not worth its cost.
     */
    int probeRounds() {
        return reportsAreStale()
                ? 0
                : (int)
                        Math.min(
                                MAX_PROBE_ROUNDS,
                                MAX_PROBE_COST / PROBES_PER_ROUND / backends.settings.probeCost());
    }

    /**
     * Returns whether backends renew their reports so rarely that the reports are old when they
     * arrive.
     */
    boolean reportsAreStale() {
        return repeatSeconds > FRESHNESS_WINDOWS * backends.windowSeconds;
    }

    /**
     * Returns the time constant with which a report loses freshness, in seconds. It is longer if
     * backends cannot be probed, because a report must then count until the next one arrives.
     */
    private double freshnessSeconds() {
        return reportsAreStale() || probeRounds() > 0
                ? FRESHNESS_WINDOWS * backends.windowSeconds
                : backends.memorySeconds;
    }

    /**
     * Returns how much the last report of a backend still counts: 1 when it arrives, 0 if there is
     * none.
     */
    double freshness(int backend, double now) {
        return reportedAt[backend] == 0
                ? 0
                : Math.exp((reportedAt[backend] - now) / freshnessSeconds());
    }

    /**
     * Handles a load report. Ignores a report that is missing, negative or not a number.
     *
     * @param succeeded whether the attempt or probe that the report came with succeeded
     * @param withAttempt whether the report came with the response to an attempt, not to a probe
     */
    void loadReported(
            int backend, double[] loadReport, boolean succeeded, boolean withAttempt, double now) {
        Settings.LoadReports fields = backends.settings.loadReports();
        double utilization =
                Settings.LoadReports.fieldOrZero(loadReport, fields.utilizationField());
        // Guards against an idle backend that looks busy because its report counts the request just
        // answered.
        double answeredRequests =
                fields.countsAnsweredRequest() && withAttempt && succeeded ? 1 : 0;
        double inFlight =
                Math.max(
                        0,
                        Settings.LoadReports.fieldOrZero(loadReport, fields.inFlightField())
                                - answeredRequests);
        if (loadReport == null || !(utilization + inFlight >= 0)) {
            return;
        }
        // Guards against herding: a repeated report contains nothing new, so the attempts sent
        // since the first one still count.
        if (isRepeated(backend, utilization, inFlight, succeeded)) {
            repeatSeconds +=
                    Math.max(0, now - reportedAt[backend] - repeatSeconds) / REPEATS_TO_RISE;
            return;
        }
        if (reportedAt[backend] > 0 && succeeded) {
            repeatSeconds -=
                    Math.max(0, repeatSeconds - now + reportedAt[backend]) / REPORTS_TO_FALL;
        }
        serviceTimes.loadReported(
                backend,
                utilization,
                Settings.LoadReports.fieldOrZero(loadReport, fields.requestRateField()));
        storeReport(backend, utilization, inFlight, succeeded, now);
    }

    private boolean isRepeated(
            int backend, double utilization, double inFlight, boolean succeeded) {
        return reportedAt[backend] > 0
                && succeeded
                && utilization > 0
                && utilization == reportedUtilization[backend]
                && inFlight == reportedInFlight[backend];
    }

    private void storeReport(
            int backend, double utilization, double inFlight, boolean succeeded, double now) {
        double load = utilization + inFlight * serviceTimes.utilizationPerRequest(backend, now);
        reportedUtilization[backend] = succeeded ? utilization : 1;
        reportedInFlight[backend] = inFlight;
        // Guards against a backend that fails fast, reports the lowest load and attracts all
        // requests.
        reportedLoad[backend] = succeeded ? load : Math.max(load, meanReportedLoad(now));
        reportedAt[backend] = now;
        sentSinceReport[backend] = 0;
        recentLoad.timeConstantSeconds = freshnessSeconds();
        recentReports.timeConstantSeconds = recentLoad.timeConstantSeconds;
        recentLoad.add(load, now);
        recentReports.add(1, now);
    }

    private double meanReportedLoad(double now) {
        return (INITIAL_MEAN_LOAD + recentLoad.value(now)) / (1 + recentReports.value(now));
    }

    /** Returns the requests in flight according to a backend's last report. */
    double reportedInFlight(int backend) {
        return reportedInFlight[backend];
    }

    /** Returns whether other proxies report their requests in flight at a backend. */
    boolean hasGossip(int backend) {
        return gossipActive && backends.endpoint[backend].userShare() > 0;
    }

    /**
     * Returns the estimated utilization of a backend; at 1 and above the backend is busy all the
     * time.
     */
    double estimate(int backend, double now) {
        double freshness = freshness(backend, now);
        double mean = meanReportedLoad(now);
        double base;
        double requests;
        if (gossipActive) {
            // Gossip counts the requests in flight, so the report adds only the requests beyond
            // that count.
            requests =
                    Math.max(
                            backends.inFlight[backend] + peerInFlight[backend],
                            freshness * (reportedInFlight[backend] + sentSinceReport[backend]));
            mean = Math.min(1, mean);
            base = mean + freshness * (reportedUtilization[backend] - mean);
        } else {
            requests =
                    freshness * sentSinceReport[backend]
                            + (1 - freshness) * backends.inFlight[backend];
            base = mean + freshness * (reportedLoad[backend] - mean);
        }
        // Guards against a cold backend that reports almost no load and attracts more than it can
        // take.
        return (backends.warmShare(backend, now) < 1 ? Math.max(base, mean) : base)
                + requests * serviceTimes.utilizationPerRequest(backend, now);
    }

    /**
     * Counts sent attempts.
     *
     * @param attempts negative to take back attempts of a shadow that were not made
     */
    void attemptsSent(int backend, int attempts) {
        sentSinceReport[backend] = Math.max(0, sentSinceReport[backend] + attempts);
        backends.inFlight[backend] += attempts;
    }

    /** Removes an ended attempt of this proxy from those in flight. */
    void attemptEnded(int backend) {
        backends.inFlight[backend]--;
    }
}
