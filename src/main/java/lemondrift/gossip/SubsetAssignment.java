package lemondrift.gossip;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntUnaryOperator;
import lemondrift.model.EndpointUpdate;

/**
 * Assigns a subset of the backends to each proxy of a fleet. A proxy uses the backends with the
 * lowest scores for that proxy (rendezvous hashing). All proxies compute the same scores, so each
 * proxy knows the subsets of the others and none has to send its own.
 *
 * <p>The cost of a change of one backend is one score per proxy, regardless of the number of
 * backends. For each proxy, twice as many backends as the subset size are kept in ranked order. All
 * backends are scored again only when so many ranked backends have been removed that the subset
 * would become too small.
 */
public final class SubsetAssignment {
    /** Number of ranked backends that are kept for each member of a subset. */
    private static final int RANKED_KEYS_PER_SUBSET_MEMBER = 2;

    /** Number of low bits of a hash that a score drops: a double holds only 53 of the 64 bits. */
    private static final int DROPPED_HASH_BITS = 11;

    private static final int[] NO_PROXIES = {};

    private final int proxyCount;
    private final int subsetSize;

    /** The lowest keys of each proxy, by the number of the proxy. */
    private final RankedKeys[] ranked;

    /** The ids of all backends that proxies may use. */
    private final IdSet active = new IdSet();

    /** The proxies that use a backend, by its id; cleared when an id is added or removed. */
    private final Map<Integer, int[]> cachedUsers = new HashMap<>();

    /** The listed backends, by index. */
    private final Map<Integer, ListedBackend> listed = new HashMap<>();

    /** The indexes of the ready backends, by id; two backends may have the same id. */
    private final Map<Integer, Set<Integer>> readyById = new HashMap<>();

    /**
     * The last update of a listed backend.
     *
     * @param id the id at the time of the update; its index may be reassigned to another backend
     *     later
     */
    private record ListedBackend(EndpointUpdate update, int id) {
        private boolean isReady() {
            return update.state() == EndpointUpdate.State.READY;
        }
    }

    /**
     * Creates an assignment without backends.
     *
     * @param proxyCount the number of proxies in the fleet
     * @param subsetSize the maximum number of backend ids that a proxy uses
     */
    public SubsetAssignment(int proxyCount, int subsetSize) {
        this.proxyCount = proxyCount;
        this.subsetSize = subsetSize;
        ranked = new RankedKeys[proxyCount];
        Arrays.setAll(ranked, proxy -> new RankedKeys(subsetSize * RANKED_KEYS_PER_SUBSET_MEMBER));
    }

    /**
     * Returns the score of a backend id for a proxy, from 0 (inclusive) to 1 (exclusive). Every
     * proxy computes the same score.
     */
    public static double score(int proxy, int id) {
        return (hash(proxy, id) >>> DROPPED_HASH_BITS) * 0x1p-53;
    }

    /** Computes one step of SplitMix64, seeded with the two numbers. */
    private static long hash(int proxy, int id) {
        long z = ((long) proxy << Integer.SIZE | id) + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    private static long key(int proxy, int id) {
        return RankedKeys.key(hash(proxy, id), id);
    }

    /** Replaces the ids of the backends that proxies may use. */
    public void setActive(int[] ids) {
        Set<Integer> next = new HashSet<>();
        Arrays.stream(ids).forEach(next::add);
        for (int id : active.toArray()) {
            if (!next.contains(id)) {
                remove(id);
            }
        }
        next.forEach(this::add);
    }

    /**
     * Applies updates of the endpoint list.
     *
     * @param proxy the proxy for which scores and user shares are computed
     * @param complete whether the updates contain all listed backends, so that others are removed
     * @param idOf returns the id of the backend with an index
     * @return the updates with the scores and user shares of the proxy, followed by an update for
     *     each other listed backend whose user share has changed
     */
    public List<EndpointUpdate> applyUpdates(
            int proxy, boolean complete, List<EndpointUpdate> updates, IntUnaryOperator idOf) {
        Set<Integer> affected = subsetOf(proxy);
        if (complete) {
            List.copyOf(listed.keySet()).forEach(this::withdraw);
        }
        updates.forEach(update -> applyUpdate(update, idOf.applyAsInt(update.backend())));
        List<EndpointUpdate> assigned = new ArrayList<>(updates.size() + subsetSize);
        affected.addAll(subsetOf(proxy));
        for (EndpointUpdate update : updates) {
            affected.remove(update.backend());
            assigned.add(assignSubset(proxy, update, idOf.applyAsInt(update.backend())));
        }
        affected.forEach(backend -> addIfShareChanged(proxy, backend, assigned));
        return assigned;
    }

    private void applyUpdate(EndpointUpdate update, int id) {
        withdraw(update.backend());
        if (update.state() == EndpointUpdate.State.READY) {
            readyById.computeIfAbsent(id, key -> new HashSet<>()).add(update.backend());
            add(id);
        }
        if (update.state() != EndpointUpdate.State.GONE) {
            listed.put(update.backend(), new ListedBackend(update.asKnownBackend(), id));
        }
    }

    private void withdraw(int backend) {
        ListedBackend former = listed.remove(backend);
        if (former == null || !former.isReady()) {
            return;
        }
        Set<Integer> sameId = readyById.get(former.id);
        sameId.remove(backend);
        if (sameId.isEmpty()) {
            readyById.remove(former.id);
            remove(former.id);
        }
    }

    private EndpointUpdate assignSubset(int proxy, EndpointUpdate update, int id) {
        double score = score(proxy, id);
        double userShare = userShare(proxy, id);
        listed.computeIfPresent(
                update.backend(),
                (backend, last) ->
                        new ListedBackend(last.update.withSubset(score, userShare), last.id));
        return update.withSubset(score, userShare);
    }

    private void addIfShareChanged(int proxy, int backend, List<EndpointUpdate> assigned) {
        ListedBackend last = listed.get(backend);
        if (last != null && last.update.userShare() != userShare(proxy, last.id)) {
            assigned.add(assignSubset(proxy, last.update, last.id));
        }
    }

    /** Returns the indexes of the backends that a proxy uses. */
    private Set<Integer> subsetOf(int proxy) {
        Set<Integer> backends = new HashSet<>();
        for (int rank = 0; rank < currentSubsetSize(proxy); rank++) {
            backends.addAll(readyById.getOrDefault(ranked[proxy].id(rank), Set.of()));
        }
        return backends;
    }

    /**
     * Returns the share of all proxies that use a backend, from 0 to 1; 0 if the given proxy does
     * not use it.
     */
    private double userShare(int proxy, int id) {
        return uses(proxy, id) ? (double) users(id).length / proxyCount : 0;
    }

    /** Returns whether a proxy uses the backend with an id; false if that backend is not active. */
    public boolean uses(int proxy, int id) {
        int size = currentSubsetSize(proxy);
        return size > 0 && active.contains(id) && key(proxy, id) <= ranked[proxy].key(size - 1);
    }

    private int currentSubsetSize(int proxy) {
        return Math.min(subsetSize, ranked[proxy].size());
    }

    /**
     * Returns the numbers of the proxies that use the backend with an id; empty if that backend is
     * not active. Callers must not modify the array.
     */
    public int[] users(int id) {
        int[] cached = cachedUsers.get(id);
        if (cached != null || !active.contains(id)) {
            return cached == null ? NO_PROXIES : cached;
        }
        int[] all = new int[proxyCount];
        int count = 0;
        for (int proxy = 0; proxy < proxyCount; proxy++) {
            if (uses(proxy, id)) {
                all[count++] = proxy;
            }
        }
        int[] found = Arrays.copyOf(all, count);
        cachedUsers.put(id, found);
        return found;
    }

    private void add(int id) {
        if (!active.add(id)) {
            return;
        }
        cachedUsers.clear();
        for (int proxy = 0; proxy < proxyCount; proxy++) {
            ranked[proxy].add(key(proxy, id));
        }
    }

    private void remove(int id) {
        if (!active.remove(id)) {
            return;
        }
        cachedUsers.clear();
        for (int proxy = 0; proxy < proxyCount; proxy++) {
            ranked[proxy].remove(key(proxy, id));
            if (ranked[proxy].size() < subsetSize && ranked[proxy].isTruncated()) {
                rankAllActive(proxy);
            }
        }
    }

    private void rankAllActive(int proxy) {
        ranked[proxy].clear();
        for (int position = 0; position < active.size(); position++) {
            ranked[proxy].add(key(proxy, active.get(position)));
        }
    }
}
