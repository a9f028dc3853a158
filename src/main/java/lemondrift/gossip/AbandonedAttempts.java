package lemondrift.gossip;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.IntConsumer;

/**
 * Attempts that the proxy waits for no more but that the backend may still work on; each counts as
 * in flight until it expires. Guards against backends looking idle where most attempts time out.
 */
final class AbandonedAttempts {
    /** An attempt by its backend's tag, and until when it counts. */
    private record Abandoned(int tag, double expiresAt) {}

    /** In order of expiry. */
    private final Queue<Abandoned> queue = new ArrayDeque<>();

    private final TagCounts counts = new TagCounts();

    void add(int tag, double expiresAt) {
        queue.add(new Abandoned(tag, expiresAt));
        counts.increment(tag);
    }

    int count(int tag) {
        return counts.get(tag);
    }

    /** When the next one expires, in seconds; infinite where there is none. */
    double nextExpiryAt() {
        return queue.isEmpty() ? Double.POSITIVE_INFINITY : queue.peek().expiresAt;
    }

    /** Removes what has expired, and passes on the tag of each. */
    void expire(double now, IntConsumer onExpired) {
        while (!queue.isEmpty() && queue.peek().expiresAt <= now) {
            int tag = queue.remove().tag;
            counts.decrement(tag);
            onExpired.accept(tag);
        }
    }
}
