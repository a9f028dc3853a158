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
 * Three proxies, every order of their messages, with losses, repeats and restarts at every step,
 * breadth first to a bound. What never arrives is lost. The service time that a proxy measures is
 * its start number, so that it is seen whose it is.
 */
class RecoveryExplorationTest {
    private static final int PROXIES = 3;

    /** Time ends after so many ticks. */
    private static final int MAX_TICKS = 5;

    /** So many states are known at the most. */
    private static final int MAX_STATES = 600_000;

    /** Ticks without faults in which a history is played to its end. */
    private static final int FAULT_FREE_TICKS = 12;

    /** One state of so many is played to its end. */
    private static final int STATES_PER_FAULT_FREE_RUN = 97;

    private static final PeerPollSettings POLL_SETTINGS = new PeerPollSettings(1, 1, 2, 1, 2);

    private record Message(int from, int to, PeerStatus status) {}

    /** All there is at one time, and how much may still go wrong. */
    private record SystemState(
            List<RecoveryState> proxies,
            Map<Message, Integer> inFlight,
            int now,
            int restartsLeft,
            int repeatsLeft,
            int samplesLeft,
            int nextStartNumber) {}

    /** The core, or one that is broken on purpose. */
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

    private void check(boolean holds, String invariant, SystemState at) {
        firstViolation =
                firstViolation == null && !holds ? invariant + " at " + at : firstViolation;
    }

    private SystemState applyStep(
            SystemState at, int p, RecoveryState.Step step, Map<Message, Integer> underWay) {
        List<RecoveryState> all = new ArrayList<>(at.proxies);
        all.set(p, step.next());
        for (RecoveryState.StatusMessage each : step.messages()) {
            PeerStatus status = each.status();
            check(
                    status.samples() == step.next().samples()
                            && (status.samples() == 0
                                    || status.serviceTimeSeconds() == status.startNumber()),
                    "a proxy reports only what it has measured itself",
                    at);
            underWay.merge(new Message(p, each.to(), status), 1, Integer::sum);
        }
        return new SystemState(
                all,
                underWay,
                at.now,
                at.restartsLeft,
                at.repeatsLeft,
                at.samplesLeft,
                at.nextStartNumber);
    }

    private SystemState deliver(SystemState at, Message message, boolean again) {
        Map<Message, Integer> underWay = new HashMap<>(at.inFlight);
        if (!again) {
            underWay.computeIfPresent(message, (m, n) -> n > 1 ? n - 1 : null);
        }
        RecoveryState proxy = at.proxies.get(message.to);
        PeerObservation before = proxy.observations().get(message.from);
        RecoveryState.Step step =
                transitions.statusReceived(proxy, message.from, message.status, at.now);
        boolean former =
                (before != null
                                && at.now - before.receivedAt() <= POLL_SETTINGS.expirySeconds()
                                && message.status.startNumber() < before.status().startNumber())
                        || (message.status.recipientStart() != 0
                                && message.status.recipientStart() != proxy.startNumber());
        check(
                !former || (step.next().equals(proxy) && step.messages().isEmpty()),
                "an earlier start changes nothing",
                at);
        SystemState then = applyStep(at, message.to, step, underWay);
        return new SystemState(
                then.proxies,
                then.inFlight,
                at.now,
                at.restartsLeft,
                at.repeatsLeft - (again ? 1 : 0),
                at.samplesLeft,
                at.nextStartNumber);
    }

    /** Time goes on for all, and who is due polls. */
    private SystemState tick(SystemState at) {
        SystemState then =
                new SystemState(
                        at.proxies,
                        at.inFlight,
                        at.now + 1,
                        at.restartsLeft,
                        at.repeatsLeft,
                        at.samplesLeft,
                        at.nextStartNumber);
        for (int p = 0; p < PROXIES; p++) {
            then =
                    applyStep(
                            then,
                            p,
                            transitions.wake(then.proxies.get(p), then.now),
                            new HashMap<>(then.inFlight));
        }
        return then;
    }

    private SystemState measure(SystemState at, int p) {
        RecoveryState proxy = at.proxies.get(p);
        List<RecoveryState> all = new ArrayList<>(at.proxies);
        all.set(
                p,
                proxy.withMeasuredServiceTime((double) proxy.startNumber(), proxy.samples() + 1));
        return new SystemState(
                all,
                at.inFlight,
                at.now,
                at.restartsLeft,
                at.repeatsLeft,
                at.samplesLeft - 1,
                at.nextStartNumber);
    }

    private SystemState restart(SystemState at, int p) {
        List<RecoveryState> all = new ArrayList<>(at.proxies);
        all.set(p, RecoveryState.starting(POLL_SETTINGS, p, PROXIES, at.nextStartNumber, at.now));
        return new SystemState(
                all,
                at.inFlight,
                at.now,
                at.restartsLeft - 1,
                at.repeatsLeft,
                at.samplesLeft,
                at.nextStartNumber + 1);
    }

    private List<SystemState> successors(SystemState at) {
        List<SystemState> all = new ArrayList<>();
        for (Message each : at.inFlight.keySet()) {
            all.add(deliver(at, each, false));
            if (at.repeatsLeft > 0) {
                all.add(deliver(at, each, true));
            }
        }
        for (int p = 0; p < PROXIES; p++) {
            if (at.samplesLeft > 0 && !at.proxies.get(p).isSettled()) {
                all.add(measure(at, p));
            }
            if (at.restartsLeft > 0) {
                all.add(restart(at, p));
            }
        }
        if (at.now < MAX_TICKS) {
            all.add(tick(at));
        }
        return all;
    }

    private void checkInvariants(SystemState at) {
        for (RecoveryState proxy : at.proxies) {
            List<PeerStatus> fresh =
                    proxy.observations().values().stream()
                            .filter(
                                    each ->
                                            at.now - each.receivedAt()
                                                    <= POLL_SETTINGS.expirySeconds())
                            .map(PeerObservation::status)
                            .toList();
            RecoveryState.PeerEstimate lesson = transitions.peerEstimate(proxy, at.now);
            check(
                    lesson == null
                            || fresh.stream()
                                    .anyMatch(
                                            each ->
                                                    each.serviceTimeSeconds()
                                                                    == lesson.serviceTimeSeconds()
                                                            && each.samples() > 0),
                    "no figure is used past its age or made up",
                    at);
            // The phase was judged when something last happened to the proxy, one tick ago at the
            // most.
            if (!proxy.isSettled() && proxy.nextPollAt() > at.now) {
                boolean any =
                        proxy.observations().values().stream()
                                .anyMatch(
                                        each ->
                                                at.now - each.receivedAt()
                                                        <= POLL_SETTINGS.expirySeconds() + 1);
                boolean warm =
                        proxy.observations().values().stream()
                                .anyMatch(each -> each.status().settled());
                check(
                        proxy.phase() != RecoveryPhase.ALL_NEW || any,
                        "not heard is not all new",
                        at);
                check(
                        proxy.phase() != RecoveryPhase.ALONE || warm,
                        "alone only beside one that knows",
                        at);
            }
        }
    }

    /** Guards against a history without further faults that does not end with all recovered. */
    private void runWithoutFaults(SystemState from) {
        SystemState at = from;
        for (int i = 0; i < FAULT_FREE_TICKS; i++) {
            for (int n = 0; n < 200 && !at.inFlight.isEmpty(); n++) {
                at = deliver(at, at.inFlight.keySet().iterator().next(), false);
            }
            for (int p = 0; p < PROXIES - 1 && i > FAULT_FREE_TICKS / 2; p++) {
                at = at.proxies.get(p).isSettled() ? at : measure(at, p);
            }
            at = tick(at);
        }
        RecoveryState last = at.proxies.get(PROXIES - 1);
        check(
                at.proxies.stream().limit(PROXIES - 1).allMatch(RecoveryState::isSettled),
                "who has samples settles",
                at);
        check(
                last.isSettled()
                        || (last.phase() == RecoveryPhase.ALONE
                                && last.peerEstimate(at.now).isPresent()),
                "one without samples is alone among them at last, and learns from them",
                at);
    }

    /** The first invariant that is broken; null where all hold to the bound. */
    private String explore() {
        List<RecoveryState> all = new ArrayList<>();
        for (int p = 0; p < PROXIES; p++) {
            all.add(RecoveryState.starting(POLL_SETTINGS, p, PROXIES, 1 + p, 0));
        }
        SystemState first = new SystemState(all, Map.of(), 0, 1, 1, 3, 1 + PROXIES);
        Set<SystemState> known = new HashSet<>(Set.of(first));
        Deque<SystemState> open = new ArrayDeque<>(known);
        while (!open.isEmpty() && known.size() < MAX_STATES && firstViolation == null) {
            SystemState at = open.remove();
            checkInvariants(at);
            if (++exploredStates % STATES_PER_FAULT_FREE_RUN == 0) {
                runWithoutFaults(at);
            }
            for (SystemState each : successors(at)) {
                if (known.add(each)) {
                    open.add(each);
                }
            }
        }
        return firstViolation;
    }

    @Test
    void invariantsHoldInEveryOrderOfEvents() {
        assertNull(explore());
        assertTrue(exploredStates > 5_000, exploredStates + " states seen");
    }

    private static void assertViolationFound(String invariant, Transitions mutant) {
        RecoveryExplorationTest exploration = new RecoveryExplorationTest();
        exploration.transitions = mutant;
        String broken = exploration.explore();
        assertTrue(broken != null && broken.startsWith(invariant), "caught by: " + broken);
    }

    @Test
    void detectsMutantThatAcceptsEarlierStarts() {
        assertViolationFound(
                "an earlier start",
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
                "no figure",
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
                "not heard",
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
                "one without samples",
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
