package lemondrift.lab.simulation;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * What came of a day. Priority weight counts once for what a client wants, however often it asks.
 */
public final class RunResult {
    /** The share of priority weight that counts as served as usual, and over how many seconds. */
    private static final double USUAL = 0.95;

    private static final int BACK_OVER = 3;

    /** Priority weight that clients wanted, and that was answered within the latency objective. */
    @JsonProperty("wanted")
    public double requestedWeight;

    @JsonProperty("served")
    public double servedWeight;

    /** Requests that proxies took, and how they ended; attempts made, probes sent. */
    @JsonProperty("taken")
    public long accepted;

    @JsonProperty("delivered")
    public long succeeded;

    public long late;

    @JsonProperty("shed")
    public long rejected;

    @JsonProperty("scrapped")
    public long failed;

    public long unanswered;

    @JsonProperty("forwards")
    public long attempts;

    public long probes;

    /**
     * What clients want, how often they had it within the latency objective, and whom a closed door
     * met.
     */
    @JsonProperty("wants")
    public long clientRequests;

    public long inTime;
    public long unreached;

    /** Bytes that proxies told one another, and in how many messages. */
    @JsonProperty("told")
    public long gossipBytes;

    @JsonProperty("messages")
    public long gossipMessages;

    /** Processes that ended by themselves or did not drain. */
    public long crashed;

    /**
     * The share of a core and the megabytes that a process takes, the mean and the most, on
     * processes.
     */
    @JsonProperty("cpu")
    public double cpuShare;

    @JsonProperty("memory")
    public double memoryMegabytes;

    /**
     * Seconds until a client has what it wants, counted from when it was due: median, 99th
     * percentile.
     */
    @JsonProperty("p50")
    public double medianSeconds;

    @JsonProperty("p99")
    public double p99Seconds;

    /** Cold backends that were pushed over and stayed down. */
    @JsonProperty("fallen")
    public long overloadedColdBackends;

    /**
     * Priority weight wanted and served by the second in which it was wanted; attempts that failed,
     * by backend.
     */
    @JsonProperty("wantedIn")
    public final double[] requestedWeightPerSecond;

    @JsonProperty("servedIn")
    public final double[] servedWeightPerSecond;

    /**
     * By second, on processes: requests rejected, the share of backends fit and idle, priority
     * weight borne.
     */
    @JsonProperty("shedIn")
    public final double[] rejectedPerSecond;

    @JsonProperty("idleIn")
    public final double[] idleSharePerSecond;

    @JsonProperty("borneIn")
    public final double[] servableWeightPerSecond;

    @JsonProperty("failedAt")
    public final long[] failedAttemptsByBackend;

    /** How evenly the backends were used; null while the day is played. */
    public LoadEvenness.Measure evenness;

    /** Creates one with all figures at zero. */
    public RunResult(Scenario scenario) {
        requestedWeightPerSecond = new double[(int) Math.ceil(scenario.lasts()) + 1];
        servedWeightPerSecond = new double[requestedWeightPerSecond.length];
        rejectedPerSecond = new double[requestedWeightPerSecond.length];
        idleSharePerSecond = new double[requestedWeightPerSecond.length];
        servableWeightPerSecond = new double[requestedWeightPerSecond.length];
        failedAttemptsByBackend = new long[scenario.backends()];
    }

    /** The first second of the window of so many in which most priority weight was lost. */
    public int worstWindow(int seconds) {
        int worst = 0;
        double most = -1;
        for (int from = 0; from + seconds <= requestedWeightPerSecond.length; from++) {
            double lost = 0;
            for (int s = from; s < from + seconds; s++) {
                lost += requestedWeightPerSecond[s] - servedWeightPerSecond[s];
            }
            if (lost > most) {
                most = lost;
                worst = from;
            }
        }
        return worst;
    }

    /**
     * Seconds from the start of the day after which priority weight is served as usual to its end:
     * the end of the last few seconds of which under 95% was served; 0 where there are none.
     */
    public int backAfter() {
        int back = 0;
        for (int from = 0; from + BACK_OVER <= requestedWeightPerSecond.length - 1; from++) {
            double wanted = 0;
            double served = 0;
            for (int s = from; s < from + BACK_OVER; s++) {
                wanted += requestedWeightPerSecond[s];
                served += servedWeightPerSecond[s];
            }
            back = served < USUAL * wanted ? from + BACK_OVER : back;
        }
        return back;
    }

    /** The backends at which most attempts failed, so many at the most, the worst first. */
    public List<Integer> worstBackends(int most) {
        return IntStream.range(0, failedAttemptsByBackend.length)
                .boxed()
                .filter(i -> failedAttemptsByBackend[i] > 0)
                .sorted(Comparator.comparing((Integer i) -> -failedAttemptsByBackend[i]))
                .limit(most)
                .toList();
    }

    /** The share of priority weight answered in time, 0 to 1. */
    public double service() {
        return requestedWeight == 0 ? 1 : servedWeight / requestedWeight;
    }

    /**
     * Priority weight answered in time, of what the backends could have borne; 1 where that is not
     * known.
     */
    public double ofBearable() {
        double all = Arrays.stream(servableWeightPerSecond).sum();
        return all == 0 ? 1 : servedWeight / all;
    }

    /** The share of what clients want that they had within the latency objective, 0 to 1. */
    public double inTimeShare() {
        return clientRequests == 0 ? 1 : (double) inTime / clientRequests;
    }

    @Override
    public String toString() {
        return String.format(
                "service %.4f, taken %d, delivered %d, late %d, shed %d, scrapped %d, unanswered"
                        + " %d, forwards %d, probes %d, fallen %d, told %d, waste %.4f, herd %d",
                service(),
                accepted,
                succeeded,
                late,
                rejected,
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
