package lemondrift.connection;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Bounds the queue in front of the balancer to the number of requests that can be decided in time,
 * and holds back the others. The held-back request with the earliest deadline is queued next.
 * Guards against a queue that makes all requests late when some could be in time. Holds back at
 * most one request for each connection.
 *
 * @param <T> the caller's type of a request
 */
public final class RequestQueue<T> {
    /** The share of the shortest latency objective that a request may wait for its decision. */
    private static final double MAX_WAIT_SHARE = 0.125;

    /**
     * Expected wait, in multiples of the longest wait, above which the balancer is asked whether it
     * would shed the request.
     */
    private static final double BACKLOG_WAIT_FACTOR = 2;

    /** The smallest capacity of the queue, in requests. */
    private static final int MIN_CAPACITY = 16;

    /** The largest capacity of the queue, in requests, once decisions have been measured. */
    private static final double MAX_CAPACITY = 1e6;

    /** The weight of the newest measurement in the moving average of the time of a decision. */
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

    /**
     * Creates a queue.
     *
     * @param latencyObjectiveSeconds the shortest latency objective of all request classes, greater
     *     than 0
     */
    public RequestQueue(double latencyObjectiveSeconds) {
        setLatencyObjective(latencyObjectiveSeconds);
    }

    /** Sets the shortest latency objective of all request classes, in seconds, greater than 0. */
    public void setLatencyObjective(double latencyObjectiveSeconds) {
        maxWaitSeconds = MAX_WAIT_SHARE * latencyObjectiveSeconds;
    }

    /**
     * Records that the balancer has taken requests out of the queue and decided them.
     *
     * @param totalSeconds the time taken for all of them
     */
    public void requestsDecided(int requestCount, double totalSeconds) {
        queued -= requestCount;
        if (requestCount > 0) {
            decisionSeconds += (totalSeconds / requestCount - decisionSeconds) * NEWEST_WEIGHT;
        }
    }

    /**
     * Returns how many requests may be in the queue; {@code Integer.MAX_VALUE} until a decision has
     * been measured.
     */
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

    /**
     * Reserves room for a request in the queue. Returns false if the queue is full or requests are
     * held back.
     */
    public boolean tryReserve() {
        if (!heldBack.isEmpty() || isFull()) {
            return false;
        }
        queued++;
        return true;
    }

    /**
     * Returns how many seconds a request that arrives now would wait for its decision; 0 until a
     * decision has been measured.
     */
    public double expectedWaitSeconds() {
        return (queued + heldBack.size()) * decisionSeconds;
    }

    /**
     * Returns whether the expected wait is so long that another request should be held back only if
     * the balancer would not shed it.
     */
    public boolean isBacklogged() {
        return expectedWaitSeconds() > BACKLOG_WAIT_FACTOR * maxWaitSeconds;
    }

    /** Holds a request back until there is room for it in the queue. */
    public void holdBack(T request, double deadline) {
        heldBack.add(new HeldRequest<>(request, deadline, ++lastOrder));
    }

    /**
     * Removes and returns the held-back request to queue next, and counts it as queued; null if
     * none is held back or the queue is full.
     */
    public T pollNext() {
        if (heldBack.isEmpty() || isFull()) {
            return null;
        }
        queued++;
        return heldBack.poll().request;
    }

    /** Returns how many requests are held back. */
    public int heldBackCount() {
        return heldBack.size();
    }
}
