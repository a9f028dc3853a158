package lemondrift.connection;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * How much the decisions' queue takes, and who goes next when it has room: the exchange whose time
 * is up first. Danger: a queue longer than its exchanges can wait makes all of them late, where
 * some could be in time. No more than one exchange waits here for each connection, so that it has a
 * bound.
 *
 * @param <T> an exchange as the adapter knows it
 */
public final class RequestQueue<T> {
    /** The share of the shortest contract time that an exchange may wait for the decisions. */
    private static final double SHARE = 0.125;

    /**
     * The queue always takes so many, and so many more than the share allows must wait before any
     * is asked.
     */
    private static final int LEAST = 16;

    /** The weight of the newest measurement in what one decision takes. */
    private static final double NEW = 1.0 / 16;

    private record Waiting<T>(T exchange, double end, long order) {}

    private double longestWait;
    private final PriorityQueue<Waiting<T>> waiting =
            new PriorityQueue<>(
                    Comparator.comparingDouble((Waiting<T> each) -> each.end)
                            .thenComparingLong(Waiting::order));
    private double cost;
    private long taken;
    private int queued;

    /** The contract time is the shortest of all service grades, in seconds, over 0. */
    public RequestQueue(double contractTime) {
        retuned(contractTime);
    }

    /** Another one is the shortest from now on. */
    public void retuned(double contractTime) {
        longestWait = SHARE * contractTime;
    }

    /** The decisions took so many exchanges out of the queue, which took so many seconds in all. */
    public void decided(int exchanges, double seconds) {
        queued -= exchanges;
        if (exchanges > 0) {
            cost += (seconds / exchanges - cost) * NEW;
        }
    }

    /** How many may be in the queue. */
    public int most() {
        return cost <= 0
                ? Integer.MAX_VALUE
                : (int) Math.max(LEAST, Math.min(1e6, longestWait / cost));
    }

    /**
     * Whether one more may go to the queue now. If so it counts as queued; else it is to wait here.
     */
    public boolean takes() {
        if (!waiting.isEmpty() || queued >= most()) {
            return false;
        }
        queued++;
        return true;
    }

    /** How long one that comes now would wait until it is decided, in seconds. */
    public double expectedWait() {
        return (queued + waiting.size()) * cost;
    }

    /**
     * Whether so many wait that one more should be asked for only if the decisions would not shed
     * it.
     */
    public boolean isLong() {
        return expectedWait() > 2 * longestWait;
    }

    /** An exchange waits here; its time is up at the end. */
    public void waits(T exchange, double end) {
        waiting.add(new Waiting<>(exchange, end, ++taken));
    }

    /**
     * Takes out the one to go to the queue next, which counts as queued from now on; null if there
     * is none.
     */
    public T next() {
        if (waiting.isEmpty() || queued >= most()) {
            return null;
        }
        queued++;
        return waiting.poll().exchange;
    }

    /** How many wait here. */
    public int size() {
        return waiting.size();
    }
}
