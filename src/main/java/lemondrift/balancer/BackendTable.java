package lemondrift.balancer;

import java.util.Arrays;
import java.util.List;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Settings;

/**
 * What all stages share: the settings in force, and the endpoint list in parallel arrays by backend
 * index, with what this proxy has in flight at each backend.
 */
final class BackendTable {
    /** How many windows back the proxy's own observations count. */
    private static final double MEMORY_WINDOWS = 8;

    /**
     * Bits of a subset score, which stands above a place in one number so that it sorts cheaply.
     */
    private static final int SCORE_BITS = 40;

    /** Bits of a place in the order. */
    private static final int POSITION_BITS = 20;

    /** The settings in force; a request keeps the terms that it arrived under. */
    Settings settings;

    /** The shortest latency objective of a request class, in seconds. */
    double windowSeconds;

    /** How far back the proxy's own observations count, in seconds. */
    double memorySeconds;

    /** How many backend indexes there are. */
    int size;

    /** The last update of each backend. */
    EndpointUpdate[] endpoint = {};

    /** Whether the list gives the backend as ready. */
    boolean[] ready = {};

    /** This proxy's attempts in flight. */
    int[] inFlight = {};

    /** When the probe that is out was sent; 0 where none is. */
    double[] probeSentAt = {};

    /** What each backend was last ranked by; infinite where it could not be used. */
    double[] rankingScore = {};

    /** The mean weight of the ready backends; 1 where weights do not count. */
    double meanWeight = 1;

    /** The ready backends in this proxy's own random order, the subset that it uses first. */
    int[] order = {};

    /** How many ready backends the list gives as used by this proxy and others. */
    int gossipedBackendCount;

    private final DeterministicRandom random;
    private boolean[] presentInOrder = {};
    private boolean orderUpToDate = true;

    /** When each backend last started; 0 is long ago or not known. */
    private double[] startedAt = {};

    /** Above all starts that were acted on. */
    private double[] firstUnhandledStart = {};

    BackendTable(Settings settings, DeterministicRandom random) {
        this.random = random;
        settingsChanged(settings);
    }

    void settingsChanged(Settings settings) {
        this.settings = settings;
        windowSeconds = settings.windowSeconds();
        memorySeconds = MEMORY_WINDOWS * windowSeconds;
    }

    /**
     * Takes over a part of the endpoint list. The work is that of the updates given, and one pass
     * over the order where a backend leaves it.
     *
     * @param full whether backends that are not among the updates are no longer listed
     */
    void applyUpdates(boolean full, List<EndpointUpdate> updates) {
        boolean backendLeaves = full;
        Arrays.fill(ready, 0, full ? size : 0, false);
        ensureCapacity(updates);
        for (EndpointUpdate update : updates) {
            int backend = update.backend();
            endpoint[backend] = update.withWeightIf(settings.usesEndpointWeights());
            backendLeaves |= ready[backend] && update.state() != EndpointUpdate.State.READY;
            ready[backend] = update.state() == EndpointUpdate.State.READY;
            startedAt[backend] =
                    Math.max(update.newBackend() ? 0 : startedAt[backend], update.startedAt());
            firstUnhandledStart[backend] = update.newBackend() ? 0 : firstUnhandledStart[backend];
        }
        if (backendLeaves) {
            removeUnready();
        }
        insertNewlyReady(updates);
        meanWeight = settings.usesEndpointWeights() ? meanWeightOfReady() : 1;
        orderUpToDate = false;
    }

    private void ensureCapacity(List<EndpointUpdate> updates) {
        int newSize = size;
        for (EndpointUpdate update : updates) {
            newSize = Math.max(newSize, update.backend() + 1);
        }
        if (newSize == size) {
            return;
        }
        size = newSize;
        ready = Arrays.copyOf(ready, size);
        presentInOrder = Arrays.copyOf(presentInOrder, size);
        endpoint = Arrays.copyOf(endpoint, size);
        startedAt = Arrays.copyOf(startedAt, size);
        firstUnhandledStart = Arrays.copyOf(firstUnhandledStart, size);
        inFlight = Arrays.copyOf(inFlight, size);
        probeSentAt = Arrays.copyOf(probeSentAt, size);
        rankingScore = Arrays.copyOf(rankingScore, size);
    }

    private void removeUnready() {
        int kept = 0;
        for (int backend : order) {
            presentInOrder[backend] = ready[backend];
            if (ready[backend]) {
                order[kept++] = backend;
            }
        }
        order = Arrays.copyOf(order, kept);
    }

    /** Puts each backend that has become ready at a random place. */
    private void insertNewlyReady(List<EndpointUpdate> updates) {
        int[] added =
                updates.stream()
                        .mapToInt(EndpointUpdate::backend)
                        .filter(backend -> ready[backend] && !presentInOrder[backend])
                        .sorted()
                        .distinct()
                        .toArray();
        int oldLength = order.length;
        order = Arrays.copyOf(order, oldLength + added.length);
        System.arraycopy(added, 0, order, oldLength, added.length);
        for (int position = oldLength; position < order.length; position++) {
            presentInOrder[order[position]] = true;
            swap(position, (int) (random.nextDouble() * (position + 1)));
        }
    }

    private double meanWeightOfReady() {
        double sum = 0;
        for (int backend : order) {
            sum += endpoint[backend].weight();
        }
        return order.length == 0 ? 1 : sum / order.length;
    }

    /** Counts and puts first the subset that gossip covers, once for all lists since the last. */
    void updateOrder() {
        if (orderUpToDate) {
            return;
        }
        orderUpToDate = true;
        gossipedBackendCount = 0;
        for (int backend : order) {
            gossipedBackendCount += endpoint[backend].userShare() > 0 ? 1 : 0;
        }
        sortBySubsetScore();
    }

    /**
     * Puts the backends of the lowest subset scores first, where scores are given: gossip tells of
     * those and of no more.
     */
    void sortBySubsetScore() {
        long[] scoresAndPositions = new long[order.length];
        boolean hasScores = false;
        for (int position = 0; position < order.length; position++) {
            double score = endpoint[order[position]].subsetScore();
            hasScores |= score > 0;
            scoresAndPositions[position] =
                    (long) (score * (1L << SCORE_BITS)) << POSITION_BITS | position;
        }
        if (!hasScores) {
            return;
        }
        Arrays.sort(scoresAndPositions);
        int[] previousOrder = order;
        order = new int[previousOrder.length];
        for (int position = 0; position < order.length; position++) {
            order[position] =
                    previousOrder[(int) (scoresAndPositions[position] & (1 << POSITION_BITS) - 1)];
        }
    }

    /** Exchanges the backends at two places of the order. */
    void swap(int position, int otherPosition) {
        int backend = order[position];
        order[position] = order[otherPosition];
        order[otherPosition] = backend;
    }

    /** Whether a start of the backend is listed that nobody has acted on; true once for each. */
    boolean consumeNewStart(int backend) {
        if (startedAt[backend] >= firstUnhandledStart[backend]) {
            firstUnhandledStart[backend] = Math.nextUp(startedAt[backend]);
            return true;
        }
        return false;
    }

    /**
     * The share (0 to 1) of its full capacity that a backend has at the least. It rises linearly
     * over the slow start of the settings, from their least share to 1, which is warm.
     */
    double warmShare(int backend, double now) {
        double elapsedShare =
                startedAt[backend] <= 0
                        ? 1
                        : Math.max(0, now - startedAt[backend])
                                / settings.rules().slowStartSeconds();
        double minShare = settings.rules().slowStartMinShare();
        return elapsedShare >= 1 ? 1 : minShare + (1 - minShare) * elapsedShare;
    }
}
