package lemondrift.gossip;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import lemondrift.model.EndpointUpdate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.junit.jupiter.api.Test;

/** Tests the subsets and the shares of the proxies that use a backend. */
class SubsetAssignmentTest {
    private static final int SUBSET_SIZE = 12;

    private static EndpointUpdate update(int backend, EndpointUpdate.State state) {
        return new EndpointUpdate(backend, false, 0, 0, state, 0);
    }

    private static List<EndpointUpdate> readyUpdates(int from, int to) {
        return IntStream.range(from, to)
                .mapToObj(i -> update(i, EndpointUpdate.State.READY))
                .toList();
    }

    private static EndpointUpdate updateOf(List<EndpointUpdate> updates, int backend) {
        return updates.stream()
                .filter(update -> update.backend() == backend)
                .findFirst()
                .orElseThrow();
    }

    /** Guards against all proxies together overloading a backend in slow start. */
    @Property(tries = 50, seed = "48")
    void userSharesOfABackendSumToOne(
            @ForAll @IntRange(min = 2, max = 60) int proxies,
            @ForAll @IntRange(min = 1, max = 40) int backends) {
        double[] shares = new double[backends];
        for (int proxy = 0; proxy < proxies; proxy++) {
            for (EndpointUpdate update :
                    new SubsetAssignment(proxies, SUBSET_SIZE)
                            .applyUpdates(proxy, true, readyUpdates(0, backends), i -> i)) {
                // A proxy that does not use the backend is left out: it falls back to the share
                // that it used before user shares were known.
                shares[update.backend()] +=
                        update.userShare() > 0 ? 1 / (proxies * update.userShare()) : 0;
                assertTrue(update.userShare() >= 0 && update.userShare() <= 1, update.toString());
            }
        }
        for (double share : shares) {
            assertTrue(share == 0 || Math.abs(share - 1) < 1e-9, "sum of the shares: " + share);
        }
    }

    /** Returns the subset of a proxy, computed by sorting all ready backends. */
    private static List<Integer> expectedSubset(int proxy, Set<Integer> ready) {
        return ready.stream()
                .sorted(Comparator.comparing(id -> SubsetAssignment.score(proxy, id)))
                .limit(SUBSET_SIZE)
                .toList();
    }

    private static double expectedUserShare(int proxy, int proxies, int id, Set<Integer> ready) {
        return !expectedSubset(proxy, ready).contains(id)
                ? 0
                : (double)
                                IntStream.range(0, proxies)
                                        .filter(p -> expectedSubset(p, ready).contains(id))
                                        .count()
                        / proxies;
    }

    /**
     * Checks after random changes that the last update of each backend equals the result of sorting
     * all backends, and that unchanged backends get no update.
     */
    @Property(tries = 40, seed = "48")
    void matchesFullSortAfterManyChanges(@ForAll long seed) {
        Random random = new Random(seed);
        int proxies = 1 + random.nextInt(8);
        int self = random.nextInt(proxies);
        int backends = 60;
        SubsetAssignment subsets = new SubsetAssignment(proxies, SUBSET_SIZE);
        TreeSet<Integer> ready = new TreeSet<>();
        Map<Integer, EndpointUpdate> lastUpdates = new HashMap<>();
        for (int step = 0; step < 25; step++) {
            boolean complete = random.nextInt(8) == 0;
            Map<Integer, EndpointUpdate> changes = new HashMap<>();
            for (int i = random.nextInt(complete ? 40 : 10); i > 0; i--) {
                int backend = random.nextInt(backends);
                changes.put(
                        backend, update(backend, EndpointUpdate.State.values()[random.nextInt(3)]));
            }
            if (complete) {
                ready.clear();
            }
            changes.values()
                    .forEach(
                            update -> {
                                ready.remove(update.backend());
                                if (update.state() == EndpointUpdate.State.READY) {
                                    ready.add(update.backend());
                                }
                            });
            Map<Integer, EndpointUpdate> before = Map.copyOf(lastUpdates);
            List<EndpointUpdate> assigned =
                    subsets.applyUpdates(self, complete, List.copyOf(changes.values()), i -> i);
            assigned.forEach(update -> lastUpdates.put(update.backend(), update));
            for (int id : ready) {
                assertEquals(
                        expectedUserShare(self, proxies, id, ready),
                        lastUpdates.get(id).userShare(),
                        "seed " + seed);
                assertEquals(
                        expectedSubset(self, ready).contains(id),
                        subsets.uses(self, id),
                        "seed " + seed);
            }
            for (EndpointUpdate update : assigned) {
                assertTrue(
                        changes.containsKey(update.backend())
                                || before.get(update.backend()).userShare() != update.userShare(),
                        "seed " + seed + ": unexpected update " + update);
            }
            int probedBackend = random.nextInt(backends);
            assertArrayEquals(
                    IntStream.range(0, proxies)
                            .filter(p -> expectedSubset(p, ready).contains(probedBackend))
                            .toArray(),
                    subsets.users(probedBackend),
                    "seed " + seed);
        }
    }

    /** Guards against proxies of different versions in one fleet computing different scores. */
    @Test
    void scoresEqualSplitMix64() {
        new Random(1)
                .ints(1000, 0, 1 << 24)
                .forEach(
                        id -> {
                            int proxy = id % 300;
                            double score =
                                    (new SplitMix64((long) proxy << 32 | id).nextLong() >>> 11)
                                            * 0x1p-53;
                            assertEquals(score, SubsetAssignment.score(proxy, id));
                        });
    }

    /** Guards against the cost of a change growing with the number of backends. */
    @Test
    void returnsUpdatesOfChangedBackendsOnly() {
        SubsetAssignment subsets = new SubsetAssignment(50, SUBSET_SIZE);
        List<EndpointUpdate> first = subsets.applyUpdates(3, true, readyUpdates(0, 60), i -> i);
        List<EndpointUpdate> gone =
                new ArrayList<>(
                        IntStream.range(0, 40)
                                .mapToObj(i -> update(i, EndpointUpdate.State.GONE))
                                .toList());
        List<EndpointUpdate> second = subsets.applyUpdates(3, false, gone, i -> i);
        List<Integer> remaining =
                second.stream().map(EndpointUpdate::backend).filter(i -> i >= 40).toList();
        assertEquals(remaining.size(), remaining.stream().distinct().count());
        TreeSet<Integer> ready = new TreeSet<>(IntStream.range(40, 60).boxed().toList());
        assertTrue(
                remaining.containsAll(expectedSubset(3, ready)),
                "updates cover the whole subset, whose user shares have grown");
        assertTrue(
                second.stream()
                                .filter(update -> update.backend() >= 40)
                                .mapToDouble(EndpointUpdate::userShare)
                                .sum()
                        > first.stream()
                                .filter(update -> update.backend() >= 40)
                                .mapToDouble(EndpointUpdate::userShare)
                                .sum(),
                "the remaining 20 backends are used by more proxies");
        assertEquals(
                List.of(),
                subsets.applyUpdates(3, false, List.of(), i -> i),
                "no update without a change");
        assertEquals(
                1,
                subsets.applyUpdates(3, true, readyUpdates(47, 48), i -> i).size(),
                "a complete list replaces all backends");
        SubsetAssignment large = new SubsetAssignment(100, SUBSET_SIZE);
        large.applyUpdates(3, true, readyUpdates(0, 3200), i -> i);
        List<EndpointUpdate> singleChange = List.of(update(7, EndpointUpdate.State.GONE));
        assertTrue(
                large.applyUpdates(3, false, singleChange, i -> i).size() <= 1 + SUBSET_SIZE,
                "one change among thousands of backends");
    }

    @Test
    void usesLastUpdateWhenAListNamesABackendTwice() {
        SubsetAssignment subsets = new SubsetAssignment(10, SUBSET_SIZE);
        EndpointUpdate ready = update(4, EndpointUpdate.State.READY);
        EndpointUpdate gone = update(4, EndpointUpdate.State.GONE);
        subsets.applyUpdates(0, false, List.of(ready, gone), i -> i);
        assertFalse(subsets.uses(0, 4));
        List<EndpointUpdate> assigned =
                subsets.applyUpdates(0, false, List.of(gone, ready), i -> i);
        assertTrue(subsets.uses(0, 4));
        assertEquals(EndpointUpdate.State.READY, assigned.get(assigned.size() - 1).state());
    }

    /** Guards against the former backend of a reassigned index remaining in the subsets. */
    @Test
    void removesFormerBackendOfReassignedIndex() {
        int[] ids = {500, 501, 502};
        SubsetAssignment subsets = new SubsetAssignment(10, 1);
        subsets.applyUpdates(0, true, readyUpdates(0, 3), i -> ids[i]);
        ids[1] = 777;
        EndpointUpdate newBackend =
                new EndpointUpdate(1, true, 0, 0, EndpointUpdate.State.READY, 0);
        subsets.applyUpdates(
                0, false, List.of(update(1, EndpointUpdate.State.GONE), newBackend), i -> ids[i]);
        int users =
                Arrays.stream(new int[] {500, 502, 777}).map(id -> subsets.users(id).length).sum();
        assertEquals(10, users, "each proxy uses one of the listed backends");
        assertEquals(0, subsets.users(501).length);
    }

    @Test
    void repeatedUpdateIsNotMarkedAsNewBackend() {
        SubsetAssignment subsets = new SubsetAssignment(10, 1);
        EndpointUpdate newBackend =
                new EndpointUpdate(4, true, 0, 0, EndpointUpdate.State.READY, 12);
        assertTrue(
                updateOf(subsets.applyUpdates(0, false, List.of(newBackend), i -> i), 4)
                        .newBackend());
        int lower =
                IntStream.range(5, 1000)
                        .filter(i -> SubsetAssignment.score(0, i) < SubsetAssignment.score(0, 4))
                        .findFirst()
                        .orElseThrow();
        EndpointUpdate repeated =
                updateOf(subsets.applyUpdates(0, false, readyUpdates(lower, lower + 1), i -> i), 4);
        assertFalse(repeated.newBackend(), "the index is already assigned to the backend");
        assertEquals(12, repeated.startedAt());
        assertEquals(0, repeated.userShare(), "another backend has the lowest score now");
        assertEquals(SubsetAssignment.score(0, 4), repeated.subsetScore());
    }
}
