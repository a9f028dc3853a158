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

/**
 * Connection decisions without sockets: hard cases, and generated histories beside a plain model.
 */
class ConnectionPolicyTest {
    private static final ConnectionLimits.Sharing EACH = ConnectionLimits.Sharing.CONNECTION;

    @Property(tries = 400, seed = "48")
    void rulesHoldForAnyHistory(
            @ForAll @IntRange(min = 1, max = 40) int places,
            @ForAll ConnectionLimits.Sharing sharing,
            @ForAll @Size(min = 50, max = 400) List<@IntRange(max = 9999) Integer> steps) {
        ConnectionPolicyModel model =
                new ConnectionPolicyModel(ConnectionPolicyModel.limits(places, sharing));
        for (int step : steps) {
            List<Integer> all = List.copyOf(model.clients.keySet());
            int connection = all.isEmpty() ? -1 : all.get(step / 10 % all.size());
            ConnectionState state =
                    connection < 0 ? ConnectionState.FREE : model.clients.get(connection).state;
            switch (step % 10) {
                case 0, 1, 2 -> {
                    if (model.clients.size() < model.limits.last()) {
                        model.accept(step / 10 % 7);
                    }
                }
                case 3 -> {
                    if (state == ConnectionState.NEW
                            || state == ConnectionState.IDLE
                            || state == ConnectionState.READING_HEAD) {
                        model.sendBytes(connection, 1 + step / 10 % 50);
                    }
                }
                case 4, 5 -> {
                    if (state == ConnectionState.NEW
                            || state == ConnectionState.IDLE
                            || state == ConnectionState.READING_HEAD) {
                        model.sendRequest(connection, step / 10 % 3);
                    } else if (state == ConnectionState.AWAITING_RESPONSE) {
                        model.respond(connection, step / 10 % 3);
                    }
                }
                case 6 -> {
                    if (state == ConnectionState.NEW || state == ConnectionState.IDLE) {
                        model.clients.get(connection).hasUnreadBytes = true;
                    } else if (state != ConnectionState.FREE) {
                        model.disconnect(connection);
                    }
                }
                case 7 -> model.advance(step / 10 % 60 / 100.0);
                case 8 -> model.now += step / 10 % 9 / 100.0;
                default -> model.policy.evictExcess(model.now);
            }
            if (step % 10 == 7) {
                model.check();
            }
        }
        // All that send nothing are evicted, down to the limit.
        model.clients.values().forEach(client -> client.hasUnreadBytes = false);
        model.advance(
                2 * model.limits.evictionGraceSeconds() + model.limits.sweepIntervalSeconds());
        long open =
                model.clients.values().stream()
                        .filter(
                                client ->
                                        client.state == ConnectionState.AWAITING_RESPONSE
                                                || client.state == ConnectionState.READING_HEAD)
                        .count();
        assertTrue(model.clients.size() <= Math.max(model.limits.places(), open));
    }

    /**
     * The plain model of giving way: each time the source that holds the most for its weight, by a
     * search.
     */
    @Property(tries = 300, seed = "48")
    void evictionIsMaxMinFair(
            @ForAll @Size(min = 1, max = 30) List<@IntRange(max = 5) Integer> holders,
            @ForAll @IntRange(max = 40) int many,
            @ForAll long seed) {
        Random random = new Random(seed);
        ClientSource[] sources = new ClientSource[6];
        double[] weight = new double[6];
        int[] held = new int[6];
        for (int s = 0; s < 6; s++) {
            sources[s] = new ClientSource();
            sources[s].addCredit(random.nextInt(4), 0, 1);
            weight[s] = sources[s].weight(0, 1);
        }
        FairEviction fairEviction = new FairEviction(holders.size(), 1);
        for (int i = 0; i < holders.size(); i++) {
            sources[holders.get(i)].connections++;
            held[holders.get(i)]++;
            fairEviction.addCandidate(i, sources[holders.get(i)]);
        }
        List<Integer> gave = new ArrayList<>();
        fairEviction.evict(
                many,
                0,
                i -> {
                    gave.add(holders.get(i));
                    return --sources[holders.get(i)].connections >= 0;
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
    void clientsThatNeverReuseLeavePlacesToThoseThatDo() {
        ConnectionPolicyModel model =
                new ConnectionPolicyModel(ConnectionPolicyModel.limits(200, EACH));
        int[] usual = IntStream.range(0, 20).map(i -> model.accept()).toArray();
        int reused = 0;
        int asked = 0;
        int most = 0;
        for (int turn = 0; turn < 200; turn++) {
            // Six come every 0.1 s, ask once and stay; two of the usual ask every 0.1 s, again and
            // again.
            for (int k = 0; k < 6; k++) {
                model.exchange(model.accept());
            }
            for (int k = 0; k < 2; k++) {
                int j = (2 * turn + k) % usual.length;
                asked += turn < 100 ? 0 : 1;
                if (model.clients.containsKey(usual[j])) {
                    reused += turn < 100 ? 0 : 1;
                } else {
                    usual[j] = model.accept();
                }
                model.exchange(usual[j]);
            }
            model.advance(0.1);
            most = Math.max(most, model.clients.size());
        }
        assertTrue(
                most <= 80,
                "at the most " + most + " of 200 places, where 152 would stand for 2.2 s");
        assertTrue(
                reused > 0.5 * asked, "most that come again are kept: " + reused + " of " + asked);
    }

    @Test
    void connectionsWithoutARequestAreEvicted() {
        ConnectionPolicyModel model =
                new ConnectionPolicyModel(ConnectionPolicyModel.limits(60, EACH));
        int served = 0;
        int tried = 0;
        for (int turn = 0; turn < 100; turn++) {
            for (int k = 0; k < 9; k++) {
                if (model.clients.size() >= model.limits.last()) {
                    continue;
                }
                int connection = model.accept();
                model.policy.evictExcess(model.now);
                if (k % 3 == 0) {
                    model.exchange(connection);
                    served++;
                }
            }
            tried += 3;
            model.advance(0.1);
        }
        assertTrue(served > 0.9 * tried, served + " of " + tried);
    }

    @Test
    void idleForLessThanTheLimitStaysOpen() {
        ConnectionPolicyModel model =
                new ConnectionPolicyModel(ConnectionPolicyModel.limits(100, EACH));
        int connection = model.accept();
        for (int k = 0; k < 4; k++) {
            assertTrue(model.exchange(connection));
            model.advance(2.1);
            assertTrue(model.clients.containsKey(connection), "after pause " + k);
        }
    }

    @Test
    void manySourcesWithOneConnectionHoldAgainstFewWithMany() {
        ConnectionPolicyModel model =
                new ConnectionPolicyModel(
                        ConnectionPolicyModel.limits(1000, ConnectionLimits.Sharing.ADDRESS));
        for (int i = 0; i < 1000; i++) {
            model.exchange(model.accept(i));
        }
        model.advance(0.2);
        for (int k = 0; k < 100; k++) {
            for (int s = 0; s < 10; s++) {
                int i = model.accept(100_000 + s);
                model.policy.evictExcess(model.now);
                model.sendRequest(i, 0);
                model.respond(i, 1);
            }
            model.advance(0.02);
        }
        long few =
                model.clients.values().stream().filter(client -> client.address >= 100_000).count();
        assertTrue(model.clients.size() <= 1000);
        assertTrue(few <= 10 * 17, "no more than what they brought gives weight to: " + few);
        for (int i = 0; i < 3000; i++) {
            model.disconnect(model.accept(1_000_000 + i));
        }
        assertTrue(
                model.policy.sourceCount() <= 2 * model.limits.last(),
                "memory for sources is bounded");
    }

    @Test
    void aPauseOfTheProcessMakesNobodyOverdue() {
        ConnectionPolicyModel model =
                new ConnectionPolicyModel(ConnectionPolicyModel.limits(20, EACH));
        int fresh = model.accept();
        int half = model.accept();
        int kept = model.accept();
        model.exchange(kept);
        model.advance(0.5);
        model.sendBytes(half, 10);
        model.now += 3;
        model.clients.get(fresh).hasUnreadBytes = true;
        model.policy.sweep(model.now);
        assertTrue(model.clients.keySet().containsAll(List.of(fresh, half, kept)));
        model.advance(4);
        assertTrue(model.clients.isEmpty(), "without anything more all have gone");
        assertEquals(
                2,
                model.closedCount(CloseReason.SLOW_REQUEST),
                "what they began is not gone on with");
    }

    @Test
    void unreadBytesAreLookedForBeforeAnyClose() {
        ConnectionPolicyModel model =
                new ConnectionPolicyModel(ConnectionPolicyModel.limits(20, EACH));
        int fresh = model.accept();
        int kept = model.accept();
        model.exchange(kept);
        model.advance(1.7);
        model.clients.get(fresh).hasUnreadBytes = true;
        model.advance(0.1);
        model.clients.get(kept).hasUnreadBytes = true;
        model.advance(0.6);
        assertEquals(ConnectionState.READING_HEAD, model.policy.state(kept));
        assertEquals(ConnectionState.READING_HEAD, model.policy.state(fresh));
    }

    @Test
    void aByteEach90MillisecondsIsNoProgress() {
        ConnectionPolicyModel model =
                new ConnectionPolicyModel(ConnectionPolicyModel.limits(20, EACH));
        int connection = model.accept();
        double began = model.now;
        for (int k = 0; k < 50 && model.clients.containsKey(connection); k++) {
            model.sendBytes(connection, 1);
            model.advance(0.09);
        }
        assertTrue(
                model.now - began < model.limits.readTimeoutSeconds() + 0.5,
                "ended after " + (model.now - began));
        assertEquals(1, model.closedCount(CloseReason.SLOW_REQUEST));
        int quick = model.accept();
        for (int k = 0; k < 100; k++) {
            model.sendBytes(quick, 200);
            model.advance(0.09);
        }
        assertTrue(model.clients.containsKey(quick), "2.2 KiB a second is progress");
    }

    @Test
    void idleConnectionsAreEvictedWhenTheLimitFalls() {
        ConnectionPolicyModel model =
                new ConnectionPolicyModel(ConnectionPolicyModel.limits(20, EACH));
        for (int i = 0; i < 4; i++) {
            assertTrue(model.exchange(model.accept()));
        }
        int open = model.accept();
        model.sendRequest(open, 0);
        model.policy.setMaxConnections(2);
        model.policy.evictExcess(model.now);
        assertEquals(2, model.clients.size());
        assertTrue(model.clients.containsKey(open), "a connection with a request is never evicted");
        model.policy.setMaxConnections(1000);
        for (int i = 0; i < 18; i++) {
            model.accept();
        }
        assertFalse(model.policy.isOverLimit(), "20 as ever");
        model.accept();
        assertTrue(model.policy.isOverLimit());
    }

    @Test
    void aHeadMayTakeTwoSecondsAndABodyPauseAsLong() {
        ConnectionPolicyModel model =
                new ConnectionPolicyModel(ConnectionPolicyModel.limits(20, EACH));
        int slow = model.accept();
        int half = model.accept();
        model.sendBytes(half, 100);
        for (int k = 0; k < 10; k++) {
            model.sendBytes(slow, 12);
            model.advance(0.2);
        }
        assertTrue(model.clients.containsKey(slow));
        model.sendRequest(slow, 0);
        model.advance(0.9);
        assertFalse(model.clients.containsKey(half), "half a request has a close within 3 s");
        int body = model.accept();
        model.policy.bytesReceived(body, 300, model.now);
        model.policy.headRead(body, model.now);
        model.clients.get(body).state = ConnectionState.READING_BODY;
        for (int k = 0; k < 4; k++) {
            model.advance(2);
            model.policy.bytesReceived(body, 128_000, model.now);
        }
        assertTrue(model.clients.containsKey(body), "64 kB a second, in four pieces");
    }

    @Test
    void aResponseThatIsNotTakenEndsTheConnection() {
        ConnectionPolicyModel model =
                new ConnectionPolicyModel(ConnectionPolicyModel.limits(20, EACH));
        int slow = model.accept();
        int quick = model.accept();
        for (int i : new int[] {slow, quick}) {
            model.sendRequest(i, 0);
            model.policy.responseReady(i, model.now);
            model.clients.get(i).state = ConnectionState.SENDING_RESPONSE;
        }
        for (int second = 0; second < 10; second++) {
            for (int k = 0; k < 10; k++) {
                model.policy.bytesSent(quick, 1000, model.now);
                if (model.clients.containsKey(slow) && k == 0) {
                    model.policy.bytesSent(slow, 1, model.now);
                }
                model.advance(0.1);
            }
        }
        assertEquals(List.of(quick), List.copyOf(model.clients.keySet()));
        assertEquals(1, model.closedCount(CloseReason.SLOW_READER));
    }

    @Test
    void repeatedRejectionsPauseReadingAndThenClose() {
        ConnectionPolicyModel model =
                new ConnectionPolicyModel(ConnectionPolicyModel.limits(20, EACH));
        int connection = model.accept();
        double last = 0;
        boolean keeps = true;
        int times = 0;
        for (; keeps && times < 50; times++) {
            model.sendBytes(connection, 10);
            model.policy.headRead(connection, model.now);
            model.policy.requestRejected(connection, model.now);
            keeps = model.policy.responseReady(connection, model.now);
            double lingers = model.policy.readPauseSeconds(connection, model.now);
            assertTrue(lingers >= last && lingers <= model.limits.maxReadPauseSeconds());
            last = lingers;
            model.now += lingers;
            model.policy.responseSent(connection, -1, model.now);
            model.clients.get(connection).state = ConnectionState.IDLE;
        }
        assertEquals(6, times);
        assertTrue(last > 4 * model.limits.firstReadPauseSeconds());
    }

    @Test
    void aDrainSpreadsClosesOverItsTime() {
        ConnectionPolicyModel model =
                new ConnectionPolicyModel(ConnectionPolicyModel.limits(300, EACH));
        List<Integer> quiet = new ArrayList<>();
        for (int k = 0; k < 40; k++) {
            quiet.add(model.accept());
            model.exchange(quiet.get(k));
        }
        int busy = model.accept();
        model.sendRequest(busy, 0);
        model.policy.drain(model.now, model.now + 0.5);
        int[] left = new int[6];
        for (int k = 0; k < 5; k++) {
            left[k] = model.clients.size();
            for (int sweeps = 0; sweeps < 2; sweeps++) {
                model.now += 0.05;
                model.policy.sweep(model.now);
            }
        }
        for (int k = 1; k < 5; k++) {
            assertTrue(
                    left[k - 1] - left[k] >= 6 && left[k - 1] - left[k] <= 10,
                    Arrays.toString(left));
        }
        model.advance(0.2);
        assertEquals(
                List.of(busy),
                List.copyOf(model.clients.keySet()),
                "a connection with a request stays");
        assertFalse(model.policy.responseReady(busy, model.now), "its answer closes");
    }

    @Test
    void connectionLimitsHold() {
        for (int places : new int[] {14, 129, 9806}) {
            ConnectionPolicyModel model =
                    new ConnectionPolicyModel(ConnectionPolicyModel.limits(places, EACH));
            for (int k = 0; k < 2 * places; k++) {
                if (model.clients.size() >= model.limits.last()) {
                    model.advance(0.2);
                }
                model.accept();
            }
            model.advance(0.2);
            assertTrue(model.clients.size() <= places, places + ": " + model.clients.size());
            assertTrue(
                    model.policy.summary().contains("new=" + model.clients.size()),
                    model.policy.summary());
        }
    }

    @Test
    void announcedKeepAliveIsHeldTo() {
        ConnectionLimits limits = new ConnectionLimits(8, 10, 2.2, 0, EACH, true, 2048, 1);
        ConnectionPolicyModel model = new ConnectionPolicyModel(limits);
        int connection = model.accept();
        model.exchange(connection);
        assertEquals(2, model.policy.announcedKeepAliveSeconds(connection));
        for (int k = 0; k < 9; k++) {
            model.sendRequest(model.accept(), 0);
        }
        model.advance(1.9);
        assertTrue(model.clients.containsKey(connection), "not evicted, though no other can be");
    }

    @Test
    void theIdleLimitFollowsObservedReuse() {
        IdleReuseEstimator reuse = new IdleReuseEstimator(2.2, 0, 8);
        assertEquals(2.2, reuse.idleLimitSeconds(0, 0), "a place that costs nothing is kept");
        for (int k = 0; k < 400; k++) {
            // Half are used again within 0.1 s, half never are.
            reuse.reusedAfter(0.1, k / 100.0);
            reuse.closedAfter(2.2, k / 100.0);
        }
        double limit = reuse.idleLimitSeconds(0.5, 4);
        assertTrue(
                limit >= 0.1 && limit <= 0.3, "worth its place as long as there is hope: " + limit);
        assertEquals(0, reuse.idleLimitSeconds(1e4, 4), "never at such a price");
        for (int k = 0; k < 400; k++) {
            reuse.reusedAfter(2, 40 + k / 100.0);
        }
        assertEquals(2.2, reuse.idleLimitSeconds(0.3, 44), "what was seen before is forgotten");
    }

    @Test
    void theQueueTakesWhatCanBeDecidedAndTheEarliestDeadlineFirst() {
        RequestQueue<Integer> requestQueue = new RequestQueue<>(0.4);
        assertTrue(requestQueue.tryEnqueue(), "nothing is known yet");
        requestQueue.decided(1, 0);
        for (int k = 0; k < 200; k++) {
            assertTrue(requestQueue.tryEnqueue());
            requestQueue.decided(1, 0.001);
        }
        assertEquals(
                50,
                requestQueue.capacity(),
                1,
                "an eighth of the contract time, at a millisecond each");
        int taken = 0;
        while (requestQueue.tryEnqueue()) {
            taken++;
        }
        assertEquals(requestQueue.capacity(), taken);
        List<Integer> ends = new ArrayList<>(IntStream.range(0, 60).boxed().toList());
        java.util.Collections.shuffle(ends, new Random(3));
        ends.forEach(end -> requestQueue.holdBack(end, end));
        assertNull(requestQueue.pollNext());
        assertTrue(requestQueue.isBacklogged());
        requestQueue.decided(10, 0.010);
        List<Integer> next = new ArrayList<>();
        for (Integer each = requestQueue.pollNext(); each != null; each = requestQueue.pollNext()) {
            next.add(each);
        }
        assertEquals(ends.stream().sorted(Comparator.naturalOrder()).limit(10).toList(), next);
        assertEquals(50, requestQueue.heldBackCount());
        assertFalse(requestQueue.tryEnqueue(), "none goes before those that wait");
    }

    @Test
    void eventsOfAClosedConnectionChangeNothing() {
        ConnectionPolicyModel model =
                new ConnectionPolicyModel(
                        ConnectionPolicyModel.limits(8, ConnectionLimits.Sharing.CONNECTION));
        int connection = model.policy.accepted(7, model.now);
        model.policy.closed(connection, model.now);
        model.policy.headRead(connection, model.now);
        model.policy.requestRejected(connection, model.now);
        // The model knows no client there, so that to close it would fail, and end all further
        // sweeps.
        assertDoesNotThrow(() -> model.policy.sweep(model.now + 100));
    }
}
