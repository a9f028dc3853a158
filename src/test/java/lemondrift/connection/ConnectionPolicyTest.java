package lemondrift.connection;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Tests connection decisions without sockets: difficult cases, and random event sequences that are
 * checked against a simple model.
 */
class ConnectionPolicyTest {
    @Property(tries = 400, seed = "48")
    void invariantsHoldForAnyEventSequence(
            @ForAll @IntRange(min = 1, max = 40) int maxConnections,
            @ForAll ConnectionLimits.Sharing sharing,
            @ForAll @Size(min = 50, max = 400) List<@IntRange(max = 9999) Integer> steps) {
        ConnectionPolicyModel model =
                new ConnectionPolicyModel(ConnectionPolicyModel.limits(maxConnections, sharing));
        for (int step : steps) {
            List<Integer> connections = List.copyOf(model.clients.keySet());
            int connection =
                    connections.isEmpty() ? -1 : connections.get(step / 10 % connections.size());
            ConnectionState state =
                    connection < 0 ? ConnectionState.FREE : model.clients.get(connection).state;
            switch (step % 10) {
                case 0, 1, 2 -> {
                    if (model.clients.size() < model.limits.acceptLimit()) {
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
                        model.clients.get(connection).hasUnreadClose = step / 10 % 4 == 0;
                        model.clients.get(connection).hasUnreadBytes = step / 10 % 4 != 0;
                    } else if (state != ConnectionState.FREE) {
                        model.disconnect(connection);
                    }
                }
                case 7 -> model.advance(step / 10 % 60 / 100.0);
                case 8 -> model.now += step / 10 % 9 / 100.0;
                default -> model.policy.evictExcess(model.now);
            }
            if (step % 10 == 7) {
                model.assertInvariants();
            }
        }
        // Connections without a request are evicted until the limit is met.
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
        assertTrue(model.clients.size() <= Math.max(model.limits.maxConnections(), open));
    }

    @Test
    void connectionsThatAreNeverReusedGiveWayToReusedOnes() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(200);
        int[] steady = IntStream.range(0, 20).map(i -> model.accept()).toArray();
        int requestsOnOpenConnections = 0;
        int requests = 0;
        int maxConnections = 0;
        for (int round = 0; round < 200; round++) {
            // Every 0.1 s, six new clients connect, send one request and stay connected, and two of
            // the steady clients send another request.
            for (int k = 0; k < 6; k++) {
                model.exchange(model.accept());
            }
            for (int k = 0; k < 2; k++) {
                int client = (2 * round + k) % steady.length;
                requests += round < 100 ? 0 : 1;
                if (model.clients.containsKey(steady[client])) {
                    requestsOnOpenConnections += round < 100 ? 0 : 1;
                } else {
                    steady[client] = model.accept();
                }
                model.exchange(steady[client]);
            }
            model.advance(0.1);
            maxConnections = Math.max(maxConnections, model.clients.size());
        }
        assertTrue(
                maxConnections <= 80,
                "at most "
                        + maxConnections
                        + " of 200 connections open; 152 would be if each stayed for 2.2 s");
        assertTrue(
                requestsOnOpenConnections > 0.5 * requests,
                "requests on connections that were kept open: "
                        + requestsOnOpenConnections
                        + " of "
                        + requests);
    }

    @Test
    void connectionsWithoutARequestAreEvicted() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(60);
        int served = 0;
        int expected = 0;
        for (int round = 0; round < 100; round++) {
            for (int k = 0; k < 9; k++) {
                if (model.clients.size() >= model.limits.acceptLimit()) {
                    continue;
                }
                int connection = model.accept();
                model.policy.evictExcess(model.now);
                if (k % 3 == 0) {
                    model.exchange(connection);
                    served++;
                }
            }
            expected += 3;
            model.advance(0.1);
        }
        assertTrue(served > 0.9 * expected, served + " of " + expected);
    }

    @Test
    void connectionIdleForLessThanTheLimitStaysOpen() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(100);
        int connection = model.accept();
        for (int k = 0; k < 4; k++) {
            assertTrue(model.exchange(connection));
            model.advance(2.1);
            assertTrue(model.clients.containsKey(connection), "after pause " + k);
        }
    }

    @Test
    void fewSourcesCannotDisplaceManySourcesWithOneConnectionEach() {
        ConnectionPolicyModel model =
                new ConnectionPolicyModel(
                        ConnectionPolicyModel.limits(1000, ConnectionLimits.Sharing.ADDRESS));
        for (int address = 0; address < 1000; address++) {
            model.exchange(model.accept(address));
        }
        model.advance(0.2);
        for (int round = 0; round < 100; round++) {
            for (int source = 0; source < 10; source++) {
                int connection = model.accept(100_000 + source);
                model.policy.evictExcess(model.now);
                model.sendRequest(connection, 0);
                model.respond(connection, 1);
            }
            model.advance(0.02);
        }
        long connectionsOfNewSources =
                model.clients.values().stream().filter(client -> client.address >= 100_000).count();
        assertTrue(model.clients.size() <= 1000);
        assertTrue(
                connectionsOfNewSources <= 10 * 17,
                "no more than the weight of their credit allows: " + connectionsOfNewSources);
        for (int address = 1_000_000; address < 1_003_000; address++) {
            model.disconnect(model.accept(address));
        }
        assertTrue(
                model.policy.sourceCount() <= 2 * model.limits.acceptLimit(),
                "the number of remembered sources is bounded");
    }

    @Test
    void processPauseMakesNoConnectionOverdue() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(20);
        int withoutByte = model.accept();
        int withPartialHead = model.accept();
        int idle = model.accept();
        model.exchange(idle);
        model.advance(0.5);
        model.sendBytes(withPartialHead, 10);
        model.now += 3;
        model.clients.get(withoutByte).hasUnreadBytes = true;
        model.policy.sweep(model.now);
        assertTrue(model.clients.keySet().containsAll(List.of(withoutByte, withPartialHead, idle)));
        model.advance(4);
        assertTrue(model.clients.isEmpty(), "all are closed without another byte");
        assertEquals(
                2, model.closedCount(CloseReason.SLOW_REQUEST), "both had sent part of a request");
    }

    @Test
    void connectionWithUnreadBytesIsNotClosed() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(20);
        int withoutByte = model.accept();
        int idle = model.accept();
        model.exchange(idle);
        model.advance(1.7);
        model.clients.get(withoutByte).hasUnreadBytes = true;
        model.advance(0.1);
        model.clients.get(idle).hasUnreadBytes = true;
        model.advance(0.6);
        assertEquals(ConnectionState.READING_HEAD, model.policy.state(idle));
        assertEquals(ConnectionState.READING_HEAD, model.policy.state(withoutByte));
    }

    /**
     * Guards against a client that sends one late byte and so holds its connection slot without a
     * request.
     */
    @Test
    void connectionWithLateFirstByteIsClosedWithinThreeSeconds() {
        for (double firstByteAt : new double[] {0, 0.5, 1, 1.7}) {
            ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(20);
            int connection = model.accept();
            double acceptedAt = model.now;
            model.advance(firstByteAt);
            model.sendBytes(connection, 1);
            model.advance(acceptedAt + 3 - model.now);
            assertFalse(model.clients.containsKey(connection), "first byte at " + firstByteAt);
            assertEquals(1, model.closedCount(CloseReason.SLOW_REQUEST));
        }
    }

    @Test
    void connectionWithRequestBelowMinimumRateIsClosed() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(20);
        int connection = model.accept();
        double startedAt = model.now;
        for (int k = 0; k < 50 && model.clients.containsKey(connection); k++) {
            model.sendBytes(connection, 1);
            model.advance(0.09);
        }
        assertTrue(
                model.now - startedAt < model.limits.readTimeoutSeconds() + 0.5,
                "closed after " + (model.now - startedAt));
        assertEquals(1, model.closedCount(CloseReason.SLOW_REQUEST));
        int fast = model.accept();
        for (int k = 0; k < 100; k++) {
            model.sendBytes(fast, 200);
            model.advance(0.09);
        }
        assertTrue(model.clients.containsKey(fast), "2.2 KiB per second is above the minimum rate");
    }

    /**
     * Guards against an eviction and a sweep that fail because the check for unread bytes finds
     * that the client has closed the connection, and closes it.
     */
    @Test
    void connectionsThatTheCheckForUnreadBytesFindsClosedAreNotClosedAgain() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(20);
        for (int i = 0; i < 4; i++) {
            int connection = model.accept();
            model.exchange(connection);
            model.clients.get(connection).hasUnreadClose = true;
        }
        int waiting = model.accept();
        model.sendRequest(waiting, 0);
        model.policy.setMaxConnections(3);
        model.policy.evictExcess(model.now);
        assertEquals(3, model.clients.size(), "a connection found closed counts as evicted");
        assertEquals(0, model.closedCount(CloseReason.values()), "closed by their clients");
        model.advance(3);
        assertEquals(Set.of(waiting), model.clients.keySet(), "the sweep goes on as well");
    }

    /** Guards against an eviction that fails once and from then on at each call. */
    @Test
    void evictionWorksAfterOneThatFailed() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(20);
        for (int i = 0; i < 6; i++) {
            model.exchange(model.accept());
        }
        model.policy.setMaxConnections(2);
        model.failsNextClose = true;
        assertThrows(IllegalStateException.class, () -> model.policy.evictExcess(model.now));
        assertEquals(6, model.clients.size());
        model.policy.evictExcess(model.now);
        assertEquals(2, model.clients.size());
    }

    @Test
    void idleConnectionsAreEvictedWhenTheLimitIsLowered() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(20);
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
        assertFalse(model.policy.isOverLimit(), "the configured limit of 20 applies");
        model.accept();
        assertTrue(model.policy.isOverLimit());
    }

    @Test
    void headMayTakeTwoSecondsAndBodyMayPauseForTwoSeconds() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(20);
        int slow = model.accept();
        int stalled = model.accept();
        model.sendBytes(stalled, 100);
        for (int k = 0; k < 10; k++) {
            model.sendBytes(slow, 12);
            model.advance(0.2);
        }
        assertTrue(model.clients.containsKey(slow));
        model.sendRequest(slow, 0);
        model.advance(0.9);
        assertFalse(
                model.clients.containsKey(stalled), "an incomplete request is closed within 3 s");
        int body = model.accept();
        model.policy.bytesReceived(body, 300, model.now);
        model.policy.headRead(body, model.now);
        model.clients.get(body).state = ConnectionState.READING_BODY;
        for (int k = 0; k < 4; k++) {
            model.advance(2);
            model.policy.bytesReceived(body, 128_000, model.now);
        }
        assertTrue(model.clients.containsKey(body), "a body at 64 kB per second, in four pieces");
    }

    @Test
    void connectionIsClosedWhenClientDoesNotReadItsResponse() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(20);
        int slow = model.accept();
        int fast = model.accept();
        for (int connection : new int[] {slow, fast}) {
            model.sendRequest(connection, 0);
            model.policy.responseReady(connection, model.now);
            model.clients.get(connection).state = ConnectionState.SENDING_RESPONSE;
        }
        for (int second = 0; second < 10; second++) {
            for (int k = 0; k < 10; k++) {
                model.policy.bytesSent(fast, 1000, model.now);
                if (model.clients.containsKey(slow) && k == 0) {
                    model.policy.bytesSent(slow, 1, model.now);
                }
                model.advance(0.1);
            }
        }
        assertEquals(List.of(fast), List.copyOf(model.clients.keySet()));
        assertEquals(1, model.closedCount(CloseReason.SLOW_READER));
    }

    @Test
    void repeatedInvalidRequestsPauseReadingAndThenCloseTheConnection() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(20);
        int connection = model.accept();
        double lastPauseSeconds = 0;
        boolean staysOpen = true;
        int rejections = 0;
        for (; staysOpen && rejections < 50; rejections++) {
            model.sendBytes(connection, 10);
            model.policy.headRead(connection, model.now);
            model.policy.invalidRequestReceived(connection, model.now);
            staysOpen = model.policy.responseReady(connection, model.now);
            double pauseSeconds = model.policy.startReadPause(connection, model.now);
            assertTrue(
                    pauseSeconds >= lastPauseSeconds
                            && pauseSeconds <= model.limits.maxReadPauseSeconds());
            lastPauseSeconds = pauseSeconds;
            model.now += pauseSeconds;
            model.policy.responseSent(connection, -1, model.now);
            model.clients.get(connection).state = ConnectionState.IDLE;
        }
        assertEquals(6, rejections);
        assertTrue(lastPauseSeconds > 4 * model.limits.firstReadPauseSeconds());
    }

    @Test
    void drainSpreadsClosesEvenlyOverItsDuration() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(300);
        List<Integer> idle = new ArrayList<>();
        for (int step = 0; step < 40; step++) {
            idle.add(model.accept());
            model.exchange(idle.get(step));
        }
        int awaitingResponse = model.accept();
        model.sendRequest(awaitingResponse, 0);
        model.policy.startDrain(model.now, model.now + 0.5);
        int[] open = new int[6];
        for (int step = 0; step < 5; step++) {
            open[step] = model.clients.size();
            for (int sweeps = 0; sweeps < 2; sweeps++) {
                model.now += 0.05;
                model.policy.sweep(model.now);
            }
        }
        for (int step = 1; step < 5; step++) {
            assertTrue(
                    open[step - 1] - open[step] >= 6 && open[step - 1] - open[step] <= 10,
                    Arrays.toString(open));
        }
        model.advance(0.2);
        assertEquals(
                List.of(awaitingResponse),
                List.copyOf(model.clients.keySet()),
                "the connection with a request stays open");
        assertFalse(
                model.policy.responseReady(awaitingResponse, model.now),
                "the response closes the connection");
    }

    /**
     * Guards against a connection that stays open after a drain, because its response promised so
     * before the drain began.
     */
    @Test
    void connectionClosesAfterResponseThatBeganBeforeTheDrain() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(8);
        int sending = model.accept();
        int refused = model.accept();
        model.sendRequest(sending, 0);
        model.sendRequest(refused, 0);
        assertTrue(model.policy.responseReady(sending, model.now));
        assertTrue(model.policy.responseReady(refused, model.now));
        model.policy.startReadPause(refused, model.now);
        model.policy.startDrain(model.now, model.now + 0.5);
        model.advance(0.9);
        model.policy.responseSent(refused, 0, model.now);
        model.clients.get(refused).state = ConnectionState.IDLE;
        model.advance(1);
        model.policy.responseSent(sending, 1, model.now);
        model.clients.get(sending).state = ConnectionState.IDLE;
        model.advance(0.05);
        assertEquals(2, model.closedCount(CloseReason.DRAINING));
    }

    @Test
    void endOfDrainClosesAllButConnectionsWithResponse() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(8);
        int sending = model.accept();
        int closing = model.accept();
        int idle = model.accept();
        int reading = model.accept();
        model.accept();
        model.exchange(idle);
        model.sendBytes(reading, 1);
        model.sendRequest(sending, 0);
        model.sendRequest(closing, 0);
        assertTrue(model.policy.responseReady(sending, model.now));
        model.policy.startDrain(model.now, model.now + 0.5);
        assertFalse(model.policy.responseReady(closing, model.now));
        model.policy.responseSent(closing, 1, model.now);
        model.policy.closeAllWithoutResponse();
        assertEquals(Set.of(sending, closing), model.clients.keySet());
        assertFalse(model.policy.isDrained(model.now + 1));
        model.policy.closed(sending, model.now);
        assertTrue(model.policy.isDrained(model.now + 1));
    }

    /** Guards against closing a client's connection for the time that its backend takes. */
    @Test
    void timeThatABackendTakesForABodyDoesNotCountAgainstItsClient() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(8);
        int connection = model.accept();
        model.sendBytes(connection, 100);
        model.policy.headRead(connection, model.now);
        model.clients.get(connection).state = ConnectionState.READING_BODY;
        model.advance(1);
        model.policy.bodyReadPaused(connection, model.now);
        model.advance(30);
        model.policy.bodyReadResumed(connection, model.now);
        model.advance(1.3);
        assertEquals(ConnectionState.READING_BODY, model.policy.state(connection));
        model.advance(0.4);
        assertEquals(1, model.closedCount(CloseReason.SLOW_REQUEST));
    }

    /** Guards against a client that buys time with single bytes that a backend takes at once. */
    @Test
    void singleBytesOfABodyDoNotRenewTheReadDeadline() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(8);
        int connection = model.accept();
        model.sendBytes(connection, 100);
        model.policy.headRead(connection, model.now);
        model.clients.get(connection).state = ConnectionState.READING_BODY;
        for (int k = 0; k < 30 && model.clients.containsKey(connection); k++) {
            model.policy.bytesReceived(connection, 1, model.now);
            model.policy.bodyReadPaused(connection, model.now);
            model.policy.bodyReadResumed(connection, model.now);
            model.advance(0.1);
        }
        assertEquals(1, model.closedCount(CloseReason.SLOW_REQUEST));
    }

    @Test
    void connectionWhoseBodyWaitsForABackendIsNotEvicted() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(8);
        int waiting = model.accept();
        model.sendBytes(waiting, 100);
        model.policy.headRead(waiting, model.now);
        model.policy.bodyReadPaused(waiting, model.now);
        model.clients.get(waiting).state = ConnectionState.AWAITING_BACKEND;
        model.advance(1);
        for (int k = 0; k < 8; k++) {
            model.accept();
        }
        model.advance(0.2);
        assertEquals(1, model.closedCount(CloseReason.EVICTED));
        assertTrue(model.clients.containsKey(waiting));
    }

    @Test
    void rejectedRequestIsDiscardedForABoundedTime() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(8);
        int connection = model.accept();
        model.sendBytes(connection, 100);
        model.policy.headRead(connection, model.now);
        model.policy.responseReady(connection, model.now);
        model.policy.discardingRequest(connection, model.now);
        model.clients.get(connection).state = ConnectionState.DISCARDING_REQUEST;
        for (int k = 0; k < 85; k++) {
            model.policy.bytesReceived(connection, 10_000, model.now);
            model.advance(0.1);
        }
        assertTrue(model.clients.containsKey(connection), "the client makes progress");
        for (int k = 0; k < 6; k++) {
            model.policy.bytesReceived(connection, 10_000, model.now);
            model.advance(0.1);
        }
        assertEquals(1, model.closedCount(CloseReason.SLOW_REQUEST));
    }

    @Test
    void openConnectionsStayWithinTheLimit() {
        for (int maxConnections : new int[] {14, 129, 9806}) {
            ConnectionPolicyModel model =
                    ConnectionPolicyModel.withSourcePerConnection(maxConnections);
            for (int k = 0; k < 2 * maxConnections; k++) {
                if (model.clients.size() >= model.limits.acceptLimit()) {
                    model.advance(0.2);
                }
                model.accept();
            }
            model.advance(0.2);
            assertTrue(
                    model.clients.size() <= maxConnections,
                    maxConnections + ": " + model.clients.size());
            assertTrue(
                    model.policy.summary().contains("new=" + model.clients.size()),
                    model.policy.summary());
        }
    }

    @Test
    void connectionStaysOpenForItsAnnouncedKeepAliveTime() {
        ConnectionLimits limits =
                new ConnectionLimits(
                        8, 10, 2.2, 0, ConnectionLimits.Sharing.CONNECTION, true, 2048, 1);
        ConnectionPolicyModel model = new ConnectionPolicyModel(limits);
        int connection = model.accept();
        model.exchange(connection);
        assertEquals(2, model.policy.announcedKeepAliveSeconds(connection));
        for (int k = 0; k < 9; k++) {
            model.sendRequest(model.accept(), 0);
        }
        model.advance(1.9);
        assertTrue(
                model.clients.containsKey(connection),
                "not evicted, although there is no other candidate");
    }

    @Test
    void eventsOfAClosedConnectionAreIgnored() {
        ConnectionPolicyModel model = ConnectionPolicyModel.withSourcePerConnection(8);
        int connection = model.policy.accepted(7, model.now);
        model.policy.closed(connection, model.now);
        model.policy.headRead(connection, model.now);
        model.policy.invalidRequestReceived(connection, model.now);
        // The model has no client for this connection, so closing it would throw and end all
        // further sweeps.
        assertDoesNotThrow(() -> model.policy.sweep(model.now + 100));
    }
}
