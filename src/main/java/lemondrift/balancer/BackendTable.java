package lemondrift.balancer;

import java.util.Arrays;
import java.util.List;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Settings;

/**
 * The state that all stages share: the settings in force, and the endpoint list in parallel arrays
 * by backend index, with this proxy's attempts in flight at each backend.
 */
final class BackendTable {
    /** How many windows back this proxy's own observations count. */
    private static final double MEMORY_WINDOWS = 8;

    /**
     * The bits of a subset score. The score is placed above a position in one number, so that
     * sorting is cheap.
     */
    private static final int SCORE_BITS = 40;

    /** The bits of a position in the order. */
    private static final int POSITION_BITS = 20;

    /** The settings in force. A request keeps the terms under which it arrived. */
    Settings settings;

    /** The shortest latency objective of a request class, in seconds. */
    double windowSeconds;

    /** How far back this proxy's own observations count, in seconds. */
    double memorySeconds;

    /** The number of backend indexes. */
    int size;

    /** By backend: its last update. */
    EndpointUpdate[] endpoint = {};

    /** By backend: whether the list gives it as ready. */
    boolean[] ready = {};

    /** By backend: this proxy's attempts in flight. */
    int[] inFlight = {};

    /** By backend: when the unanswered probe was sent, in seconds; 0 if there is none. */
    double[] probeSentAt = {};

    /** By backend: the score that it was last ranked by; infinite if it was not eligible. */
    double[] rankingScore = {};

    /** The mean weight of the ready backends; 1 if weights are not used. */
    double meanWeight = 1;

    /** The ready backends in this proxy's own random order; the subset that it uses comes first. */
    int[] order = {};

    /**
     * The number of ready backends that the list gives as used by this proxy, so that gossip covers
     * them.
     */
    int gossipedBackendCount;

    private final DeterministicRandom random;
    private boolean[] presentInOrder = {};
    private boolean orderUpToDate = true;

    /** By backend: when it last started, in seconds; 0 if that is long ago or not known. */
    private double[] startedAt = {};

    /** By backend: a start at this time or later has not been handled yet, in seconds. */
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
     * Applies a part of the endpoint list. The cost is proportional to the number of updates, plus
     * one pass over the order if a backend leaves it.
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

    /** Inserts each backend that has become ready at a random position of the order. */
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

    /**
     * Counts the backends that gossip covers and moves this proxy's subset to the front of the
     * order. Does nothing if no list was applied since the last call.
     */
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
     * Moves the backends with the lowest subset scores to the front if scores are given: gossip
     * covers these backends and no others.
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

    /** Exchanges the backends at two positions of the order. */
    void swap(int position, int otherPosition) {
        int backend = order[position];
        order[position] = order[otherPosition];
        order[otherPosition] = backend;
    }

    /**
     * Returns whether the list gives a start of the backend that has not been handled yet; true
     * only once for each start.
     */
    boolean consumeNewStart(int backend) {
        if (startedAt[backend] >= firstUnhandledStart[backend]) {
            firstUnhandledStart[backend] = Math.nextUp(startedAt[backend]);
            return true;
        }
        return false;
    }

    /**
     * Returns the share (0 to 1) of its full capacity that a backend has at least. It rises
     * linearly from the setting slowStartMinShare at the start of the backend to 1 after
     * slowStartSeconds, when the backend is warm. It is 1 if the backend started long ago or its
     * start is not known.
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
