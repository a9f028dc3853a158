package lemondrift.connection;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Bounds the queue before the balancer to what can be decided in time, and holds back the rest, of
 * which the one with the earliest deadline goes next. Guards against a queue that makes all
 * requests late where some could be in time. No more than one request for each connection is held
 * back.
 *
 * @param <T> a request as the caller knows it
 */
public final class RequestQueue<T> {
    /** The share of the shortest latency objective that a request may wait for its decision. */
    private static final double MAX_WAIT_SHARE = 0.125;

    /**
     * Wait, in longest waits, from which the balancer is asked whether it would shed the request.
     */
    private static final double BACKLOG_WAIT_FACTOR = 2;

    /** The least capacity of the queue, in requests. */
    private static final int MIN_CAPACITY = 16;

    /** The largest capacity of the queue, in requests, once decisions have been measured. */
    private static final double MAX_CAPACITY = 1e6;

    /** The weight of the newest measurement in the mean time of a decision. */
    private static final double NEWEST_WEIGHT = 1.0 / 16;

    private record HeldRequest<T>(T request, double deadline, long order) {}

    private double maxWaitSeconds;
    private final PriorityQueue<HeldRequest<T>> heldBack =
            new PriorityQueue<>(
                    Comparator.comparingDouble((HeldRequest<T> each) -> each.deadline)
                            .thenComparingLong(HeldRequest::order));
    private double decisionSeconds;
    private long lastOrder;
    private int queued;

    /** A queue for the shortest latency objective of all request classes, in seconds over 0. */
    public RequestQueue(double latencyObjectiveSeconds) {
        setLatencyObjective(latencyObjectiveSeconds);
    }

    /** Another latency objective is the shortest from now on. */
    public void setLatencyObjective(double latencyObjectiveSeconds) {
        maxWaitSeconds = MAX_WAIT_SHARE * latencyObjectiveSeconds;
    }

    /** The balancer took so many requests out of the queue, in so many seconds for all. */
    public void requestsDecided(int requestCount, double totalSeconds) {
        queued -= requestCount;
        if (requestCount > 0) {
            decisionSeconds += (totalSeconds / requestCount - decisionSeconds) * NEWEST_WEIGHT;
        }
    }

    /** How many requests may be in the queue. */
    public int capacity() {
        if (decisionSeconds <= 0) {
            return Integer.MAX_VALUE;
        }
        return (int)
                Math.max(MIN_CAPACITY, Math.min(MAX_CAPACITY, maxWaitSeconds / decisionSeconds));
    }

    private boolean isFull() {
        return queued >= capacity();
    }

    /** Reserves a place in the queue; returns false where there is none. */
    public boolean tryReserve() {
        if (!heldBack.isEmpty() || isFull()) {
            return false;
        }
        queued++;
        return true;
    }

    /** How long a request that comes now would wait for its decision, in seconds. */
    public double expectedWaitSeconds() {
        return (queued + heldBack.size()) * decisionSeconds;
    }

    /** Whether so many wait that one more should be held back only if it would not be shed. */
    public boolean isBacklogged() {
        return expectedWaitSeconds() > BACKLOG_WAIT_FACTOR * maxWaitSeconds;
    }

    /** Holds a request back until there is room for it. */
    public void holdBack(T request, double deadline) {
        heldBack.add(new HeldRequest<>(request, deadline, ++lastOrder));
    }

    /** Takes out the request to queue next, which counts as queued; null if there is none. */
    public T pollNext() {
        if (heldBack.isEmpty() || isFull()) {
            return null;
        }
        queued++;
        return heldBack.poll().request;
    }

    /** How many requests are held back. */
    public int heldBackCount() {
        return heldBack.size();
    }
}
