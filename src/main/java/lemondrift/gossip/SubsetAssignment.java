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
 * Which proxies of a fleet use which backends. Each uses the subset of those with its least scores
 * (rendezvous hashing), and all reckon the same scores, so that each knows the others' subsets and
 * none need tell its own.
 *
 * <p>A change of one backend costs as many scores as there are proxies, whatever the number of
 * backends: for each proxy the best backends are kept in order, twice as many as its subset has,
 * and all are scored anew only when so many of those have gone that the subset itself would be
 * short.
 */
public final class SubsetAssignment {
    /** For each backend of a subset so many of the next best are kept in order. */
    private static final int KEPT_PER_PLACE = 2;

    /** A key is a score above the backend's id, so that sorting keys sorts by score. */
    private static final int ID_BITS = 24;

    private static final int SCORE_BITS = 39;

    private static final int[] NOBODY = {};

    private final int proxies;
    private final int width;
    private final BestKeys[] best;
    private final ActiveIds active = new ActiveIds();

    /** By backend id, as long as no list changes. */
    private final Map<Integer, int[]> users = new HashMap<>();

    /** What is listed, by index. */
    private final Map<Integer, Known> known = new HashMap<>();

    /** The indexes that are ready, by backend id; two backends may have one id. */
    private final Map<Integer, Set<Integer>> byId = new HashMap<>();

    /**
     * A line as it was told last, and its backend's id then; an index may stand for another one
     * later.
     */
    private record Known(EndpointUpdate line, int id) {
        private boolean isReady() {
            return line.state() == EndpointUpdate.State.READY;
        }
    }

    /** The number of proxies, and how many backends each uses. */
    public SubsetAssignment(int proxies, int width) {
        this.proxies = proxies;
        this.width = width;
        best = new BestKeys[proxies];
        Arrays.setAll(best, proxy -> new BestKeys(width * KEPT_PER_PLACE));
    }

    /** The score of a backend id at a proxy, the same wherever it is reckoned; from 0 to 1. */
    public static double score(int proxy, int id) {
        return (mixed(proxy, id) >>> 11) * 0x1p-53;
    }

    /** One step of SplitMix64 from the seed that the two numbers make. */
    private static long mixed(int proxy, int id) {
        long z = ((long) proxy << Integer.SIZE | id) + 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    private static long key(int proxy, int id) {
        return mixed(proxy, id) >>> (Long.SIZE - SCORE_BITS) << ID_BITS | id;
    }

    /** The ids of all backends that may be used. */
    public void listed(int[] ids) {
        Set<Integer> next = new HashSet<>();
        Arrays.stream(ids).forEach(next::add);
        for (int id : active.all()) {
            if (!next.contains(id)) {
                remove(id);
            }
        }
        next.forEach(this::add);
    }

    /**
     * Lines of a list as a proxy's decisions are to have them, with that proxy's scores, and with
     * them each line told before of which another share of the proxies uses the backend now.
     *
     * @param whole whether nothing is listed but these lines
     * @param id the backend id of an index
     */
    public List<EndpointUpdate> assigned(
            int proxy, boolean whole, List<EndpointUpdate> updates, IntUnaryOperator id) {
        Set<Integer> affected = backendsOfSubset(proxy);
        if (whole) {
            List.copyOf(known.keySet()).forEach(this::withdraw);
        }
        updates.forEach(update -> replace(update, id.applyAsInt(update.backend())));
        List<EndpointUpdate> told = new ArrayList<>(updates.size() + width);
        affected.addAll(backendsOfSubset(proxy));
        for (EndpointUpdate update : updates) {
            affected.remove(update.backend());
            told.add(scored(proxy, update, id.applyAsInt(update.backend())));
        }
        affected.forEach(backend -> tellChange(proxy, backend, told));
        return told;
    }

    private void replace(EndpointUpdate update, int id) {
        withdraw(update.backend());
        if (update.state() == EndpointUpdate.State.READY) {
            byId.computeIfAbsent(id, none -> new HashSet<>()).add(update.backend());
            add(id);
        }
        if (update.state() != EndpointUpdate.State.GONE) {
            known.put(update.backend(), new Known(update.asKnownBackend(), id));
        }
    }

    private void withdraw(int backend) {
        Known former = known.remove(backend);
        if (former == null || !former.isReady()) {
            return;
        }
        Set<Integer> same = byId.get(former.id);
        same.remove(backend);
        if (same.isEmpty()) {
            byId.remove(former.id);
            remove(former.id);
        }
    }

    private EndpointUpdate scored(int proxy, EndpointUpdate update, int id) {
        double score = score(proxy, id);
        double used = used(proxy, id);
        known.computeIfPresent(
                update.backend(),
                (backend, its) -> new Known(its.line.withSubset(score, used), its.id));
        return update.withSubset(score, used);
    }

    private void tellChange(int proxy, int backend, List<EndpointUpdate> told) {
        Known its = known.get(backend);
        if (its != null && its.line.userShare() != used(proxy, its.id)) {
            told.add(scored(proxy, its.line, its.id));
        }
    }

    private Set<Integer> backendsOfSubset(int proxy) {
        Set<Integer> backends = new HashSet<>();
        for (int i = 0; i < subsetSize(proxy); i++) {
            backends.addAll(byId.getOrDefault(best[proxy].id(i), Set.of()));
        }
        return backends;
    }

    /** The share of all proxies that use a backend; 0 where this one does not. */
    private double used(int proxy, int id) {
        return uses(proxy, id) ? (double) users(id).length / proxies : 0;
    }

    /** Whether a proxy uses the backend of an id; nobody uses one that is not listed. */
    public boolean uses(int proxy, int id) {
        int size = subsetSize(proxy);
        return size > 0 && active.has(id) && key(proxy, id) <= best[proxy].keys[size - 1];
    }

    private int subsetSize(int proxy) {
        return Math.min(width, best[proxy].size);
    }

    /** The numbers of the proxies that use the backend of an id. */
    public int[] users(int id) {
        int[] cached = users.get(id);
        if (cached != null || !active.has(id)) {
            return cached == null ? NOBODY : cached;
        }
        int[] all = new int[proxies];
        int count = 0;
        for (int proxy = 0; proxy < proxies; proxy++) {
            if (uses(proxy, id)) {
                all[count++] = proxy;
            }
        }
        int[] found = Arrays.copyOf(all, count);
        users.put(id, found);
        return found;
    }

    private void add(int id) {
        if (!active.add(id)) {
            return;
        }
        users.clear();
        for (int proxy = 0; proxy < proxies; proxy++) {
            best[proxy].add(key(proxy, id));
        }
    }

    private void remove(int id) {
        if (!active.remove(id)) {
            return;
        }
        users.clear();
        for (int proxy = 0; proxy < proxies; proxy++) {
            best[proxy].remove(key(proxy, id));
            if (best[proxy].size < width && best[proxy].leftOut) {
                fill(proxy);
            }
        }
    }

    private void fill(int proxy) {
        best[proxy].clear();
        for (int i = 0; i < active.size; i++) {
            best[proxy].add(key(proxy, active.ids[i]));
        }
    }

    /** The least keys of one proxy, in order. */
    private static final class BestKeys {
        private final long[] keys;
        private int size;

        /** Whether there are others beyond those that are kept. */
        private boolean leftOut;

        private BestKeys(int most) {
            keys = new long[most];
        }

        private void clear() {
            size = 0;
            leftOut = false;
        }

        private int id(int place) {
            return (int) (keys[place] & (1 << ID_BITS) - 1);
        }

        private void add(long key) {
            // Where some were left out, one that is behind all that are kept may be behind those as
            // well.
            boolean behind = size == 0 || key > keys[size - 1];
            if (behind && (leftOut || size == keys.length)) {
                leftOut = true;
                return;
            }
            int place = -1 - Arrays.binarySearch(keys, 0, size, key);
            leftOut |= size == keys.length;
            size = Math.min(keys.length, size + 1);
            System.arraycopy(keys, place, keys, place + 1, size - 1 - place);
            keys[place] = key;
        }

        private void remove(long key) {
            int place = Arrays.binarySearch(keys, 0, size, key);
            if (place >= 0) {
                size--;
                System.arraycopy(keys, place + 1, keys, place, size - place);
            }
        }
    }

    /** A set of ids that can be gone through without an object for each. */
    private static final class ActiveIds {
        private final Map<Integer, Integer> places = new HashMap<>();
        private int[] ids = new int[16];
        private int size;

        private boolean has(int id) {
            return places.containsKey(id);
        }

        private int[] all() {
            return Arrays.copyOf(ids, size);
        }

        private boolean add(int id) {
            if (places.putIfAbsent(id, size) != null) {
                return false;
            }
            ids = size < ids.length ? ids : Arrays.copyOf(ids, 2 * size);
            ids[size++] = id;
            return true;
        }

        private boolean remove(int id) {
            Integer place = places.remove(id);
            if (place == null) {
                return false;
            }
            int last = ids[--size];
            if (last != id) {
                ids[place] = last;
                places.put(last, place);
            }
            return true;
        }
    }
}
