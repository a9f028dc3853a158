package lemondrift.lab.simulation;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.stream.IntStream;

/**
 * Measures how evenly backends are used, from the number of requests that each one holds;
 * docs/lab.md defines the figures. Times are in seconds and must not decrease from one call to the
 * next. A backend is available while it is up and not silent. Initially all backends are available
 * and idle.
 */
public final class LoadEvenness {
    /**
     * A backend is crowded if it holds at least this number of requests more than its cores. An
     * idle backend counts for the longest idle time only while another one is crowded.
     */
    private static final int CROWDED_QUEUE = 3;

    /**
     * The length of the window in which sends to one backend are counted for the herd figure, as a
     * share of the latency objective.
     */
    private static final double HERD_WINDOW_SHARE = 0.1;

    /** Replaces a time span of length 0 as the divisor of a mean over time. */
    private static final double SHORTEST_SPAN_SECONDS = 1e-9;

    /** One request sent to a backend. */
    private record Send(double at, int backend) {}

    private final int cores;
    private final double herdWindowSeconds;
    private final int[] held;
    private final boolean[] available;
    private final double[] idleSince;
    private final long[] served;

    /** The requests sent within the herd window, and their number per backend. */
    private final Deque<Send> recentSends = new ArrayDeque<>();

    private final int[] recentSendCount;

    /** The times until which and since which the integrals are counted. */
    private double now;

    private double countingSince;

    /** Integrals over the time since {@link #countingSince}. */
    private double wasteSeconds;

    private double mostHeldSeconds;
    private double idleSeconds;

    /** Whether any backend is crowded, and since which time. */
    private boolean crowded;

    private double crowdedSince;
    private double longestIdleSeconds;
    private int herd;

    /** By second; may be longer than the counted time, with 0 in the remaining elements. */
    private double[] idleShareBySecond = {};

    /**
     * Creates a measurement over backends that are all available and idle.
     *
     * @param cores the number of cores of each backend
     * @param latencyObjectiveSeconds the shortest latency objective of all request classes
     */
    public LoadEvenness(int backends, int cores, double latencyObjectiveSeconds) {
        this.cores = cores;
        herdWindowSeconds = HERD_WINDOW_SHARE * latencyObjectiveSeconds;
        held = new int[backends];
        available = new boolean[backends];
        Arrays.fill(available, true);
        idleSince = new double[backends];
        served = new long[backends];
        recentSendCount = new int[backends];
    }

    /** Restarts counting at a time; the current state of the backends is kept. */
    public void startCounting(double time) {
        advanceTo(time);
        countingSince = time;
        wasteSeconds = 0;
        mostHeldSeconds = 0;
        idleSeconds = 0;
        idleShareBySecond = new double[0];
        longestIdleSeconds = 0;
        herd = 0;
        Arrays.fill(served, 0);
        Arrays.fill(idleSince, time);
        crowdedSince = time;
    }

    /** Adds the time since the last event, in which no backend has changed, to the integrals. */
    private void advanceTo(double time) {
        double spanSeconds = time - now;
        if (spanSeconds <= 0) {
            return;
        }
        int idleCount = 0;
        int queuedCount = 0;
        int mostHeld = 0;
        for (int i = 0; i < held.length; i++) {
            if (available[i]) {
                idleCount += held[i] == 0 ? 1 : 0;
                queuedCount += Math.max(0, held[i] - cores);
                mostHeld = Math.max(mostHeld, held[i]);
            }
        }
        wasteSeconds += spanSeconds * Math.min(idleCount, queuedCount);
        idleSeconds += spanSeconds * idleCount;
        addIdleBySecond(spanSeconds, idleCount);
        mostHeldSeconds += spanSeconds * mostHeld;
        now = time;
    }

    /** Distributes idle time over the seconds in which it lies. */
    private void addIdleBySecond(double spanSeconds, int idleCount) {
        double end = now - countingSince + spanSeconds;
        for (double at = now - countingSince; at < end; at = Math.floor(at) + 1) {
            int second = (int) at;
            if (second >= idleShareBySecond.length) {
                idleShareBySecond = Arrays.copyOf(idleShareBySecond, 2 * second + 1);
            }
            idleShareBySecond[second] += (Math.min(end, second + 1) - at) * idleCount / held.length;
        }
    }

    /**
     * Returns the share of backends that were available and idle in each second since counting
     * started, 0 to 1; the array may be longer than the counted time.
     */
    public double[] idleShareBySecond() {
        return idleShareBySecond;
    }

    /**
     * Records the number of requests that a backend holds from a time on, and whether it is
     * available.
     */
    public void updateBackend(int backend, int count, boolean isAvailable, double time) {
        advanceTo(time);
        if (!isIdle(backend)) {
            idleSince[backend] = time;
        } else if (!isAvailable || count != 0) {
            recordIdlePeriod(backend);
        }
        held[backend] = count;
        available[backend] = isAvailable;
        updateCrowded();
    }

    private void updateCrowded() {
        boolean isAnyCrowded =
                IntStream.range(0, held.length)
                        .anyMatch(i -> available[i] && held[i] - cores >= CROWDED_QUEUE);
        if (isAnyCrowded && !crowded) {
            crowdedSince = now;
        } else if (!isAnyCrowded && crowded) {
            recordIdlePeriods();
        }
        crowded = isAnyCrowded;
    }

    private boolean isIdle(int backend) {
        return available[backend] && held[backend] == 0;
    }

    private void recordIdlePeriods() {
        IntStream.range(0, held.length).filter(this::isIdle).forEach(this::recordIdlePeriod);
    }

    private void recordIdlePeriod(int backend) {
        if (crowded) {
            double since = Math.max(idleSince[backend], crowdedSince);
            longestIdleSeconds = Math.max(longestIdleSeconds, now - since);
        }
    }

    /** Records that a request was sent to a backend. */
    public void recordSend(int backend, double time) {
        advanceTo(time);
        while (!recentSends.isEmpty() && recentSends.peek().at < time - herdWindowSeconds) {
            recentSendCount[recentSends.remove().backend]--;
        }
        recentSends.add(new Send(time, backend));
        recentSendCount[backend]++;
        herd = Math.max(herd, recentSendCount[backend]);
    }

    /** Records that a backend has responded successfully to a request. */
    public void recordServed(int backend) {
        served[backend]++;
    }

    /** Returns the figures from the start of counting until a time. */
    public Measure measure(double time) {
        advanceTo(time);
        if (crowded) {
            recordIdlePeriods();
        }
        double spanSeconds = Math.max(SHORTEST_SPAN_SECONDS, now - countingSince);
        int backendCount = Math.max(1, held.length);
        double meanServed = Arrays.stream(served).average().orElse(0);
        return new Measure(
                wasteSeconds / spanSeconds / backendCount,
                idleSeconds / spanSeconds / backendCount,
                mostHeldSeconds / spanSeconds,
                herd,
                longestIdleSeconds,
                meanServed == 0 ? 0 : Arrays.stream(served).min().orElse(0) / meanServed,
                meanServed == 0 ? 0 : Arrays.stream(served).max().orElse(0) / meanServed);
    }

    /**
     * The figures of a run. Reports contain them as JSON under these names.
     *
     * @param waste share of backends that are idle while as many requests wait at other backends,
     *     mean over time
     * @param idle share of backends that are available and idle, mean over time
     * @param fullest number of requests that the fullest backend holds, mean over time
     * @param herd maximum number of requests sent to one backend within a tenth of a latency
     *     objective
     * @param longestIdle longest time, in seconds, for which one backend was idle while another
     *     held at least three requests more than its cores
     * @param least smallest number of requests served by a backend, divided by the mean; 0 if none
     *     was served
     * @param most largest number of requests served by a backend, divided by the mean; 0 if none
     *     was served
     */
    public record Measure(
            double waste,
            double idle,
            double fullest,
            int herd,
            double longestIdle,
            double least,
            double most) {}
}
