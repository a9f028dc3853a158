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
 * Tests gossip against a simple model, with lost, duplicate, reordered and unreadable datagrams.
 */
class LoadGossipTest {
    /** Seconds after which the report of a silent peer is dropped. */
    private static final double EXPIRY_SECONDS = 0.1;

    private record Undelivered(int from, LoadGossip.Message message) {}

    /** Creates the gossip of one proxy in a small fleet in which all proxies use all backends. */
    private static LoadGossip newGossip(int proxies, int self, int backends) {
        return new LoadGossip(
                proxies,
                self,
                1,
                0.01,
                EXPIRY_SECONDS,
                subsetsOfAllBackends(proxies, backends),
                tag -> {});
    }

    private static SubsetAssignment subsetsOfAllBackends(int proxies, int backends) {
        SubsetAssignment subsets = new SubsetAssignment(proxies, backends);
        subsets.setActive(IntStream.range(0, backends).toArray());
        return subsets;
    }

    /** Takes the due messages, checks that there is exactly one, and returns its datagram. */
    private static byte[] onlyDueMessage(LoadGossip sender, double now) {
        List<LoadGossip.Message> due = sender.takeDueMessages(now);
        assertEquals(1, due.size(), "number of due messages");
        return due.get(0).datagram();
    }

    @Test
    void ignoresUnreadableLateAndRepeatedMessages() {
        LoadGossip sender = newGossip(2, 0, 10);
        LoadGossip receiver = newGossip(2, 1, 10);
        sender.attemptSent(7);
        byte[] old = onlyDueMessage(sender, 1);
        sender.attemptSent(7);
        sender.attemptSent(9);
        byte[] last = onlyDueMessage(sender, 1.02);
        receiver.processDatagram(0, last, 1.03);
        receiver.processDatagram(0, last, 1.04);
        receiver.processDatagram(0, old, 1.04);
        receiver.processDatagram(0, new byte[] {4, 2}, 1.04);
        receiver.processDatagram(0, new byte[] {9, 0, 99, 0, 0, 7}, 1.04);
        receiver.processDatagram(0, Arrays.copyOf(last, last.length - 1), 1.04);
        receiver.processDatagram(5, last, 1.04);
        receiver.processDatagram(1, last, 1.04);
        receiver.processDatagram(-1, last, 1.04);
        receiver.processDatagram(0, new byte[0], 1.04);
        assertEquals(2, receiver.peerLoad(7));
        assertEquals(1, receiver.peerLoad(9));
    }

    @Test
    void expiresAttemptsOfKilledProxyAndAcceptsItsRestart() {
        LoadGossip sender = newGossip(2, 0, 10);
        LoadGossip receiver = newGossip(2, 1, 10);
        for (int i = 0; i < 50; i++) {
            sender.attemptSent(7);
            receiver.processDatagram(0, onlyDueMessage(sender, 1 + 0.02 * i), 1 + 0.02 * i);
        }
        receiver.expireStaleLoad(2.09);
        assertEquals(0, receiver.peerLoad(7));
        assertEquals(
                0, receiver.livePeerCount(2.09), "a silent peer is dropped along with its report");
        LoadGossip restarted = newGossip(2, 0, 10);
        restarted.attemptSent(8);
        receiver.processDatagram(0, onlyDueMessage(restarted, 3), 3);
        assertEquals(1, receiver.peerLoad(8));
        assertEquals(1, receiver.livePeerCount(3.05));
    }

    @Test
    void limitsMessageSizeAndRate() {
        LoadGossip sender = newGossip(2, 0, 1000);
        for (int i = 0; i < 1000; i++) {
            sender.attemptSent(i);
        }
        assertTrue(onlyDueMessage(sender, 1).length <= LoadGossip.MAX_DATAGRAM_BYTES);
        sender.attemptSent(1);
        assertEquals(List.of(), sender.takeDueMessages(1.005));
        onlyDueMessage(sender, 1.011);
        assertEquals(
                List.of(),
                sender.takeDueMessages(1.02),
                "an unchanged report is not sent again yet");
    }

    /** Returns how many backends have a lower score for a proxy than the backend with a tag. */
    private static long countBackendsWithLowerScore(int proxy, int tag, int[] tags) {
        double score = SubsetAssignment.score(proxy, tag);
        return Arrays.stream(tags)
                .filter(other -> SubsetAssignment.score(proxy, other) < score)
                .count();
    }

    @Test
    void sendsOnlyToPeersThatUseTheBackendWhateverTheFleetSize() {
        for (int proxies : new int[] {20, 100, 300}) {
            int backends = 2 * proxies;
            int messages = 0;
            int[] tags = IntStream.range(0, backends).map(i -> LoadGossip.tag("s-" + i)).toArray();
            SubsetAssignment subsets = new SubsetAssignment(proxies, 16);
            subsets.setActive(tags);
            for (int tag : tags) {
                LoadGossip sender = new LoadGossip(proxies, 3, 1, 0.01, 0.1, subsets, t -> {});
                sender.attemptSent(tag);
                int[] to =
                        sender.takeDueMessages(1).stream()
                                .mapToInt(LoadGossip.Message::to)
                                .toArray();
                int[] users =
                        IntStream.range(0, proxies)
                                .filter(
                                        p ->
                                                p != 3
                                                        && countBackendsWithLowerScore(p, tag, tags)
                                                                < 16)
                                .toArray();
                assertArrayEquals(users, to);
                messages += to.length;
            }
            assertTrue(
                    messages > 7 * backends && messages <= 8 * backends,
                    messages + " messages for " + backends + " backends");
        }
    }

    /**
     * Checks convergence after lost, late and duplicate messages: once all messages arrive, each
     * proxy knows the attempts in flight of the others after one expiry time.
     */
    @Property(tries = 2000, seed = "48")
    void convergesOnAttemptsInFlightOnceMessagesArrive(@ForAll long seed) {
        Random random = new Random(seed);
        int proxies = 4;
        int backends = 5;
        LoadGossip[] gossips = new LoadGossip[proxies];
        Arrays.setAll(gossips, proxy -> newGossip(proxies, proxy, backends));
        int[][] inFlight = new int[proxies][backends];
        List<Undelivered> undelivered = new ArrayList<>();
        double now = 1;
        for (int step = 0; step < 100; step++, now += 0.002) {
            int proxy = random.nextInt(proxies);
            int backend = random.nextInt(backends);
            if (inFlight[proxy][backend] > 0 && random.nextBoolean()) {
                inFlight[proxy][backend]--;
                gossips[proxy].attemptEnded(backend);
            } else {
                inFlight[proxy][backend]++;
                gossips[proxy].attemptSent(backend);
            }
            gossips[proxy]
                    .takeDueMessages(now)
                    .forEach(message -> undelivered.add(new Undelivered(proxy, message)));
            if (!undelivered.isEmpty() && random.nextInt(3) > 0) {
                // Delivers a random one: any message may be lost, late or delivered repeatedly.
                Undelivered delivered = undelivered.get(random.nextInt(undelivered.size()));
                gossips[delivered.message.to()].processDatagram(
                        delivered.from, delivered.message.datagram(), now);
            }
        }
        for (double end = now + EXPIRY_SECONDS + 0.01; now < end; now += 0.005) {
            deliverDueMessages(gossips, now);
        }
        for (int receiver = 0; receiver < proxies; receiver++) {
            for (int backend = 0; backend < backends; backend++) {
                int expected = 0;
                for (int sender = 0; sender < proxies; sender++) {
                    expected += sender == receiver ? 0 : inFlight[sender][backend];
                }
                assertEquals(
                        expected,
                        gossips[receiver].peerLoad(backend),
                        "seed " + seed + ", proxy " + receiver + ", backend " + backend);
            }
        }
    }

    /** Delivers all due messages, then expires stale load. */
    private static void deliverDueMessages(LoadGossip[] gossips, double now) {
        for (int i = 0; i < gossips.length; i++) {
            for (LoadGossip.Message each : gossips[i].takeDueMessages(now)) {
                gossips[each.to()].processDatagram(i, each.datagram(), now);
            }
        }
        for (LoadGossip each : gossips) {
            each.expireStaleLoad(now);
        }
    }

    /**
     * Guards against the loss of the last message of a peer that then has nothing more to report.
     */
    @Test
    void dropsPeerLoadAtExpiryWhenLastMessageIsLost() {
        LoadGossip sender = newGossip(2, 0, 10);
        LoadGossip receiver = newGossip(2, 1, 10);
        sender.attemptSent(7);
        receiver.processDatagram(0, onlyDueMessage(sender, 1), 1);
        sender.attemptEnded(7);
        assertTrue(onlyDueMessage(sender, 1.02).length > 0, "this message is lost");
        assertEquals(List.of(), sender.takeDueMessages(1.1), "it has nothing more to report");
        receiver.expireStaleLoad(1 + EXPIRY_SECONDS - 0.001);
        assertEquals(1, receiver.peerLoad(7), "still counted before the expiry");
        receiver.expireStaleLoad(1 + EXPIRY_SECONDS + 0.001);
        assertEquals(0, receiver.peerLoad(7));
    }

    /** Guards against a backend looking idle while it still executes abandoned attempts. */
    @Test
    void countsAbandonedAttemptsLocallyAndAtPeersUntilTheyExpire() {
        LoadGossip sender = newGossip(2, 0, 10);
        LoadGossip receiver = newGossip(2, 1, 10);
        sender.attemptSent(7);
        sender.attemptAbandoned(7, 1);
        receiver.processDatagram(0, onlyDueMessage(sender, 1), 1);
        assertEquals(
                1,
                sender.peerLoad(7),
                "the balancer no longer counts the attempt as in flight, so gossip does");
        assertEquals(1, receiver.peerLoad(7));
        assertTrue(sender.nextSendAt() <= 1.02, "the end of the attempt is still to be sent");
        receiver.processDatagram(0, onlyDueMessage(sender, 1.02), 1.02);
        assertEquals(0, sender.peerLoad(7));
        assertEquals(0, receiver.peerLoad(7));
    }

    /**
     * Guards against ignoring messages of a restarted peer, and against counting its attempts from
     * before the restart.
     */
    @Test
    void clearsAttemptsOfRestartedPeerAndAcceptsItsNextMessage() {
        LoadGossip sender = newGossip(2, 0, 10);
        LoadGossip receiver = newGossip(2, 1, 10);
        for (int i = 0; i < 9; i++) {
            sender.attemptSent(7);
            receiver.processDatagram(0, onlyDueMessage(sender, 1 + 0.02 * i), 1 + 0.02 * i);
        }
        assertEquals(9, receiver.peerLoad(7));
        sender.attemptSent(7);
        byte[] late = onlyDueMessage(sender, 1.19);
        receiver.peerRestarted(0, 2);
        assertEquals(0, receiver.peerLoad(7));
        LoadGossip restarted =
                new LoadGossip(2, 0, 2, 0.01, 0.1, subsetsOfAllBackends(2, 10), tag -> {});
        restarted.attemptSent(3);
        receiver.processDatagram(0, late, 1.2);
        assertEquals(0, receiver.peerLoad(7), "a late message from before the restart");
        receiver.processDatagram(0, onlyDueMessage(restarted, 1.2), 1.2);
        receiver.processDatagram(0, late, 1.21);
        assertEquals(1, receiver.peerLoad(3));
        assertEquals(0, receiver.peerLoad(7));
    }

    /** Guards against using the outdated load of peers that have fallen silent. */
    @Test
    void detectsSilenceAfterManyMeanIntervalsBeforeExpiry() {
        LoadGossip sender = newGossip(2, 0, 10);
        LoadGossip receiver = newGossip(2, 1, 10);
        assertEquals(0, receiver.livePeerCount(0));
        double now = 1;
        for (int i = 0; i < 200; i++, now += 0.0025) {
            sender.attemptSent(i % 10);
            for (LoadGossip.Message each : sender.takeDueMessages(now)) {
                receiver.processDatagram(0, each.datagram(), now);
            }
            assertEquals(
                    1,
                    receiver.livePeerCount(now),
                    "a few intervals without a message are not silence");
        }
        assertEquals(1, receiver.livePeerCount(now + 0.03));
        assertEquals(
                0,
                receiver.livePeerCount(now + 0.15 * 0.6),
                "silence is detected before the expiry of 0.1 s");
        sender.attemptSent(3);
        receiver.processDatagram(0, onlyDueMessage(sender, now + 0.095), now + 0.095);
        assertEquals(1, receiver.livePeerCount(now + 0.095), "the first message ends the silence");
    }
}
