package lemondrift.connection;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** The door without sockets: its hard cases, and generated histories beside a plain model. */
class ConnectionPolicyTest {
    private static final ConnectionLimits.Sharing EACH = ConnectionLimits.Sharing.CONNECTION;

    @Property(tries = 400, seed = "48")
    void whateverComesTheRulesHold(
            @ForAll @IntRange(min = 1, max = 40) int places,
            @ForAll ConnectionLimits.Sharing sharing,
            @ForAll @Size(min = 50, max = 400) List<@IntRange(max = 9999) Integer> steps) {
        ConnectionPolicyModel street =
                new ConnectionPolicyModel(ConnectionPolicyModel.bounds(places, sharing));
        for (int step : steps) {
            List<Integer> all = List.copyOf(street.clients.keySet());
            int i = all.isEmpty() ? -1 : all.get(step / 10 % all.size());
            ConnectionState state = i < 0 ? ConnectionState.FREE : street.clients.get(i).state;
            switch (step % 10) {
                case 0, 1, 2 -> {
                    if (street.clients.size() < street.bounds.last()) {
                        street.comes(step / 10 % 7);
                    }
                }
                case 3 -> {
                    if (state == ConnectionState.NEW
                            || state == ConnectionState.QUIET
                            || state == ConnectionState.HEAD) {
                        street.says(i, 1 + step / 10 % 50);
                    }
                }
                case 4, 5 -> {
                    if (state == ConnectionState.NEW
                            || state == ConnectionState.QUIET
                            || state == ConnectionState.HEAD) {
                        street.opens(i, step / 10 % 3);
                    } else if (state == ConnectionState.OPEN) {
                        street.answered(i, step / 10 % 3);
                    }
                }
                case 6 -> {
                    if (state == ConnectionState.NEW || state == ConnectionState.QUIET) {
                        street.clients.get(i).unread = true;
                    } else if (state != ConnectionState.FREE) {
                        street.leaves(i);
                    }
                }
                case 7 -> street.passes(step / 10 % 60 / 100.0);
                case 8 -> street.now += step / 10 % 9 / 100.0;
                default -> street.door.makeRoom(street.now);
            }
            if (step % 10 == 7) {
                street.looksSound();
            }
        }
        // All that say nothing give way in a crowd, so that it ends.
        street.clients.values().forEach(client -> client.unread = false);
        street.passes(2 * street.bounds.patience() + street.bounds.sweep());
        long open =
                street.clients.values().stream()
                        .filter(
                                client ->
                                        client.state == ConnectionState.OPEN
                                                || client.state == ConnectionState.HEAD)
                        .count();
        assertTrue(street.clients.size() <= Math.max(street.bounds.places(), open));
    }

    /**
     * The plain model of giving way: each time the source that holds the most for its weight, by a
     * search.
     */
    @Property(tries = 300, seed = "48")
    void givingWayIsMaxMin(
            @ForAll @Size(min = 1, max = 30) List<@IntRange(max = 5) Integer> holders,
            @ForAll @IntRange(max = 40) int many,
            @ForAll long seed) {
        Random random = new Random(seed);
        ClientSource[] sources = new ClientSource[6];
        double[] weight = new double[6];
        int[] held = new int[6];
        for (int s = 0; s < 6; s++) {
            sources[s] = new ClientSource();
            sources[s].brought(random.nextInt(4), 0, 1);
            weight[s] = sources[s].weight(0, 1);
        }
        FairEviction fairEviction = new FairEviction(holders.size(), 1);
        for (int i = 0; i < holders.size(); i++) {
            sources[holders.get(i)].held++;
            held[holders.get(i)]++;
            fairEviction.mayYield(i, sources[holders.get(i)]);
        }
        List<Integer> gave = new ArrayList<>();
        fairEviction.evict(
                many,
                0,
                i -> {
                    gave.add(holders.get(i));
                    return --sources[holders.get(i)].held >= 0;
                });
        assertEquals(Math.min(many, holders.size()), gave.size());
        for (int source : gave) {
            double most =
                    IntStream.range(0, 6).mapToDouble(s -> held[s] / weight[s]).max().orElse(0);
            assertEquals(most, held[source] / weight[source], 1e-9);
            held[source]--;
        }
    }

    @Test
    void clientsThatAskOnceAndStayLeavePlacesToThoseThatComeAgain() {
        ConnectionPolicyModel street =
                new ConnectionPolicyModel(ConnectionPolicyModel.bounds(200, EACH));
        int[] usual = IntStream.range(0, 20).map(i -> street.comes()).toArray();
        int reused = 0;
        int asked = 0;
        int most = 0;
        for (int turn = 0; turn < 200; turn++) {
            // Six come every 0.1 s, ask once and stay; two of the usual ask every 0.1 s, again and
            // again.
            for (int k = 0; k < 6; k++) {
                street.asks(street.comes());
            }
            for (int k = 0; k < 2; k++) {
                int j = (2 * turn + k) % usual.length;
                asked += turn < 100 ? 0 : 1;
                if (street.clients.containsKey(usual[j])) {
                    reused += turn < 100 ? 0 : 1;
                } else {
                    usual[j] = street.comes();
                }
                street.asks(usual[j]);
            }
            street.passes(0.1);
            most = Math.max(most, street.clients.size());
        }
        assertTrue(
                most <= 80,
                "at the most " + most + " of 200 places, where 152 would stand for 2.2 s");
        assertTrue(
                reused > 0.5 * asked, "most that come again are kept: " + reused + " of " + asked);
    }

    @Test
    void twoInThreeThatAreSilentFromTheStartMakeRoom() {
        ConnectionPolicyModel street =
                new ConnectionPolicyModel(ConnectionPolicyModel.bounds(60, EACH));
        int served = 0;
        int tried = 0;
        for (int turn = 0; turn < 100; turn++) {
            for (int k = 0; k < 9; k++) {
                if (street.clients.size() >= street.bounds.last()) {
                    continue;
                }
                int i = street.comes();
                street.door.makeRoom(street.now);
                if (k % 3 == 0) {
                    street.asks(i);
                    served++;
                }
            }
            tried += 3;
            street.passes(0.1);
        }
        assertTrue(served > 0.9 * tried, served + " of " + tried);
    }

    @Test
    void oneThatPausesForALittleLessThanIsAllowedKeepsItsPlace() {
        ConnectionPolicyModel street =
                new ConnectionPolicyModel(ConnectionPolicyModel.bounds(100, EACH));
        int i = street.comes();
        for (int k = 0; k < 4; k++) {
            assertTrue(street.asks(i));
            street.passes(2.1);
            assertTrue(street.clients.containsKey(i), "after pause " + k);
        }
    }

    @Test
    void manySourcesWithOneEachStandBesideFewWithMany() {
        ConnectionPolicyModel street =
                new ConnectionPolicyModel(
                        ConnectionPolicyModel.bounds(1000, ConnectionLimits.Sharing.ADDRESS));
        for (int i = 0; i < 1000; i++) {
            street.asks(street.comes(i));
        }
        street.passes(0.2);
        for (int k = 0; k < 100; k++) {
            for (int s = 0; s < 10; s++) {
                int i = street.comes(100_000 + s);
                street.door.makeRoom(street.now);
                street.opens(i, 0);
                street.answered(i, 1);
            }
            street.passes(0.02);
        }
        long few =
                street.clients.values().stream()
                        .filter(client -> client.address >= 100_000)
                        .count();
        assertTrue(street.clients.size() <= 1000);
        assertTrue(few <= 10 * 17, "no more than what they brought gives weight to: " + few);
        for (int i = 0; i < 3000; i++) {
            street.leaves(street.comes(1_000_000 + i));
        }
        assertTrue(
                street.door.remembered() <= 2 * street.bounds.last(),
                "memory for sources is bounded");
    }

    @Test
    void aPauseOfTheProcessMakesNobodyOverdue() {
        ConnectionPolicyModel street =
                new ConnectionPolicyModel(ConnectionPolicyModel.bounds(20, EACH));
        int fresh = street.comes();
        int half = street.comes();
        int kept = street.comes();
        street.asks(kept);
        street.passes(0.5);
        street.says(half, 10);
        street.now += 3;
        street.clients.get(fresh).unread = true;
        street.door.sweep(street.now);
        assertTrue(street.clients.keySet().containsAll(List.of(fresh, half, kept)));
        street.passes(4);
        assertTrue(street.clients.isEmpty(), "without anything more all have gone");
        assertEquals(2, street.ended(CloseReason.SLOW), "what they began is not gone on with");
    }

    @Test
    void unreadBytesAreLookedForBeforeAnyClose() {
        ConnectionPolicyModel street =
                new ConnectionPolicyModel(ConnectionPolicyModel.bounds(20, EACH));
        int fresh = street.comes();
        int kept = street.comes();
        street.asks(kept);
        street.passes(1.7);
        street.clients.get(fresh).unread = true;
        street.passes(0.1);
        street.clients.get(kept).unread = true;
        street.passes(0.6);
        assertEquals(ConnectionState.HEAD, street.door.state(kept));
        assertEquals(ConnectionState.HEAD, street.door.state(fresh));
    }

    @Test
    void aByteEach90MillisecondsIsNoProgress() {
        ConnectionPolicyModel street =
                new ConnectionPolicyModel(ConnectionPolicyModel.bounds(20, EACH));
        int i = street.comes();
        double began = street.now;
        for (int k = 0; k < 50 && street.clients.containsKey(i); k++) {
            street.says(i, 1);
            street.passes(0.09);
        }
        assertTrue(
                street.now - began < street.bounds.pause() + 0.5,
                "ended after " + (street.now - began));
        assertEquals(1, street.ended(CloseReason.SLOW));
        int quick = street.comes();
        for (int k = 0; k < 100; k++) {
            street.says(quick, 200);
            street.passes(0.09);
        }
        assertTrue(street.clients.containsKey(quick), "2.2 KiB a second is progress");
    }

    @Test
    void withFewerPlacesTheQuietGiveWayAndComeBackWhenThereAreMore() {
        ConnectionPolicyModel street =
                new ConnectionPolicyModel(ConnectionPolicyModel.bounds(20, EACH));
        for (int i = 0; i < 4; i++) {
            assertTrue(street.asks(street.comes()));
        }
        int open = street.comes();
        street.opens(open, 0);
        street.door.places(2);
        street.door.makeRoom(street.now);
        assertEquals(2, street.clients.size());
        assertTrue(street.clients.containsKey(open), "an open exchange gives way to nothing");
        street.door.places(1000);
        for (int i = 0; i < 18; i++) {
            street.comes();
        }
        assertFalse(street.door.isCrowded(), "20 as ever");
        street.comes();
        assertTrue(street.door.isCrowded());
    }

    @Test
    void aHeadMayTakeTwoSecondsAndABodyPauseAsLong() {
        ConnectionPolicyModel street =
                new ConnectionPolicyModel(ConnectionPolicyModel.bounds(20, EACH));
        int slow = street.comes();
        int half = street.comes();
        street.says(half, 100);
        for (int k = 0; k < 10; k++) {
            street.says(slow, 12);
            street.passes(0.2);
        }
        assertTrue(street.clients.containsKey(slow));
        street.opens(slow, 0);
        street.passes(0.9);
        assertFalse(street.clients.containsKey(half), "half a request has a close within 3 s");
        int body = street.comes();
        street.door.heard(body, 300, street.now);
        street.door.headRead(body, street.now);
        street.clients.get(body).state = ConnectionState.BODY;
        for (int k = 0; k < 4; k++) {
            street.passes(2);
            street.door.heard(body, 128_000, street.now);
        }
        assertTrue(street.clients.containsKey(body), "64 kB a second, in four pieces");
    }

    @Test
    void anAnswerThatIsNotFetchedEndsByTheSameRule() {
        ConnectionPolicyModel street =
                new ConnectionPolicyModel(ConnectionPolicyModel.bounds(20, EACH));
        int slow = street.comes();
        int quick = street.comes();
        for (int i : new int[] {slow, quick}) {
            street.opens(i, 0);
            street.door.keeps(i, street.now);
            street.clients.get(i).state = ConnectionState.FETCHING;
        }
        for (int second = 0; second < 10; second++) {
            for (int k = 0; k < 10; k++) {
                street.door.fetched(quick, 1000, street.now);
                if (street.clients.containsKey(slow) && k == 0) {
                    street.door.fetched(slow, 1, street.now);
                }
                street.passes(0.1);
            }
        }
        assertEquals(List.of(quick), List.copyOf(street.clients.keySet()));
        assertEquals(1, street.ended(CloseReason.UNFETCHED));
    }

    @Test
    void whoIsTurnedAwayAgainAndAgainIsReadLessAndThenClosed() {
        ConnectionPolicyModel street =
                new ConnectionPolicyModel(ConnectionPolicyModel.bounds(20, EACH));
        int i = street.comes();
        double last = 0;
        boolean keeps = true;
        int times = 0;
        for (; keeps && times < 50; times++) {
            street.says(i, 10);
            street.door.headRead(i, street.now);
            street.door.turnedAway(i, street.now);
            keeps = street.door.keeps(i, street.now);
            double lingers = street.door.lingers(i, street.now);
            assertTrue(lingers >= last && lingers <= street.bounds.longestLinger());
            last = lingers;
            street.now += lingers;
            street.door.answered(i, -1, street.now);
            street.clients.get(i).state = ConnectionState.QUIET;
        }
        assertEquals(6, times);
        assertTrue(last > 4 * street.bounds.linger());
    }

    @Test
    void aDrainSpreadsThoseWithoutAWordOverItsTime() {
        ConnectionPolicyModel street =
                new ConnectionPolicyModel(ConnectionPolicyModel.bounds(300, EACH));
        List<Integer> quiet = new ArrayList<>();
        for (int k = 0; k < 40; k++) {
            quiet.add(street.comes());
            street.asks(quiet.get(k));
        }
        int busy = street.comes();
        street.opens(busy, 0);
        street.door.drain(street.now, street.now + 0.5);
        int[] left = new int[6];
        for (int k = 0; k < 5; k++) {
            left[k] = street.clients.size();
            for (int sweeps = 0; sweeps < 2; sweeps++) {
                street.now += 0.05;
                street.door.sweep(street.now);
            }
        }
        for (int k = 1; k < 5; k++) {
            assertTrue(
                    left[k - 1] - left[k] >= 6 && left[k - 1] - left[k] <= 10,
                    Arrays.toString(left));
        }
        street.passes(0.2);
        assertEquals(List.of(busy), List.copyOf(street.clients.keySet()), "an open exchange stays");
        assertFalse(street.door.keeps(busy, street.now), "its answer closes");
    }

    @Test
    void eachBoundHolds() {
        for (int places : new int[] {14, 129, 9806}) {
            ConnectionPolicyModel street =
                    new ConnectionPolicyModel(ConnectionPolicyModel.bounds(places, EACH));
            for (int k = 0; k < 2 * places; k++) {
                if (street.clients.size() >= street.bounds.last()) {
                    street.passes(0.2);
                }
                street.comes();
            }
            street.passes(0.2);
            assertTrue(street.clients.size() <= places, places + ": " + street.clients.size());
            assertTrue(
                    street.door.told().contains("new=" + street.clients.size()),
                    street.door.told());
        }
    }

    @Test
    void whatIsPromisedIsHeldTo() {
        ConnectionLimits limits = new ConnectionLimits(8, 10, 2.2, 0, EACH, true, 2048, 1);
        ConnectionPolicyModel street = new ConnectionPolicyModel(limits);
        int i = street.comes();
        street.asks(i);
        assertEquals(2, street.door.promise(i));
        for (int k = 0; k < 9; k++) {
            street.opens(street.comes(), 0);
        }
        street.passes(1.9);
        assertTrue(
                street.clients.containsKey(i),
                "the crowd passes it by, though no other can give way");
    }

    @Test
    void theLimitFollowsWhatIsSeen() {
        IdleReuseEstimator reuse = new IdleReuseEstimator(2.2, 0, 8);
        assertEquals(2.2, reuse.limit(0, 0), "a place that costs nothing is kept");
        for (int k = 0; k < 400; k++) {
            // Half are used again within 0.1 s, half never are.
            reuse.usedAfter(0.1, k / 100.0);
            reuse.endedAfter(2.2, k / 100.0);
        }
        double limit = reuse.limit(0.5, 4);
        assertTrue(
                limit >= 0.1 && limit <= 0.3, "worth its place as long as there is hope: " + limit);
        assertEquals(0, reuse.limit(1e4, 4), "never at such a price");
        for (int k = 0; k < 400; k++) {
            reuse.usedAfter(2, 40 + k / 100.0);
        }
        assertEquals(2.2, reuse.limit(0.3, 44), "what was seen before is forgotten");
    }

    @Test
    void theIntakeTakesNoMoreThanCanBeDecidedAndTheMostUrgentFirst() {
        RequestQueue<Integer> intake = new RequestQueue<>(0.4);
        assertTrue(intake.takes(), "nothing is known yet");
        intake.decided(1, 0);
        for (int k = 0; k < 200; k++) {
            assertTrue(intake.takes());
            intake.decided(1, 0.001);
        }
        assertEquals(50, intake.most(), 1, "an eighth of the contract time, at a millisecond each");
        int taken = 0;
        while (intake.takes()) {
            taken++;
        }
        assertEquals(intake.most(), taken);
        List<Integer> ends = new ArrayList<>(IntStream.range(0, 60).boxed().toList());
        java.util.Collections.shuffle(ends, new Random(3));
        ends.forEach(end -> intake.waits(end, end));
        assertNull(intake.next());
        assertTrue(intake.isLong());
        intake.decided(10, 0.010);
        List<Integer> next = new ArrayList<>();
        for (Integer each = intake.next(); each != null; each = intake.next()) {
            next.add(each);
        }
        assertEquals(ends.stream().sorted(Comparator.naturalOrder()).limit(10).toList(), next);
        assertEquals(50, intake.size());
        assertFalse(intake.takes(), "none goes before those that wait");
    }

    @Test
    void whatIsReadOfAConnectionThatHasGoneBringsNothingBack() {
        ConnectionPolicyModel street =
                new ConnectionPolicyModel(
                        ConnectionPolicyModel.bounds(8, ConnectionLimits.Sharing.CONNECTION));
        int i = street.door.came(7, street.now);
        street.door.gone(i, street.now);
        street.door.headRead(i, street.now);
        street.door.turnedAway(i, street.now);
        // The street knows no client there, so that to close it would fail, and end all further
        // sweeps.
        assertDoesNotThrow(() -> street.door.sweep(street.now + 100));
    }
}
