package lemondrift.gossip;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * What proxies tell one another, beside a plain model, under loss, repeats, disorder and nonsense.
 */
class LoadGossipTest {
    /** Seconds after which what one has told is forgotten. */
    private static final double FORGET = 0.1;

    private record Flying(int from, LoadGossip.Message telling) {}

    /** One of a few that all use all backends. */
    private static LoadGossip holdings(int proxies, int self, int backends) {
        return new LoadGossip(proxies, self, 1, 0.01, FORGET, all(proxies, backends), tag -> {});
    }

    private static SubsetAssignment all(int proxies, int backends) {
        SubsetAssignment subsets = new SubsetAssignment(proxies, backends);
        subsets.listed(IntStream.range(0, backends).toArray());
        return subsets;
    }

    /** The only telling that is due now. */
    private static byte[] telling(LoadGossip from, double now) {
        List<LoadGossip.Message> due = from.dueMessages(now);
        assertEquals(1, due.size(), "due");
        return due.get(0).datagram();
    }

    @Test
    void nonsenseLateAndRepeatedTellingsChangeNothing() {
        LoadGossip a = holdings(2, 0, 10);
        LoadGossip b = holdings(2, 1, 10);
        a.attemptSent(7);
        byte[] old = telling(a, 1);
        a.attemptSent(7);
        a.attemptSent(9);
        byte[] last = telling(a, 1.02);
        b.receive(0, last, 1.03);
        b.receive(0, last, 1.04);
        b.receive(0, old, 1.04);
        b.receive(0, new byte[] {4, 2}, 1.04);
        b.receive(0, new byte[] {9, 0, 99, 0, 0, 7}, 1.04);
        b.receive(0, Arrays.copyOf(last, last.length - 1), 1.04);
        b.receive(5, last, 1.04);
        b.receive(1, last, 1.04);
        b.receive(-1, last, 1.04);
        b.receive(0, new byte[0], 1.04);
        assertEquals(2, b.peerLoad(7));
        assertEquals(1, b.peerLoad(9));
    }

    @Test
    void whatAKilledProxyHadOutIsForgottenAndItsNewStartIsHeard() {
        LoadGossip a = holdings(2, 0, 10);
        LoadGossip b = holdings(2, 1, 10);
        for (int i = 0; i < 50; i++) {
            a.attemptSent(7);
            b.receive(0, telling(a, 1 + 0.02 * i), 1 + 0.02 * i);
        }
        b.expireSilentPeers(2.09);
        assertEquals(0, b.peerLoad(7));
        assertEquals(0, b.livePeerCount(2.09), "who is silent counts no more than what it told");
        LoadGossip restarted = holdings(2, 0, 10);
        restarted.attemptSent(8);
        b.receive(0, telling(restarted, 3), 3);
        assertEquals(1, b.peerLoad(8));
        assertEquals(1, b.livePeerCount(3.05));
    }

    @Test
    void aTellingStaysWithinItsBytesAndIsPaced() {
        LoadGossip a = holdings(2, 0, 1000);
        for (int i = 0; i < 1000; i++) {
            a.attemptSent(i);
        }
        assertTrue(telling(a, 1).length <= LoadGossip.MAX_DATAGRAM_BYTES);
        a.attemptSent(1);
        assertEquals(List.of(), a.dueMessages(1.005));
        telling(a, 1.011);
        assertEquals(List.of(), a.dueMessages(1.02), "unchanged is told seldom");
    }

    /** How many backends have a lesser score at a proxy than the one of a tag. */
    private static long better(int proxy, int tag, int[] tags) {
        double score = SubsetAssignment.score(proxy, tag);
        return Arrays.stream(tags)
                .filter(other -> SubsetAssignment.score(proxy, other) < score)
                .count();
    }

    @Test
    void onlyThoseAreToldWhoUseTheBackendHoweverManyThereAre() {
        for (int proxies : new int[] {20, 100, 300}) {
            int backends = 2 * proxies;
            int told = 0;
            int[] tags = IntStream.range(0, backends).map(i -> LoadGossip.tag("s-" + i)).toArray();
            SubsetAssignment subsets = new SubsetAssignment(proxies, 16);
            subsets.listed(tags);
            for (int tag : tags) {
                LoadGossip one = new LoadGossip(proxies, 3, 1, 0.01, 0.1, subsets, t -> {});
                one.attemptSent(tag);
                int[] to = one.dueMessages(1).stream().mapToInt(LoadGossip.Message::to).toArray();
                int[] use =
                        IntStream.range(0, proxies)
                                .filter(p -> p != 3 && better(p, tag, tags) < 16)
                                .toArray();
                assertArrayEquals(use, to);
                told += to.length;
            }
            assertTrue(told > 7 * backends && told <= 8 * backends, told + " told of " + backends);
        }
    }

    /**
     * Whatever was lost, late or doubled before: once all tellings arrive, each knows what the
     * others have out as soon as what was told last can have been forgotten.
     */
    @Property(tries = 2000, seed = "48")
    void onceTellingsArriveAllKnowWhatTheOthersHaveOut(@ForAll long seed) {
        Random random = new Random(seed);
        int proxies = 4;
        int backends = 5;
        LoadGossip[] all = new LoadGossip[proxies];
        Arrays.setAll(all, i -> holdings(proxies, i, backends));
        int[][] model = new int[proxies][backends];
        List<Flying> flying = new ArrayList<>();
        double now = 1;
        for (int step = 0; step < 100; step++, now += 0.002) {
            int i = random.nextInt(proxies);
            int b = random.nextInt(backends);
            if (model[i][b] > 0 && random.nextBoolean()) {
                model[i][b]--;
                all[i].attemptEnded(b);
            } else {
                model[i][b]++;
                all[i].attemptSent(b);
            }
            all[i].dueMessages(now).forEach(telling -> flying.add(new Flying(i, telling)));
            if (!flying.isEmpty() && random.nextInt(3) > 0) {
                // Any that flies, perhaps again, perhaps never: lost, late, twice.
                Flying any = flying.get(random.nextInt(flying.size()));
                all[any.telling.to()].receive(any.from, any.telling.datagram(), now);
            }
        }
        for (double end = now + FORGET + 0.01; now < end; now += 0.005) {
            arrive(all, now);
        }
        for (int j = 0; j < proxies; j++) {
            for (int b = 0; b < backends; b++) {
                int want = 0;
                for (int i = 0; i < proxies; i++) {
                    want += i == j ? 0 : model[i][b];
                }
                assertEquals(
                        want,
                        all[j].peerLoad(b),
                        "seed " + seed + ", proxy " + j + ", backend " + b);
            }
        }
    }

    /** All that is due is told and arrives, and what is too old is forgotten. */
    private static void arrive(LoadGossip[] all, double now) {
        for (int i = 0; i < all.length; i++) {
            for (LoadGossip.Message each : all[i].dueMessages(now)) {
                all[each.to()].receive(i, each.datagram(), now);
            }
        }
        for (LoadGossip each : all) {
            each.expireSilentPeers(now);
        }
    }

    /**
     * Danger: the last word of one that has nothing out any more may be lost, and it says no more.
     */
    @Test
    void aLostLastWordIsMadeGoodByForgettingAndNoLater() {
        LoadGossip a = holdings(2, 0, 10);
        LoadGossip b = holdings(2, 1, 10);
        a.attemptSent(7);
        b.receive(0, telling(a, 1), 1);
        a.attemptEnded(7);
        assertTrue(telling(a, 1.02).length > 0, "told, and lost");
        assertEquals(List.of(), a.dueMessages(1.1), "it has nothing more to say");
        b.expireSilentPeers(1 + FORGET - 0.001);
        assertEquals(1, b.peerLoad(7), "believed until then");
        b.expireSilentPeers(1 + FORGET + 0.001);
        assertEquals(0, b.peerLoad(7));
    }

    /** Danger: a backend may be at work for long on what nobody waits for any more. */
    @Test
    void whatIsGivenUpCountsAsOutForAWhileHereAndElsewhere() {
        LoadGossip a = holdings(2, 0, 10);
        LoadGossip b = holdings(2, 1, 10);
        a.attemptSent(7);
        a.attemptAbandoned(7, 1);
        b.receive(0, telling(a, 1), 1);
        assertEquals(1, a.peerLoad(7), "it is out no more for the decisions, so it counts beside");
        assertEquals(1, b.peerLoad(7));
        assertTrue(a.nextSendAt() <= 1.02, "its end will have to be told");
        b.receive(0, telling(a, 1.02), 1.02);
        assertEquals(0, a.peerLoad(7));
        assertEquals(0, b.peerLoad(7));
    }

    /**
     * Danger: what a killed one had out would look busy, and its new self not be heard, for a
     * while.
     */
    @Test
    void whoHasStartedAnewHasNothingOutAndIsHeardAtOnce() {
        LoadGossip a = holdings(2, 0, 10);
        LoadGossip b = holdings(2, 1, 10);
        for (int i = 0; i < 9; i++) {
            a.attemptSent(7);
            b.receive(0, telling(a, 1 + 0.02 * i), 1 + 0.02 * i);
        }
        assertEquals(9, b.peerLoad(7));
        a.attemptSent(7);
        byte[] late = telling(a, 1.19);
        b.peerRestarted(0, 2);
        assertEquals(0, b.peerLoad(7));
        LoadGossip next = new LoadGossip(2, 0, 2, 0.01, 0.1, all(2, 10), tag -> {});
        next.attemptSent(3);
        b.receive(0, late, 1.2);
        assertEquals(0, b.peerLoad(7), "its former self's word comes late");
        b.receive(0, telling(next, 1.2), 1.2);
        b.receive(0, late, 1.21);
        assertEquals(1, b.peerLoad(3));
        assertEquals(0, b.peerLoad(7));
    }

    /**
     * Danger: until it is forgotten, all would go by what the others had out when they fell silent.
     */
    @Test
    void manyUsualGapsWithoutAWordAreDeafnessLongBeforeAllIsForgotten() {
        LoadGossip a = holdings(2, 0, 10);
        LoadGossip b = holdings(2, 1, 10);
        assertEquals(0, b.livePeerCount(0));
        double now = 1;
        for (int i = 0; i < 200; i++, now += 0.0025) {
            a.attemptSent(i % 10);
            for (LoadGossip.Message each : a.dueMessages(now)) {
                b.receive(0, each.datagram(), now);
            }
            assertEquals(1, b.livePeerCount(now), "a few gaps are none");
        }
        assertEquals(1, b.livePeerCount(now + 0.03));
        assertEquals(0, b.livePeerCount(now + 0.15 * 0.6), "forgotten after 0.1 s, deaf before");
        a.attemptSent(3);
        b.receive(0, telling(a, now + 0.095), now + 0.095);
        assertEquals(1, b.livePeerCount(now + 0.095), "the first word ends it");
    }
}
