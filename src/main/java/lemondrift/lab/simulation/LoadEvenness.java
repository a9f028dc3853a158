package lemondrift.lab.simulation;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.stream.IntStream;

/**
 * How evenly backends are used, by what they hold alone; docs/lab.md defines the figures. Times are
 * in seconds and must not fall from one call to the next. A backend is fit while it is up and not
 * silent; all are fit and idle at first.
 */
public final class LoadEvenness {
    /** A backend that holds so many requests beyond its cores makes another's idleness a fault. */
    private static final int CROWDED_QUEUE = 3;

    /** The herd is counted over this share of a latency objective. */
    private static final double HERD_WINDOW_SHARE = 0.1;

    /** Stands in for a span of no length where a mean over time is taken. */
    private static final double SHORTEST_SPAN_SECONDS = 1e-9;

    /** One request that was sent to a backend. */
    private record Send(double at, int backend) {}

    private final int cores;
    private final double herdWindowSeconds;
    private final int[] held;
    private final boolean[] available;
    private final double[] idleSince;
    private final long[] served;

    /** The requests sent within the herd's window, and how many of them to each backend. */
    private final Deque<Send> recentSends = new ArrayDeque<>();

    private final int[] recentSendCount;

    /** Up to when all has been counted, and from when on. */
    private double now;

    private double countingSince;

    /** Integrals over time since {@link #countingSince}. */
    private double wasteSeconds;

    private double mostHeldSeconds;
    private double idleSeconds;

    /** Whether any backend is crowded, and since when. */
    private boolean crowded;

    private double crowdedSince;
    private double longestIdleSeconds;
    private int herd;

    /** Longer than the seconds counted so far; the rest is 0. */
    private double[] idleShareBySecond = {};

    /**
     * Creates one for backends of so many cores; the latency objective is the shortest, in seconds.
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

    /** Counts anew from a time on; what the backends hold stays known. */
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

    /** Adds up the time since the last event, in which no backend has changed. */
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

    /** Adds idle time to each second that it lies in. */
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
     * The share of backends that were fit and idle in each second since it began to count, 0 to 1;
     * it may be longer than the time that has passed.
     */
    public double[] idleShareBySecond() {
        return idleShareBySecond;
    }

    /** A backend holds so many requests from a time on, and is fit or not. */
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

    /** A request was sent to a backend. */
    public void recordSend(int backend, double time) {
        advanceTo(time);
        while (!recentSends.isEmpty() && recentSends.peek().at < time - herdWindowSeconds) {
            recentSendCount[recentSends.remove().backend]--;
        }
        recentSends.add(new Send(time, backend));
        recentSendCount[backend]++;
        herd = Math.max(herd, recentSendCount[backend]);
    }

    /** A backend has answered a request successfully. */
    public void recordServed(int backend) {
        served[backend]++;
    }

    /** The figures from when it began to count until a time. */
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
     * The figures of a run.
     *
     * @param waste share of backends that stand idle while as many requests wait elsewhere, over
     *     time
     * @param idle share of backends that are fit and idle, over time
     * @param fullest requests that the fullest backend holds, mean over time
     * @param herd most requests sent to one backend within a tenth of a latency objective
     * @param longestIdle longest time, in seconds, that one stood idle while another held three or
     *     more beyond its cores
     * @param least served by the backend with the least, over the mean
     * @param most served by the backend with the most, over the mean
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
