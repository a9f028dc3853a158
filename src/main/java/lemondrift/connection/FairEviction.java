package lemondrift.connection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.IntPredicate;

/**
 * Who gives way where there are too many: weighted max-min over sources. The source that holds the
 * most places for its weight gives one up, again and again; so nobody can gain a place by which one
 * with fewer would lose.
 */
final class FairEviction {
    private final int[] next;
    private final double half;
    private final List<ClientSource> yielding = new ArrayList<>();

    FairEviction(int places, double half) {
        next = new int[places];
        this.half = half;
    }

    /** A connection that may give way, after those of its source that were named before. */
    void mayYield(int i, ClientSource source) {
        next[i] = -1;
        if (source.firstYielding < 0) {
            source.firstYielding = i;
            yielding.add(source);
        } else {
            next[source.lastYielding] = i;
        }
        source.lastYielding = i;
    }

    /**
     * Has connections close until there were so many, or none is left; close says whether one did.
     */
    void evict(int many, double now, IntPredicate close) {
        // Danger: a weight that changes while its source is queued would leave the order broken.
        record Share(ClientSource source, int order, double weight, double ratio) {}
        var most =
                new PriorityQueue<Share>(
                        Comparator.comparing(Share::ratio).reversed().thenComparing(Share::order));
        for (ClientSource source : yielding) {
            double weight = source.weight(now, half);
            most.add(new Share(source, most.size(), weight, source.held / weight));
        }
        int left = many;
        while (left > 0 && !most.isEmpty()) {
            Share share = most.poll();
            ClientSource source = share.source;
            int i = source.firstYielding;
            source.firstYielding = next[i];
            if (close.test(i)) {
                left--;
            }
            if (source.firstYielding >= 0) {
                most.add(new Share(source, share.order, share.weight, source.held / share.weight));
            }
        }
        yielding.forEach(source -> source.firstYielding = -1);
        yielding.clear();
    }
}
