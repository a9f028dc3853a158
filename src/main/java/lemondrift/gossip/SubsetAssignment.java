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
 * Which proxies of a fleet use which backends. Each uses the backends with its least scores
 * (rendezvous hashing); all compute the same scores, so each knows the others' subsets and none
 * need send its own.
 *
 * <p>A change of one backend costs one score for each proxy, whatever the number of backends: for
 * each proxy twice as many backends as its subset has are kept in order, and all are scored again
 * only when so many of those have gone that the subset itself would be short.
 */
public final class SubsetAssignment {
    /** So many ranked backends are kept for each place of a subset. */
    private static final int RANKED_KEYS_PER_SUBSET_MEMBER = 2;

    /** Low bits of a hash that a score drops, as a double has room for 53 of 64. */
    private static final int DROPPED_HASH_BITS = 11;

    private static final int[] NO_PROXIES = {};

    private final int proxyCount;
    private final int subsetSize;

    /** The least keys of each proxy, by its number. */
    private final RankedKeys[] ranked;

    /** The ids of all backends that may be used. */
    private final IdSet active = new IdSet();

    /** The users of a backend by its id, until an id comes or goes. */
    private final Map<Integer, int[]> cachedUsers = new HashMap<>();

    /** What is listed, by the backend's index. */
    private final Map<Integer, ListedBackend> listed = new HashMap<>();

    /** The indexes of the backends that are ready, by id; two backends may have one id. */
    private final Map<Integer, Set<Integer>> readyById = new HashMap<>();

    /**
     * A backend as it was listed last.
     *
     * @param id its id then; its index may stand for another backend later
     */
    private record ListedBackend(EndpointUpdate update, int id) {
        private boolean isReady() {
            return update.state() == EndpointUpdate.State.READY;
        }
    }

    /** The subsets of a number of proxies, each of so many backends. */
    public SubsetAssignment(int proxyCount, int subsetSize) {
        this.proxyCount = proxyCount;
        this.subsetSize = subsetSize;
        ranked = new RankedKeys[proxyCount];
        Arrays.setAll(ranked, proxy -> new RankedKeys(subsetSize * RANKED_KEYS_PER_SUBSET_MEMBER));
    }

    /** The score of a backend's id at a proxy, from 0 to 1; the same wherever it is computed. */
    public static double score(int proxy, int id) {
        return (hash(proxy, id) >>> DROPPED_HASH_BITS) * 0x1p-53;
    }

    /** One step of SplitMix64 from the seed that the two numbers make. */
    private static long hash(int proxy, int id) {
        long z = ((long) proxy << Integer.SIZE | id) + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    private static long key(int proxy, int id) {
        return RankedKeys.key(hash(proxy, id), id);
    }

    /** Sets the ids of all backends that may be used. */
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
     * Takes over updates of the endpoint list. Returns them with the scores and user shares of one
     * proxy, and after them each backend listed before whose user share has changed by them.
     *
     * @param complete whether nothing but these backends is listed
     * @param idOf the id of the backend of an index
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

    /** The indexes of the backends that a proxy uses. */
    private Set<Integer> subsetOf(int proxy) {
        Set<Integer> backends = new HashSet<>();
        for (int rank = 0; rank < currentSubsetSize(proxy); rank++) {
            backends.addAll(readyById.getOrDefault(ranked[proxy].id(rank), Set.of()));
        }
        return backends;
    }

    /** The share of all proxies that use a backend, from 0 to 1; 0 where this one does not. */
    private double userShare(int proxy, int id) {
        return uses(proxy, id) ? (double) users(id).length / proxyCount : 0;
    }

    /** Whether a proxy uses the backend of an id; nobody uses one that is not listed. */
    public boolean uses(int proxy, int id) {
        int size = currentSubsetSize(proxy);
        return size > 0 && active.contains(id) && key(proxy, id) <= ranked[proxy].key(size - 1);
    }

    private int currentSubsetSize(int proxy) {
        return Math.min(subsetSize, ranked[proxy].size());
    }

    /** The numbers of the proxies that use the backend of an id; not to be changed. */
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
        for (int place = 0; place < active.size(); place++) {
            ranked[proxy].add(key(proxy, active.get(place)));
        }
    }
}
