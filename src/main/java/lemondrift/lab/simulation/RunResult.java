package lemondrift.lab.simulation;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The figures of one run, which a report gives as JSON: annotations hold its keys where the code
 * uses other terms. The priority weight of what a client wants counts once, however often it tries.
 */
public final class RunResult {
    /** The share of the requested priority weight that counts as served as usual. */
    private static final double USUAL_SERVICE_SHARE = 0.95;

    /** Over how many seconds it is looked at whether weight is served as usual. */
    private static final int RECOVERY_WINDOW_SECONDS = 3;

    /** The priority weight of what clients wanted. */
    @JsonProperty("wanted")
    public double requestedWeight;

    /** The priority weight that was served: that of late responses counts as their class says. */
    @JsonProperty("served")
    public double servedWeight;

    /** Requests that proxies accepted, each try of a client by itself. */
    @JsonProperty("taken")
    public long accepted;

    /** Accepted requests that got a successful response before their deadline. */
    @JsonProperty(ReportKeys.SUCCEEDED)
    public long succeeded;

    /** Those of them whose response came after the latency objective. */
    public long late;

    /** Accepted requests that were rejected. */
    @JsonProperty(ReportKeys.REJECTED)
    public long rejected;

    /** Accepted requests that were failed. */
    @JsonProperty(ReportKeys.FAILED)
    public long failed;

    /** Accepted requests that had no response at their deadline. */
    public long unanswered;

    /** Attempts sent to backends. */
    @JsonProperty("forwards")
    public long attempts;

    /** Probes sent to backends. */
    public long probes;

    /** What clients wanted, over all tries. */
    @JsonProperty("wants")
    public long clientRequests;

    /** How much of it they had within the latency objective. */
    public long inTime;

    /** Tries that no proxy accepted a connection for, on processes. */
    public long unreached;

    /** Bytes of the gossip between proxies. */
    @JsonProperty("told")
    public long gossipBytes;

    /** Messages of the gossip between proxies. */
    @JsonProperty("messages")
    public long gossipMessages;

    /** Processes that ended by themselves or did not drain. */
    public long crashed;

    /** The share of a core that a process takes, the mean over all, on processes. */
    @JsonProperty("cpu")
    public double cpuShare;

    /** The megabytes that a process takes, the most of all, on processes. */
    @JsonProperty("memory")
    public double memoryMegabytes;

    /** Seconds from when a client's request was due until it has what it wants, the median. */
    @JsonProperty("p50")
    public double medianSeconds;

    /** The same, the 99th percentile. */
    @JsonProperty("p99")
    public double p99Seconds;

    /** Cold backends that were overloaded and stayed down. */
    @JsonProperty("fallen")
    public long overloadedColdBackends;

    /** Priority weight of what clients wanted, by second. */
    @JsonProperty("wantedIn")
    public final double[] requestedWeightPerSecond;

    /** Priority weight served, by the second in which it was first requested. */
    @JsonProperty("servedIn")
    public final double[] servedWeightPerSecond;

    /** Requests rejected, by second, on processes. */
    @JsonProperty("shedIn")
    public final double[] rejectedPerSecond;

    /** The share of backends that were fit and idle, 0 to 1, by second, on processes. */
    @JsonProperty("idleIn")
    public final double[] idleSharePerSecond;

    /** Priority weight that the backends could have served, by second, on processes. */
    @JsonProperty("borneIn")
    public final double[] servableWeightPerSecond;

    /** Attempts that failed, by backend. */
    @JsonProperty("failedAt")
    public final long[] failedAttemptsByBackend;

    /** How evenly the backends were used; null while the run is played. */
    public LoadEvenness.Measure evenness;

    /** Creates a result with all figures at zero. */
    public RunResult(Scenario scenario) {
        int seconds = (int) Math.ceil(scenario.durationSeconds()) + 1;
        requestedWeightPerSecond = new double[seconds];
        servedWeightPerSecond = new double[seconds];
        rejectedPerSecond = new double[seconds];
        idleSharePerSecond = new double[seconds];
        servableWeightPerSecond = new double[seconds];
        failedAttemptsByBackend = new long[scenario.backends()];
    }

    /** The first second of the window of so many seconds that lost most priority weight. */
    public int worstWindowStart(int windowSeconds) {
        int worstStart = 0;
        double mostLost = Double.NEGATIVE_INFINITY;
        for (int from = 0; from + windowSeconds <= requestedWeightPerSecond.length; from++) {
            double lost = 0;
            for (int second = from; second < from + windowSeconds; second++) {
                lost += requestedWeightPerSecond[second] - servedWeightPerSecond[second];
            }
            if (lost > mostLost) {
                mostLost = lost;
                worstStart = from;
            }
        }
        return worstStart;
    }

    /**
     * Seconds from the start of the run after which priority weight is served as usual to its end:
     * the end of the last three seconds of which under 95% was served; 0 where there are none.
     */
    public int recoveredAfterSeconds() {
        int backAfter = 0;
        int lastSecond = requestedWeightPerSecond.length - 1;
        for (int end = RECOVERY_WINDOW_SECONDS; end <= lastSecond; end++) {
            double requested = sumWindow(requestedWeightPerSecond, end);
            double served = sumWindow(servedWeightPerSecond, end);
            backAfter = served < USUAL_SERVICE_SHARE * requested ? end : backAfter;
        }
        return backAfter;
    }

    private static double sumWindow(double[] perSecond, int end) {
        double sum = 0;
        for (int second = end - RECOVERY_WINDOW_SECONDS; second < end; second++) {
            sum += perSecond[second];
        }
        return sum;
    }

    /** The backends at which most attempts failed, so many at the most, the worst first. */
    public List<Integer> worstBackends(int maxCount) {
        return IntStream.range(0, failedAttemptsByBackend.length)
                .boxed()
                .filter(backend -> failedAttemptsByBackend[backend] > 0)
                .sorted(
                        Comparator.comparing(
                                (Integer backend) -> -failedAttemptsByBackend[backend]))
                .limit(maxCount)
                .toList();
    }

    /** The share of the requested priority weight that was served, 0 to 1; 1 where none was. */
    public double servedShare() {
        return requestedWeight == 0 ? 1 : servedWeight / requestedWeight;
    }

    /**
     * The priority weight served, over what the backends could have served; 1 where that is not
     * known.
     */
    public double servedShareOfServable() {
        double servableWeight = Arrays.stream(servableWeightPerSecond).sum();
        return servableWeight == 0 ? 1 : servedWeight / servableWeight;
    }

    /** The share of what clients wanted that they had within the latency objective, 0 to 1. */
    public double inTimeShare() {
        return clientRequests == 0 ? 1 : (double) inTime / clientRequests;
    }

    @Override
    public String toString() {
        return String.format(
                "service %.4f, taken %d, %s %d, late %d, %s %d, %s %d, unanswered %d,"
                        + " forwards %d, probes %d, fallen %d, told %d, waste %.4f, herd %d",
                servedShare(),
                accepted,
                ReportKeys.SUCCEEDED,
                succeeded,
                late,
                ReportKeys.REJECTED,
                rejected,
                ReportKeys.FAILED,
                failed,
                unanswered,
                attempts,
                probes,
                overloadedColdBackends,
                gossipBytes,
                evenness == null ? 0 : evenness.waste(),
                evenness == null ? 0 : evenness.herd());
    }
}
