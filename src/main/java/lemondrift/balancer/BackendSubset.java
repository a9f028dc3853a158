package lemondrift.balancer;

import lemondrift.model.Request;

/**
 * The part of the backends that this proxy uses: the first ones of the table's order. Of all
 * backends each proxy would hear too seldom to know their load.
 *
 * <p>Where other proxies gossip, it is what the list says that this proxy uses, since gossip tells
 * of no others. Else it is {@link #MIN_SIZE} at the least, and as many as this proxy sends requests
 * in the time that it remembers where that is more. One backend of it is exchanged at random from
 * time to time, and at once each that cannot be used.
 */
final class BackendSubset {
    /** As many as can be probed for one attempt. */
    static final int MIN_SIZE =
            UtilizationEstimator.PROBES_PER_ROUND * UtilizationEstimator.MAX_PROBE_ROUNDS;

    /** How many times the subset's size is looked at for backends that can take a request. */
    private static final int MAX_SEARCH_FACTOR = 32;

    private final BackendTable backends;
    private final UtilizationEstimator estimator;
    private final WaitEstimator waits;
    private final DeterministicRandom random;

    /** When the next backend is exchanged. */
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

    /** Exchanges one backend from time to time, and at once each that may not take the request. */
    void refresh(Request request, double now, DecisionStage chain) {
        int size = size(now);
        int exchangedPosition = -1;
        // Guards against sending blindly: gossip tells of no backend outside the subset.
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
     * Draws backends from outside that may take the request, once for each attempt, in place of
     * those of the subset. Guards against rejecting what others could take.
     *
     * @return whether any was found
     */
    boolean widen(Request request, double now, DecisionStage chain) {
        int size = size(now);
        int foundCount = 0;
        // Guards against sending blindly: outside the subset the busiest looks idle to gossip.
        int wantedCount =
                estimator.gossipActive && request.bestBackend != Request.NO_BACKEND ? 0 : size;
        // Guards against holding up all other requests where no backend may take anything.
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
