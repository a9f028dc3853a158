package lemondrift.connection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.IntPredicate;

/**
 * Chooses the connections to close when there are too many, by weighted max-min fairness over the
 * sources. Repeatedly closes a connection of the source with the most connections relative to its
 * weight, so that no source keeps a connection at the expense of a source with fewer connections
 * for its weight. An instance serves one eviction, so that one that fails leaves nothing behind.
 */
final class FairEviction {
    /** The connections of one source that may be closed, in the order in which they were added. */
    private static final class Candidates {
        final ClientSource source;
        final int order;
        int first;
        int last;

        /** Set once: guards against a queue whose order changes while the source is queued. */
        double weight;

        double connectionsPerWeight;

        Candidates(ClientSource source, int order, int first) {
            this.source = source;
            this.order = order;
            this.first = first;
            last = first;
        }

        void updateConnectionsPerWeight() {
            connectionsPerWeight = source.connections / weight;
        }
    }

    private final int[] nextCandidate;
    private final double halfLifeSeconds;
    private final Map<ClientSource, Candidates> candidatesBySource = new HashMap<>();
    private final List<Candidates> candidatesInOrder = new ArrayList<>();

    FairEviction(int capacity, double halfLifeSeconds) {
        nextCandidate = new int[capacity];
        this.halfLifeSeconds = halfLifeSeconds;
    }

    /**
     * Adds a connection that may be closed, after the candidates of its source that were added
     * before.
     */
    void addCandidate(int connection, ClientSource source) {
        nextCandidate[connection] = ConnectionTable.NONE;
        Candidates candidates = candidatesBySource.get(source);
        if (candidates == null) {
            candidates = new Candidates(source, candidatesInOrder.size(), connection);
            candidatesBySource.put(source, candidates);
            candidatesInOrder.add(candidates);
        } else {
            nextCandidate[candidates.last] = connection;
            candidates.last = connection;
        }
    }

    /**
     * Closes connections until the given number is reached or no candidate is left.
     *
     * @param excess how many connections to close
     * @param close closes a connection, and returns whether it is closed
     */
    void evict(int excess, double now, IntPredicate close) {
        var queue =
                new PriorityQueue<Candidates>(
                        Comparator.<Candidates>comparingDouble(each -> -each.connectionsPerWeight)
                                .thenComparingInt(each -> each.order));
        for (Candidates candidates : candidatesInOrder) {
            candidates.weight = candidates.source.weight(now, halfLifeSeconds);
            candidates.updateConnectionsPerWeight();
            queue.add(candidates);
        }
        int remaining = excess;
        while (remaining > 0 && !queue.isEmpty()) {
            Candidates candidates = queue.poll();
            int connection = candidates.first;
            candidates.first = nextCandidate[connection];
            if (close.test(connection)) {
                remaining--;
            }
            if (candidates.first != ConnectionTable.NONE) {
                candidates.updateConnectionsPerWeight();
                queue.add(candidates);
            }
        }
    }
}
