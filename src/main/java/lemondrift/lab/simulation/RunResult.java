package lemondrift.lab.simulation;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The figures of one run. Reports contain the public fields as JSON; annotations hold the keys that
 * differ from the field names. The priority weight of a client request counts once, regardless of
 * the number of tries.
 */
public final class RunResult {
    /** The share of the requested priority weight from which service counts as recovered. */
    private static final double USUAL_SERVICE_SHARE = 0.95;

    /**
     * The length of the window in which the served share is compared with {@link
     * #USUAL_SERVICE_SHARE}.
     */
    private static final int RECOVERY_WINDOW_SECONDS = 3;

    /** The priority weight of all client requests. */
    @JsonProperty("wanted")
    public double requestedWeight;

    /**
     * The priority weight that was served; a late response counts with the late priority weight of
     * its request class.
     */
    @JsonProperty("served")
    public double servedWeight;

    /** Requests that proxies accepted; each try of a client counts separately. */
    @JsonProperty("taken")
    public long accepted;

    /** Accepted requests that got a successful response before their deadline. */
    @JsonProperty(ReportKeys.SUCCEEDED)
    public long succeeded;

    /** Successful requests whose response arrived after the latency objective. */
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

    /** Client requests; all tries of a request count as one. */
    @JsonProperty("wants")
    public long clientRequests;

    /** Client requests that succeeded within the latency objective. */
    public long inTime;

    /** Tries for which no proxy accepted a connection; only on processes. */
    public long unreached;

    /** Bytes of gossip sent between proxies. */
    @JsonProperty("told")
    public long gossipBytes;

    /** Gossip messages sent between proxies. */
    @JsonProperty("messages")
    public long gossipMessages;

    /** Processes that ended unexpectedly or did not drain. */
    public long crashed;

    /**
     * The share of a core that a process uses, as the mean over all processes; only on processes.
     */
    @JsonProperty("cpu")
    public double cpuShare;

    /** The memory in megabytes of the process that uses the most; only on processes. */
    @JsonProperty("memory")
    public double memoryMegabytes;

    /**
     * The median time in seconds from when a client request was due until its successful response.
     */
    @JsonProperty("p50")
    public double medianSeconds;

    /**
     * The 99th percentile of the time in seconds from when a client request was due until its
     * successful response.
     */
    @JsonProperty("p99")
    public double p99Seconds;

    /** Cold backends that were overloaded and stayed down. */
    @JsonProperty("fallen")
    public long overloadedColdBackends;

    /** Priority weight of client requests, by second. */
    @JsonProperty("wantedIn")
    public final double[] requestedWeightPerSecond;

    /** Priority weight served, by the second in which it was first requested. */
    @JsonProperty("servedIn")
    public final double[] servedWeightPerSecond;

    /** Requests rejected, by second; only on processes. */
    @JsonProperty("shedIn")
    public final double[] rejectedPerSecond;

    /** The share of backends that were available and idle, 0 to 1, by second; only on processes. */
    @JsonProperty("idleIn")
    public final double[] idleSharePerSecond;

    /** Priority weight that the backends could have served, by second; only on processes. */
    @JsonProperty("borneIn")
    public final double[] servableWeightPerSecond;

    /** Attempts that failed, by backend. */
    @JsonProperty("failedAt")
    public final long[] failedAttemptsByBackend;

    /** How evenly the backends were used; null until the end of the run. */
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

    /**
     * Returns the first second of the window of the given length in which the most priority weight
     * was lost.
     */
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
     * Returns the number of seconds from the start of the run after which at least 95% of the
     * priority weight is served until the end of the run: the end of the last window of three
     * seconds in which less than 95% was served; 0 if there is no such window.
     */
    public int recoveredAfterSeconds() {
        int recoveredAfter = 0;
        int lastSecond = requestedWeightPerSecond.length - 1;
        for (int end = RECOVERY_WINDOW_SECONDS; end <= lastSecond; end++) {
            double requested = sumWindow(requestedWeightPerSecond, end);
            double served = sumWindow(servedWeightPerSecond, end);
            recoveredAfter = served < USUAL_SERVICE_SHARE * requested ? end : recoveredAfter;
        }
        return recoveredAfter;
    }

    private static double sumWindow(double[] perSecond, int end) {
        double sum = 0;
        for (int second = end - RECOVERY_WINDOW_SECONDS; second < end; second++) {
            sum += perSecond[second];
        }
        return sum;
    }

    /**
     * Returns the backends with the most failed attempts, at most the given number of them, the
     * worst first; empty if no attempt failed.
     */
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

    /**
     * Returns the share of the requested priority weight that was served, 0 to 1; 1 if none was
     * requested.
     */
    public double servedShare() {
        return requestedWeight == 0 ? 1 : servedWeight / requestedWeight;
    }

    /**
     * Returns the served priority weight divided by the weight that the backends could have served;
     * 1 if the latter is unknown or 0. It can exceed 1.
     */
    public double servedShareOfServable() {
        double servableWeight = Arrays.stream(servableWeightPerSecond).sum();
        return servableWeight == 0 ? 1 : servedWeight / servableWeight;
    }

    /**
     * Returns the share of client requests that succeeded within the latency objective, 0 to 1; 1
     * if there were no requests.
     */
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
