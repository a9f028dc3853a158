package lemondrift.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RecoveryStateTest {
    private static final PeerPollSettings POLL_SETTINGS = new PeerPollSettings(1, 5, 20, 2, 3);

    private static PeerStatus status(
            long startNumber,
            float uptimeSeconds,
            float serviceTimeSeconds,
            int samples,
            boolean settled) {
        return new PeerStatus(
                startNumber, 0, false, uptimeSeconds, serviceTimeSeconds, samples, settled);
    }

    private static RecoveryState starting(int proxyCount) {
        return RecoveryState.starting(POLL_SETTINGS, 0, proxyCount, 100, 0);
    }

    private static RecoveryState received(RecoveryState state, double now, PeerStatus... statuses) {
        for (int i = 0; i < statuses.length; i++) {
            state = state.statusReceived(i + 1, statuses[i], now).next();
        }
        return state;
    }

    @Test
    void rejectsDatagramThatIsTruncatedForeignOrOutOfRange() {
        byte[] good = new PeerStatus(7, 9, true, 1.5f, 0.25f, 300, false).encode();
        assertEquals(
                Optional.of(new PeerStatus(7, 9, true, 1.5f, 0.25f, 255, false)),
                PeerStatus.decode(good));
        IntStream.range(0, good.length)
                .forEach(
                        i ->
                                assertEquals(
                                        Optional.empty(),
                                        PeerStatus.decode(Arrays.copyOf(good, i))));
        assertEquals(Optional.empty(), PeerStatus.decode(Arrays.copyOf(good, good.length + 1)));
        for (int[] change : new int[][] {{0, 2}, {1, 2}, {4, -1}, {20, 0xff}, {24, 0xff}}) {
            byte[] bad = good.clone();
            bad[change[0]] = (byte) change[1];
            assertEquals(Optional.empty(), PeerStatus.decode(bad), "byte " + change[0]);
        }
        assertEquals(
                Optional.empty(),
                PeerStatus.decode(status(1, 1, 0, 5, false).encode()),
                "samples without service time");
    }

    @Property(tries = 300, seed = "48")
    void decodedStatusIsAlwaysInRange(@ForAll @Size(28) byte[] bytes) {
        bytes[0] = PeerStatus.KIND;
        bytes[1] = PeerStatus.VERSION;
        assertTrue(
                PeerStatus.decode(bytes).stream()
                        .allMatch(
                                status ->
                                        status.uptimeSeconds() >= 0
                                                && status.serviceTimeSeconds() >= 0
                                                && status.startNumber() > 0));
    }

    @Test
    void derivesPhaseFromPeersThatAnswer() {
        assertEquals(RecoveryPhase.UNKNOWN, starting(4).wake(1).next().phase());
        assertEquals(RecoveryPhase.CUT_OFF, starting(4).wake(5).next().phase(), "no peer answers");
        PeerStatus settledPeer = status(50, 99, 0.2f, 40, true);
        PeerStatus newPeer = status(101, 1, 0, 0, false);
        assertEquals(
                RecoveryPhase.ALONE, received(starting(9), 1, settledPeer).phase(), "immediately");
        assertEquals(
                RecoveryPhase.UNKNOWN,
                received(starting(4), 1, newPeer).phase(),
                "other peers may be settled");
        assertEquals(
                RecoveryPhase.ALL_NEW,
                received(starting(4), 1, newPeer, newPeer, newPeer).phase(),
                "immediately, because all peers have answered");
        assertEquals(
                RecoveryPhase.AMONG_SOME,
                received(starting(4), 1, newPeer, settledPeer, newPeer).phase());
        RecoveryState afterTimeout = received(starting(9), 1, newPeer).wake(5).next();
        assertEquals(RecoveryPhase.ALL_NEW, afterTimeout.phase());
        PeerStatus nowSettled = status(101, 6, 0.2f, 3, true);
        assertEquals(
                RecoveryPhase.ALONE,
                received(afterTimeout, 6, nowSettled, settledPeer).phase(),
                "corrected after later answers");
        assertEquals(
                RecoveryPhase.CUT_OFF,
                received(starting(9), 1, settledPeer).wake(22).next().phase(),
                "the only status has expired");
    }

    @Test
    void settledProxyStopsPollingAndKeepsItsPhase() {
        RecoveryState state =
                received(starting(4), 1, status(50, 99, 0.2f, 40, true))
                        .withMeasuredServiceTime(0.3, 3);
        assertTrue(state.isSettled());
        assertEquals(Double.POSITIVE_INFINITY, state.wakeAt());
        assertEquals(List.of(), state.wake(40).messages());
        assertEquals(RecoveryPhase.ALONE, state.wake(40).next().phase());
        RecoveryState.Step reply =
                state.statusReceived(2, new PeerStatus(300, 100, true, 0.1f, 0, 0, false), 50);
        assertEquals(
                List.of(
                        new RecoveryState.StatusMessage(
                                2, new PeerStatus(100, 300, false, 50, 0.3f, 3, true))),
                reply.messages());
    }

    @Test
    void ignoresStatusFromOrForAnEarlierStart() {
        RecoveryState state = received(starting(4), 1, status(200, 3, 0.2f, 4, false));
        assertSame(
                state,
                state.statusReceived(1, status(199, 9, 0.9f, 9, true), 2).next(),
                "from an earlier start of the sender");
        assertSame(
                state,
                state.statusReceived(1, status(200, 2, 0.9f, 9, true), 2).next(),
                "out of order");
        assertSame(
                state,
                state.statusReceived(2, new PeerStatus(300, 99, true, 1, 0.9f, 9, true), 2).next(),
                "for an earlier start of the recipient");
        assertSame(
                state,
                state.statusReceived(0, status(300, 1, 0.9f, 9, true), 2).next(),
                "from itself");
        assertSame(
                state,
                state.statusReceived(4, status(300, 1, 0.9f, 9, true), 2).next(),
                "unknown sender");
        assertSame(
                state,
                state.statusReceived(-1, status(300, 1, 0.9f, 9, true), 2).next(),
                "unknown sender");
        assertTrue(
                state.statusReceived(1, status(201, 0, 0, 0, false), 2).peerRestarted(),
                "a higher start number shows a restart");
        assertFalse(state.statusReceived(1, status(200, 4, 0.2f, 5, false), 2).peerRestarted());
    }

    /** Guards against ignoring a proxy whose wall clock went back after a power loss. */
    @Test
    void acceptsLowerStartNumberOnceTheHigherOneHasExpired() {
        RecoveryState state = received(starting(4), 1, status(200, 3, 0.2f, 4, true));
        PeerStatus lowerStart = status(150, 1, 0, 0, false);
        assertSame(state, state.statusReceived(1, lowerStart, 15).next());
        assertEquals(
                lowerStart,
                state.statusReceived(1, lowerStart, 22).next().observations().get(1).status());
    }

    @Test
    void reportsOnlyItsOwnMeasurements() {
        RecoveryState first = starting(2);
        RecoveryState second = RecoveryState.starting(POLL_SETTINGS, 1, 2, 101, 0);
        for (double now = 0; now < 15; now++) {
            RecoveryState.Step poll = first.wake(now);
            first = poll.next();
            for (RecoveryState.StatusMessage each : poll.messages()) {
                RecoveryState.Step reply = second.statusReceived(0, each.status(), now);
                second = reply.next();
                first = first.statusReceived(1, reply.messages().get(0).status(), now).next();
            }
            assertEquals(Optional.empty(), first.peerEstimate(now), "neither proxy has samples");
        }
        RecoveryState withEstimate = received(first, 15, status(101, 15, 0.4f, 2, false));
        assertEquals(
                Optional.of(new RecoveryState.PeerEstimate(0.4f, 2)),
                withEstimate.peerEstimate(15));
        assertTrue(
                withEstimate.wake(withEstimate.wakeAt()).messages().stream()
                        .allMatch(each -> each.status().samples() == 0),
                "measurements of peers are not forwarded");
        assertEquals(Optional.empty(), withEstimate.peerEstimate(36), "the status has expired");
    }

    @Test
    void onePeerCannotDistortTheEstimate() {
        PeerStatus[] statuses = {
            status(1, 9, 0.2f, 40, true),
            status(1, 9, 0.3f, 3, true),
            status(1, 9, 1e-9f, 255, true),
            status(1, 9, 0.0001f, 8, false)
        };
        assertEquals(
                Optional.of(new RecoveryState.PeerEstimate(0.2f, 19)),
                received(starting(9), 1, statuses).peerEstimate(1));
        assertEquals(
                Optional.of(new RecoveryState.PeerEstimate(0.3f, 11)),
                received(starting(9), 1, statuses[0], statuses[1]).peerEstimate(1));
    }

    @Property(tries = 100, seed = "48")
    void pollsAllPeersInTurn(
            @ForAll @IntRange(min = 2, max = 40) int proxyCount,
            @ForAll @IntRange(min = 0, max = 39) int self) {
        RecoveryState state =
                RecoveryState.starting(
                        new PeerPollSettings(1, 5, 20, 3, 8), self % proxyCount, proxyCount, 1, 0);
        boolean[] polled = new boolean[proxyCount];
        for (int round = 0; round < proxyCount; round++) {
            RecoveryState.Step step = state.wake(state.wakeAt());
            assertEquals(
                    Math.min(3, proxyCount - 1),
                    step.messages().stream()
                            .map(RecoveryState.StatusMessage::to)
                            .distinct()
                            .count());
            step.messages().forEach(each -> polled[each.to()] = true);
            state = step.next();
        }
        for (int proxy = 0; proxy < proxyCount; proxy++) {
            assertEquals(proxy != self % proxyCount, polled[proxy], "proxy " + proxy);
        }
    }

    @Test
    void weighsSnapshotByAgeBootAndProxyName() {
        Snapshot snapshot = new Snapshot("n1", "boot-1", 77, 1000, 0.2, 40);
        assertEquals(40, snapshot.restore("n1", "boot-1", 1010).samples());
        assertEquals(
                1,
                snapshot.restore("n1", "boot-2", 1010).samples(),
                "the machine has been rebooted");
        assertEquals(
                1, snapshot.restore("n1", "boot-1", 1000 + 25 * 3600).samples(), "over a day old");
        assertEquals(
                1,
                snapshot.restore("n1", "boot-1", 1000 - 3600).samples(),
                "the clock went back by one hour");
        assertEquals(
                77,
                snapshot.restore("n1", "boot-1", -5).previousStartNumber(),
                "the start number does not depend on the clock");
        assertEquals(
                0,
                snapshot.restore("n2", "boot-1", 1010).previousStartNumber(),
                "snapshot of another proxy");
        assertEquals(0, snapshot.restore("n2", "boot-1", 1010).serviceTimeSeconds());
        assertThrows(IllegalArgumentException.class, () -> new Snapshot("n", "b", 1, 1, -1, 1));
        assertThrows(IllegalArgumentException.class, () -> new Snapshot("n", "b", 1, 1, 0, 1));
    }
}
