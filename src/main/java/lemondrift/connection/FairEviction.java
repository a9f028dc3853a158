package lemondrift.connection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.IntPredicate;

/**
 * Chooses the connections to close when there are too many, by weighted max-min fairness over the
 * sources. Repeatedly closes a connection of the source with the most connections relative to its
 * weight, so that no source keeps a connection at the expense of a source with fewer connections
 * for its weight.
 */
final class FairEviction {
    private final int[] nextCandidate;
    private final double halfLifeSeconds;
    private final List<ClientSource> sources = new ArrayList<>();

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
        if (source.firstCandidate == ConnectionTable.NONE) {
            source.firstCandidate = connection;
            sources.add(source);
        } else {
            nextCandidate[source.lastCandidate] = connection;
        }
        source.lastCandidate = connection;
    }

    /**
     * Closes connections until the given number is reached or no candidate is left. Removes all
     * candidates.
     *
     * @param excess how many connections to close
     * @param close closes a connection, and returns whether it did
     */
    void evict(int excess, double now, IntPredicate close) {
        // Guards against a corrupted queue order: the weight of a source must not change while it
        // is queued.
        record Usage(ClientSource source, int order, double weight, double connectionsPerWeight) {}
        var usageQueue =
                new PriorityQueue<Usage>(
                        Comparator.comparing(Usage::connectionsPerWeight)
                                .reversed()
                                .thenComparing(Usage::order));
        for (ClientSource source : sources) {
            double weight = source.weight(now, halfLifeSeconds);
            usageQueue.add(
                    new Usage(source, usageQueue.size(), weight, source.connections / weight));
        }
        int remaining = excess;
        while (remaining > 0 && !usageQueue.isEmpty()) {
            Usage usage = usageQueue.poll();
            ClientSource source = usage.source;
            int connection = source.firstCandidate;
            source.firstCandidate = nextCandidate[connection];
            if (close.test(connection)) {
                remaining--;
            }
            if (source.firstCandidate != ConnectionTable.NONE) {
                usageQueue.add(
                        new Usage(
                                source,
                                usage.order,
                                usage.weight,
                                source.connections / usage.weight));
            }
        }
        sources.forEach(source -> source.firstCandidate = ConnectionTable.NONE);
        sources.clear();
    }
}
