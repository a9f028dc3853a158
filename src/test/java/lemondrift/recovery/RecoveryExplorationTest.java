package lemondrift.recovery;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Explores the states of three proxies, breadth first up to a limit: every order of their messages,
 * with losses, duplicates and restarts at every step. A message that is never delivered is lost.
 * The service time that a proxy measures equals its start number, which identifies its origin.
 */
class RecoveryExplorationTest {
    private static final int PROXIES = 3;

    /** Number of ticks after which the exploration no longer advances time. */
    private static final int MAX_TICKS = 5;

    /** Maximum number of states that are discovered. */
    private static final int MAX_STATES = 600_000;

    /** Number of ticks without faults after which all proxies must have recovered. */
    private static final int FAULT_FREE_TICKS = 12;

    /** One state in this number is followed by a run without faults. */
    private static final int STATES_PER_FAULT_FREE_RUN = 97;

    private static final PeerPollSettings POLL_SETTINGS = new PeerPollSettings(1, 1, 2, 1, 2);

    private record Message(int from, int to, PeerStatus status) {}

    /** The state of the whole system at one time, and the number of faults that may still occur. */
    private record SystemState(
            List<RecoveryState> proxies,
            Map<Message, Integer> inFlight,
            int now,
            int restartsLeft,
            int repeatsLeft,
            int samplesLeft,
            int nextStartNumber) {}

    /** The transitions under test; mutants override them with faulty ones. */
    private static class Transitions {
        RecoveryState.PeerEstimate peerEstimate(RecoveryState proxy, double now) {
            return proxy.peerEstimate(now).orElse(null);
        }

        RecoveryState.Step statusReceived(
                RecoveryState proxy, int from, PeerStatus status, double now) {
            return proxy.statusReceived(from, status, now);
        }

        RecoveryState.Step wake(RecoveryState proxy, double now) {
            return proxy.wake(now);
        }
    }

    private Transitions transitions = new Transitions();
    private String firstViolation;
    private int exploredStates;

    private void check(boolean holds, String invariant, SystemState state) {
        firstViolation =
                firstViolation == null && !holds ? invariant + " at " + state : firstViolation;
    }

    private SystemState applyStep(
            SystemState state,
            int proxyIndex,
            RecoveryState.Step step,
            Map<Message, Integer> inFlight) {
        List<RecoveryState> all = new ArrayList<>(state.proxies);
        all.set(proxyIndex, step.next());
        for (RecoveryState.StatusMessage each : step.messages()) {
            PeerStatus status = each.status();
            check(
                    status.samples() == step.next().samples()
                            && (status.samples() == 0
                                    || status.serviceTimeSeconds() == status.startNumber()),
                    "a proxy reports only its own measurements",
                    state);
            inFlight.merge(new Message(proxyIndex, each.to(), status), 1, Integer::sum);
        }
        return new SystemState(
                all,
                inFlight,
                state.now,
                state.restartsLeft,
                state.repeatsLeft,
                state.samplesLeft,
                state.nextStartNumber);
    }

    private SystemState deliver(SystemState state, Message message, boolean keepCopy) {
        Map<Message, Integer> inFlight = new HashMap<>(state.inFlight);
        if (!keepCopy) {
            inFlight.computeIfPresent(message, (m, n) -> n > 1 ? n - 1 : null);
        }
        RecoveryState proxy = state.proxies.get(message.to);
        PeerObservation before = proxy.observations().get(message.from);
        RecoveryState.Step step =
                transitions.statusReceived(proxy, message.from, message.status, state.now);
        boolean outdated =
                (before != null
                                && state.now - before.receivedAt() <= POLL_SETTINGS.expirySeconds()
                                && message.status.startNumber() < before.status().startNumber())
                        || (message.status.recipientStart() != 0
                                && message.status.recipientStart() != proxy.startNumber());
        check(
                !outdated || (step.next().equals(proxy) && step.messages().isEmpty()),
                "a status from or for an earlier start changes nothing",
                state);
        SystemState next = applyStep(state, message.to, step, inFlight);
        return new SystemState(
                next.proxies,
                next.inFlight,
                state.now,
                state.restartsLeft,
                state.repeatsLeft - (keepCopy ? 1 : 0),
                state.samplesLeft,
                state.nextStartNumber);
    }

    /** Advances time by one tick; the proxies whose poll is due send it. */
    private SystemState tick(SystemState state) {
        SystemState next =
                new SystemState(
                        state.proxies,
                        state.inFlight,
                        state.now + 1,
                        state.restartsLeft,
                        state.repeatsLeft,
                        state.samplesLeft,
                        state.nextStartNumber);
        for (int proxyIndex = 0; proxyIndex < PROXIES; proxyIndex++) {
            next =
                    applyStep(
                            next,
                            proxyIndex,
                            transitions.wake(next.proxies.get(proxyIndex), next.now),
                            new HashMap<>(next.inFlight));
        }
        return next;
    }

    private SystemState measure(SystemState state, int proxyIndex) {
        RecoveryState proxy = state.proxies.get(proxyIndex);
        List<RecoveryState> all = new ArrayList<>(state.proxies);
        all.set(
                proxyIndex,
                proxy.withMeasuredServiceTime((double) proxy.startNumber(), proxy.samples() + 1));
        return new SystemState(
                all,
                state.inFlight,
                state.now,
                state.restartsLeft,
                state.repeatsLeft,
                state.samplesLeft - 1,
                state.nextStartNumber);
    }

    private SystemState restart(SystemState state, int proxyIndex) {
        List<RecoveryState> all = new ArrayList<>(state.proxies);
        all.set(
                proxyIndex,
                RecoveryState.starting(
                        POLL_SETTINGS, proxyIndex, PROXIES, state.nextStartNumber, state.now));
        return new SystemState(
                all,
                state.inFlight,
                state.now,
                state.restartsLeft - 1,
                state.repeatsLeft,
                state.samplesLeft,
                state.nextStartNumber + 1);
    }

    private List<SystemState> successors(SystemState state) {
        List<SystemState> all = new ArrayList<>();
        for (Message each : state.inFlight.keySet()) {
            all.add(deliver(state, each, false));
            if (state.repeatsLeft > 0) {
                all.add(deliver(state, each, true));
            }
        }
        for (int proxyIndex = 0; proxyIndex < PROXIES; proxyIndex++) {
            if (state.samplesLeft > 0 && !state.proxies.get(proxyIndex).isSettled()) {
                all.add(measure(state, proxyIndex));
            }
            if (state.restartsLeft > 0) {
                all.add(restart(state, proxyIndex));
            }
        }
        if (state.now < MAX_TICKS) {
            all.add(tick(state));
        }
        return all;
    }

    private void checkInvariants(SystemState state) {
        for (RecoveryState proxy : state.proxies) {
            List<PeerStatus> current =
                    proxy.observations().values().stream()
                            .filter(
                                    each ->
                                            state.now - each.receivedAt()
                                                    <= POLL_SETTINGS.expirySeconds())
                            .map(PeerObservation::status)
                            .toList();
            RecoveryState.PeerEstimate estimate = transitions.peerEstimate(proxy, state.now);
            check(
                    estimate == null
                            || current.stream()
                                    .anyMatch(
                                            each ->
                                                    each.serviceTimeSeconds()
                                                                    == estimate.serviceTimeSeconds()
                                                            && each.samples() > 0),
                    "an estimate equals a measurement that has not expired",
                    state);
            // The phase was determined at the last event of the proxy, at most one tick ago.
            if (!proxy.isSettled() && proxy.nextPollAt() > state.now) {
                boolean anyCurrent =
                        proxy.observations().values().stream()
                                .anyMatch(
                                        each ->
                                                state.now - each.receivedAt()
                                                        <= POLL_SETTINGS.expirySeconds() + 1);
                boolean anySettled =
                        proxy.observations().values().stream()
                                .anyMatch(each -> each.status().settled());
                check(
                        proxy.phase() != RecoveryPhase.ALL_NEW || anyCurrent,
                        "without a current answer the phase is not ALL_NEW",
                        state);
                check(
                        proxy.phase() != RecoveryPhase.ALONE || anySettled,
                        "the phase is ALONE only if a peer is settled",
                        state);
            }
        }
    }

    /** Guards against a run without further faults that does not end with all proxies recovered. */
    private void runWithoutFaults(SystemState from) {
        SystemState state = from;
        for (int i = 0; i < FAULT_FREE_TICKS; i++) {
            for (int n = 0; n < 200 && !state.inFlight.isEmpty(); n++) {
                state = deliver(state, state.inFlight.keySet().iterator().next(), false);
            }
            for (int proxyIndex = 0;
                    proxyIndex < PROXIES - 1 && i > FAULT_FREE_TICKS / 2;
                    proxyIndex++) {
                state =
                        state.proxies.get(proxyIndex).isSettled()
                                ? state
                                : measure(state, proxyIndex);
            }
            state = tick(state);
        }
        RecoveryState last = state.proxies.get(PROXIES - 1);
        check(
                state.proxies.stream().limit(PROXIES - 1).allMatch(RecoveryState::isSettled),
                "a proxy with enough samples settles",
                state);
        check(
                last.isSettled()
                        || (last.phase() == RecoveryPhase.ALONE
                                && last.peerEstimate(state.now).isPresent()),
                "a proxy without samples finally has the phase ALONE and an estimate from peers",
                state);
    }

    /** Returns the first violated invariant; null if all hold up to the limit. */
    private String explore() {
        List<RecoveryState> all = new ArrayList<>();
        for (int proxyIndex = 0; proxyIndex < PROXIES; proxyIndex++) {
            all.add(RecoveryState.starting(POLL_SETTINGS, proxyIndex, PROXIES, 1 + proxyIndex, 0));
        }
        SystemState first = new SystemState(all, Map.of(), 0, 1, 1, 3, 1 + PROXIES);
        Set<SystemState> known = new HashSet<>(Set.of(first));
        Deque<SystemState> queue = new ArrayDeque<>(known);
        while (!queue.isEmpty() && known.size() < MAX_STATES && firstViolation == null) {
            SystemState state = queue.remove();
            checkInvariants(state);
            if (++exploredStates % STATES_PER_FAULT_FREE_RUN == 0) {
                runWithoutFaults(state);
            }
            for (SystemState each : successors(state)) {
                if (known.add(each)) {
                    queue.add(each);
                }
            }
        }
        return firstViolation;
    }

    @Test
    void invariantsHoldInEveryOrderOfEvents() {
        assertNull(explore());
        assertTrue(exploredStates > 5_000, exploredStates + " states explored");
    }

    private static void assertViolationFound(String invariant, Transitions mutant) {
        RecoveryExplorationTest exploration = new RecoveryExplorationTest();
        exploration.transitions = mutant;
        String violation = exploration.explore();
        assertTrue(
                violation != null && violation.startsWith(invariant),
                "expected a violation of: " + invariant + ", got: " + violation);
    }

    @Test
    void detectsMutantThatAcceptsEarlierStarts() {
        assertViolationFound(
                "a status from or for an earlier start",
                new Transitions() {
                    @Override
                    RecoveryState.Step statusReceived(
                            RecoveryState proxy, int from, PeerStatus status, double now) {
                        PeerObservation before = proxy.observations().get(from);
                        long start =
                                before == null
                                        ? status.startNumber()
                                        : Math.max(
                                                status.startNumber(),
                                                before.status().startNumber());
                        return proxy.statusReceived(
                                from,
                                new PeerStatus(
                                        start,
                                        0,
                                        status.wantsReply(),
                                        status.uptimeSeconds() + 9,
                                        status.serviceTimeSeconds(),
                                        status.samples(),
                                        status.settled()),
                                now);
                    }
                });
    }

    private static RecoveryState.StatusMessage withPeerEstimate(
            RecoveryState proxy,
            RecoveryState.StatusMessage message,
            RecoveryState.PeerEstimate estimate) {
        return new RecoveryState.StatusMessage(
                message.to(),
                new PeerStatus(
                        proxy.startNumber(),
                        0,
                        true,
                        message.status().uptimeSeconds(),
                        (float) estimate.serviceTimeSeconds(),
                        estimate.samples(),
                        false));
    }

    @Test
    void detectsMutantThatForwardsPeerMeasurements() {
        assertViolationFound(
                "a proxy reports only",
                new Transitions() {
                    @Override
                    RecoveryState.Step wake(RecoveryState proxy, double now) {
                        RecoveryState.Step step = proxy.wake(now);
                        RecoveryState.PeerEstimate estimate = proxy.peerEstimate(now).orElse(null);
                        if (estimate == null || proxy.samples() > 0) {
                            return step;
                        }
                        List<RecoveryState.StatusMessage> messages =
                                step.messages().stream()
                                        .map(each -> withPeerEstimate(proxy, each, estimate))
                                        .toList();
                        return new RecoveryState.Step(step.next(), messages, step.peerRestarted());
                    }
                });
    }

    @Test
    void detectsMutantThatNeverExpiresStatuses() {
        assertViolationFound(
                "an estimate equals",
                new Transitions() {
                    @Override
                    RecoveryState.PeerEstimate peerEstimate(RecoveryState proxy, double now) {
                        return proxy.peerEstimate(proxy.startedAt()).orElse(null);
                    }
                });
    }

    @Test
    void detectsMutantThatReportsAllNewWhenNoPeerAnswers() {
        assertViolationFound(
                "without a current answer",
                new Transitions() {
                    @Override
                    RecoveryState.Step wake(RecoveryState proxy, double now) {
                        RecoveryState.Step step = proxy.wake(now);
                        RecoveryState next = step.next();
                        return next.phase() != RecoveryPhase.CUT_OFF
                                ? step
                                : new RecoveryState.Step(
                                        new RecoveryState(
                                                next.pollSettings(),
                                                next.self(),
                                                next.proxyCount(),
                                                next.startNumber(),
                                                next.startedAt(),
                                                next.serviceTimeSeconds(),
                                                next.samples(),
                                                new TreeMap<>(next.observations()),
                                                RecoveryPhase.ALL_NEW,
                                                next.pollRounds(),
                                                next.nextPollAt()),
                                        step.messages(),
                                        false);
                    }
                });
    }

    @Test
    void detectsMutantThatNeverReplies() {
        assertViolationFound(
                "a proxy without samples",
                new Transitions() {
                    @Override
                    RecoveryState.Step statusReceived(
                            RecoveryState proxy, int from, PeerStatus status, double now) {
                        RecoveryState.Step step = proxy.statusReceived(from, status, now);
                        return new RecoveryState.Step(step.next(), List.of(), step.peerRestarted());
                    }
                });
    }
}
