package lemondrift.connection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.IntPredicate;

/**
 * Which connections are closed where there are too many: weighted max-min fairness over sources.
 * The source with the most connections for its weight loses one, again and again, so that no source
 * gains a connection by which one with fewer would lose.
 */
final class FairEviction {
    private final int[] nextCandidate;
    private final double halfLifeSeconds;
    private final List<ClientSource> sources = new ArrayList<>();

    FairEviction(int capacity, double halfLifeSeconds) {
        nextCandidate = new int[capacity];
        this.halfLifeSeconds = halfLifeSeconds;
    }

    /** A connection that may be closed, after those of its source that were added before. */
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
     * Closes connections until there were so many, or no candidate is left.
     *
     * @param close closes a connection and says whether it did
     */
    void evict(int excess, double now, IntPredicate close) {
        // Guards against a broken order: a weight must not change while its source is queued.
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
