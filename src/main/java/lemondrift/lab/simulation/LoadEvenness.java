package lemondrift.lab.simulation;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.stream.IntStream;

/**
 * How evenly backends are used, by what they hold alone; docs/lab.md defines the figures. Times are
 * in seconds and rise. A backend is fit while it is up, speaks and takes what comes.
 */
public final class LoadEvenness {
    /** Who holds so many beyond its cores makes another's idleness a fault. */
    private static final int CROWDED = 3;

    /** Sends are counted over this share of a latency objective. */
    private static final double TOGETHER = 0.1;

    private final int cores;
    private final double together;
    private final int[] held;
    private final boolean[] fit;
    private final double[] idleSince;
    private final long[] served;
    private final Deque<double[]> sends = new ArrayDeque<>();
    private final int[] sent;
    private double now;
    private double from;
    private double wasted;
    private double fullest;
    private double idle;
    private double crowdedSince = Double.NaN;
    private double longestIdle;
    private int mostTogether;
    private double[] idleIn = {};

    /** All are fit and hold nothing at first; the latency objective is the shortest. */
    public LoadEvenness(int backends, int cores, double contractTime) {
        this.cores = cores;
        together = TOGETHER * contractTime;
        held = new int[backends];
        fit = new boolean[backends];
        Arrays.fill(fit, true);
        idleSince = new double[backends];
        served = new long[backends];
        sent = new int[backends];
    }

    /** Counts from here on, without what came before, as while all was started. */
    public void begins(double time) {
        passes(time);
        from = time;
        wasted = 0;
        fullest = 0;
        idle = 0;
        idleIn = new double[0];
        longestIdle = 0;
        mostTogether = 0;
        Arrays.fill(served, 0);
        Arrays.fill(idleSince, time);
        crowdedSince = Double.isNaN(crowdedSince) ? Double.NaN : time;
    }

    private void passes(double time) {
        double span = time - now;
        if (span > 0) {
            int free = 0;
            int queued = 0;
            int most = 0;
            for (int i = 0; i < held.length; i++) {
                free += fit[i] && held[i] == 0 ? 1 : 0;
                queued += fit[i] ? Math.max(0, held[i] - cores) : 0;
                most = Math.max(most, fit[i] ? held[i] : 0);
            }
            wasted += span * Math.min(free, queued);
            idle += span * free;
            counts(span, free);
            fullest += span * most;
            now = time;
        }
    }

    /** Adds idle time to each second that it lies in. */
    private void counts(double span, int free) {
        double end = now - from + span;
        for (double at = now - from; at < end; at = Math.floor(at) + 1) {
            int second = (int) at;
            idleIn = second < idleIn.length ? idleIn : Arrays.copyOf(idleIn, 2 * second + 1);
            idleIn[second] += (Math.min(end, second + 1) - at) * free / held.length;
        }
    }

    /** The share of backends that were fit and idle in each second since it began to count. */
    public double[] idleBySecond() {
        return idleIn;
    }

    /** A backend holds so many from now on, and can or can't take more. */
    public void holds(int backend, int many, boolean isFit, double time) {
        passes(time);
        if (isIdle(backend) && !(isFit && many == 0)) {
            wasIdle(backend);
        } else if (!isIdle(backend)) {
            idleSince[backend] = time;
        }
        held[backend] = many;
        fit[backend] = isFit;
        boolean crowded =
                IntStream.range(0, held.length).anyMatch(i -> fit[i] && held[i] - cores >= CROWDED);
        if (crowded && Double.isNaN(crowdedSince)) {
            crowdedSince = now;
        } else if (!crowded && !Double.isNaN(crowdedSince)) {
            endOfCrowd();
            crowdedSince = Double.NaN;
        }
    }

    private boolean isIdle(int backend) {
        return fit[backend] && held[backend] == 0;
    }

    private void endOfCrowd() {
        IntStream.range(0, held.length).filter(this::isIdle).forEach(this::wasIdle);
    }

    private void wasIdle(int backend) {
        if (!Double.isNaN(crowdedSince)) {
            longestIdle = Math.max(longestIdle, now - Math.max(idleSince[backend], crowdedSince));
        }
    }

    /** A request was sent to a backend. */
    public void sends(int backend, double time) {
        passes(time);
        while (!sends.isEmpty() && sends.peek()[0] < time - together) {
            sent[(int) sends.remove()[1]]--;
        }
        sends.add(new double[] {time, backend});
        mostTogether = Math.max(mostTogether, ++sent[backend]);
    }

    public void served(int backend) {
        served[backend]++;
    }

    /** What a day comes to at its end. */
    public Measure measure(double time) {
        passes(time);
        if (!Double.isNaN(crowdedSince)) {
            endOfCrowd();
        }
        double span = Math.max(1e-9, now - from);
        double mean = Arrays.stream(served).average().orElse(0);
        return new Measure(
                wasted / span / Math.max(1, held.length),
                idle / span / Math.max(1, held.length),
                fullest / span,
                mostTogether,
                longestIdle,
                mean == 0 ? 0 : Arrays.stream(served).min().orElse(0) / mean,
                mean == 0 ? 0 : Arrays.stream(served).max().orElse(0) / mean);
    }

    /**
     * The figures of a day.
     *
     * @param waste share of backends that stand idle while as many requests wait elsewhere, over
     *     time
     * @param idle share of backends that are fit and idle, over time
     * @param fullest what the fullest backend holds, over time
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
