package lemondrift.gossip;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.IntConsumer;

/**
 * Attempts that the proxy no longer waits for but that the backend may still execute. Each counts
 * as in flight until it expires. Guards against backends looking idle when most attempts time out.
 */
final class AbandonedAttempts {
    /**
     * An abandoned attempt.
     *
     * @param tag the tag of its backend
     * @param expiresAt when it stops counting as in flight, in seconds
     */
    private record Abandoned(int tag, double expiresAt) {}

    /** Ordered by expiry time. */
    private final Queue<Abandoned> queue = new ArrayDeque<>();

    private final TagCounts counts = new TagCounts();

    void add(int tag, double expiresAt) {
        queue.add(new Abandoned(tag, expiresAt));
        counts.increment(tag);
    }

    int count(int tag) {
        return counts.get(tag);
    }

    /** Returns when the next attempt expires, in seconds; infinite if there are no attempts. */
    double nextExpiryAt() {
        return queue.isEmpty() ? Double.POSITIVE_INFINITY : queue.peek().expiresAt;
    }

    /** Removes expired attempts and passes the tag of each to the callback. */
    void expire(double now, IntConsumer onExpired) {
        while (!queue.isEmpty() && queue.peek().expiresAt <= now) {
            int tag = queue.remove().tag;
            counts.decrement(tag);
            onExpired.accept(tag);
        }
    }
}
