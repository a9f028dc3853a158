package lemondrift.balancer;

import lemondrift.model.Request;

/**
 * The subset of the backends that this proxy uses: the first ones in the table's order. If a proxy
 * used all backends, it would hear from each one too rarely to know its load.
 *
 * <p>If other proxies gossip, the subset is the backends that this proxy uses according to the
 * endpoint list, because gossip covers no others. Otherwise it has at least {@link #MIN_SIZE}
 * backends, and as many as this proxy sends requests within {@link BackendTable#memorySeconds} if
 * that is more. From time to time one of its backends is exchanged at random, and each backend that
 * cannot be used is exchanged at once.
 */
final class BackendSubset {
    /** As many backends as can be probed for one attempt. */
    static final int MIN_SIZE =
            UtilizationEstimator.PROBES_PER_ROUND * UtilizationEstimator.MAX_PROBE_ROUNDS;

    /**
     * How many times the size of the subset is searched for backends that are eligible for a
     * request.
     */
    private static final int MAX_SEARCH_FACTOR = 32;

    private final BackendTable backends;
    private final UtilizationEstimator estimator;
    private final WaitEstimator waits;
    private final DeterministicRandom random;

    /** When the next backend is exchanged, in seconds. */
    private double nextExchangeAt;

    BackendSubset(
            BackendTable backends,
            UtilizationEstimator estimator,
            WaitEstimator waits,
            DeterministicRandom random) {
        this.backends = backends;
        this.estimator = estimator;
        this.waits = waits;
        this.random = random;
    }

    int size(double now) {
        backends.updateOrder();
        return estimator.gossipActive && backends.gossipedBackendCount > 0
                ? backends.gossipedBackendCount
                : (int)
                        Math.min(
                                backends.order.length,
                                Math.max(
                                        MIN_SIZE,
                                        waits.ownRate.value(now) * backends.memorySeconds));
    }

    /**
     * Exchanges one backend from time to time, and at once each backend that is not eligible for
     * the request.
     */
    void refresh(Request request, double now, DecisionStage chain) {
        int size = size(now);
        int exchangedPosition = -1;
        // Guards against sending without load information: gossip covers no backend outside the
        // subset.
        int outsideCount = estimator.gossipActive ? 0 : backends.order.length - size;
        if (now >= nextExchangeAt) {
            nextExchangeAt = now + random.jitter(backends.memorySeconds);
            exchangedPosition = estimator.gossipActive ? -1 : (int) (random.nextDouble() * size);
            backends.sortBySubsetScore();
        }
        for (int position = 0; position < size && outsideCount > 0; position++) {
            if (position == exchangedPosition
                    || !chain.isBackendEligible(request, backends.order[position], now)) {
                backends.swap(position, size + (int) (random.nextDouble() * outsideCount));
            }
        }
    }

    /**
     * Draws backends that are eligible for the request from outside the subset, once for each
     * attempt, and exchanges them with backends of the subset. Guards against rejecting a request
     * that other backends could take.
     *
     * @return whether any backend was found
     */
    boolean widen(Request request, double now, DecisionStage chain) {
        int size = size(now);
        int foundCount = 0;
        // Guards against sending without load information: gossip does not cover a backend outside
        // the subset, so that even the busiest one looks idle.
        int wantedCount =
                estimator.gossipActive && request.bestBackend != Request.NO_BACKEND ? 0 : size;
        // Guards against delaying all other requests by a long search if no backend is eligible.
        int end =
                (int)
                        Math.min(
                                backends.order.length,
                                size + (long) MAX_SEARCH_FACTOR * Math.max(size, MIN_SIZE));
        for (int position = size;
                position < end && foundCount < wantedCount && request.subsetRedraws == 0;
                position++) {
            backends.swap(
                    position,
                    position + (int) (random.nextDouble() * (backends.order.length - position)));
            if (chain.isBackendEligible(request, backends.order[position], now)) {
                backends.swap(foundCount++, position);
            }
        }
        request.subsetRedraws++;
        request.probeRounds = 0;
        return foundCount > 0;
    }
}
