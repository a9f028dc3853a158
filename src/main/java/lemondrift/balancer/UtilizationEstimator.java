package lemondrift.balancer;

import java.util.Arrays;
import lemondrift.model.Settings;

/**
 * The estimated utilization of each backend, by which the selector chooses (Salem, Wong and
 * Bochmann, "Least Utilization"): the last load report, plus what this proxy has sent there since,
 * times the utilization that one request adds. 1 is busy all the time, and each request waiting
 * beyond that adds to it.
 *
 * <p>A report loses freshness with age (1 when it comes, then exponentially towards 0). As far as
 * it has, the mean of the reports heard lately stands in for it, and the attempts in flight for
 * those sent since. Where other proxies gossip of what they have in flight, that counts like own
 * attempts.
 *
 * <p>Reports are called stale where the backends renew them so seldom that they are old when they
 * come; that is seen from reports that repeat the one before.
 */
final class UtilizationEstimator {
    /** How many backends are probed in one round. */
    static final int PROBES_PER_ROUND = 3;

    /** How many rounds of probes one attempt may wait for. */
    static final int MAX_PROBE_ROUNDS = 4;

    /** Over which part of a window a report loses freshness where it can be renewed. */
    private static final double FRESHNESS_WINDOWS = 0.125;

    /** What the probes of a request may cost, as a share of a request. */
    private static final double MAX_PROBE_COST = 0.03;

    /** Over how many repeated reports the repetition time rises. */
    private static final double REPEATS_TO_RISE = 8;

    /** Over how many new reports it falls. */
    private static final double REPORTS_TO_FALL = 4;

    /** What the mean of no report is, counted as one. */
    private static final double INITIAL_MEAN_LOAD = 0.5;

    /** Whether other proxies tell what they have in flight. */
    boolean gossipActive;

    /** By backend: what other proxies have in flight there. */
    double[] peerInFlight = {};

    private final BackendTable backends;
    private final ServiceTimeEstimator serviceTimes;

    /** How long backends repeat a report, in seconds. */
    private double repeatSeconds;

    /** The busyness and the number of the reports heard lately. */
    private final DecayingSum recentLoad = new DecayingSum();

    private final DecayingSum recentReports = new DecayingSum();

    /** By backend: the utilization of the last report with the work of the requests it holds. */
    private double[] reportedLoad = {};

    /** By backend: the utilization of the last report alone; 1 after a failed attempt. */
    private double[] reportedUtilization = {};

    /** By backend: the requests in flight of the last report. */
    private double[] reportedInFlight = {};

    /** By backend: when the last report came, in seconds; 0 where none has. */
    private double[] reportedAt = {};

    /** By backend: own attempts sent since the last report. */
    private double[] sentSinceReport = {};

    UtilizationEstimator(BackendTable backends, ServiceTimeEstimator serviceTimes) {
        this.backends = backends;
        this.serviceTimes = serviceTimes;
    }

    /** Makes room for backends that were listed for the first time. */
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

    /** The backend has started anew: nothing that was known of it holds. */
    void resetBackend(int backend) {
        reportedAt[backend] = 0;
        sentSinceReport[backend] = 0;
        peerInFlight[backend] = 0;
    }

    /** How many rounds of probes an attempt may wait for; 0 where none is worth its cost. */
    int probeRounds() {
        return reportsAreStale()
                ? 0
                : (int)
                        Math.min(
                                MAX_PROBE_ROUNDS,
                                MAX_PROBE_COST / PROBES_PER_ROUND / backends.settings.probeCost());
    }

    /** Whether backends renew their reports so seldom that they are old when they come. */
    boolean reportsAreStale() {
        return repeatSeconds > FRESHNESS_WINDOWS * backends.windowSeconds;
    }

    /** Over how many seconds a report loses freshness: until the next where none can be probed. */
    private double freshnessSeconds() {
        return reportsAreStale() || probeRounds() > 0
                ? FRESHNESS_WINDOWS * backends.windowSeconds
                : backends.memorySeconds;
    }

    /** How far the last report of a backend still counts: 1 when it comes, 0 without one. */
    double freshness(int backend, double now) {
        return reportedAt[backend] == 0
                ? 0
                : Math.exp((reportedAt[backend] - now) / freshnessSeconds());
    }

    /**
     * Hears a load report; one that is missing, negative or no number is ignored.
     *
     * @param succeeded whether the attempt or probe that it came with did
     * @param withAttempt whether it came with an attempt's response, not a probe's
     */
    void loadReported(
            int backend, double[] loadReport, boolean succeeded, boolean withAttempt, double now) {
        Settings.LoadReports fields = backends.settings.loadReports();
        double utilization =
                Settings.LoadReports.fieldOrZero(loadReport, fields.utilizationField());
        // Guards against an idle backend that looks busy with the request just answered.
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
        // Guards against a herd: a repeated report says nothing new, so what was sent still counts.
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
        // Guards against a backend that fails fast, reports the least and draws all requests.
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

    /** The requests in flight of a backend's last report. */
    double reportedInFlight(int backend) {
        return reportedInFlight[backend];
    }

    /** Whether other proxies tell what they have in flight at a backend. */
    boolean hasGossip(int backend) {
        return gossipActive && backends.endpoint[backend].userShare() > 0;
    }

    /** The estimated utilization of a backend; 1 and above is busy all the time. */
    double estimate(int backend, double now) {
        double freshness = freshness(backend, now);
        double mean = meanReportedLoad(now);
        double base;
        double requests;
        if (gossipActive) {
            // Gossip counts what is in flight, so of the report only what it says beyond that is
            // added.
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
        // Guards against a cold backend that reports near nothing and draws more than it bears.
        return (backends.warmShare(backend, now) < 1 ? Math.max(base, mean) : base)
                + requests * serviceTimes.utilizationPerRequest(backend, now);
    }

    /** So many attempts more were sent; fewer where a shadow's own was not made. */
    void attemptsSent(int backend, int attempts) {
        sentSinceReport[backend] = Math.max(0, sentSinceReport[backend] + attempts);
        backends.inFlight[backend] += attempts;
    }

    /** An own attempt has ended. */
    void attemptEnded(int backend) {
        backends.inFlight[backend]--;
    }
}
