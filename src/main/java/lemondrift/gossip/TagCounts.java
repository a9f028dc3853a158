package lemondrift.gossip;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Counts the attempts at each backend, by the tag of the backend. Tags without attempts are absent.
 */
final class TagCounts {
    private final Map<Integer, Integer> counts = new HashMap<>();

    void increment(int tag) {
        counts.merge(tag, 1, Integer::sum);
    }

    void decrement(int tag) {
        counts.computeIfPresent(tag, (key, count) -> count > 1 ? count - 1 : null);
    }

    int get(int tag) {
        return counts.getOrDefault(tag, 0);
    }

    Set<Map.Entry<Integer, Integer>> entries() {
        return counts.entrySet();
    }
}
