package lemondrift.recovery;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * A proxy's recovery after its start: it polls its peers for their phase and for the service time
 * of a request, until it has measured that itself. A value; each event gives another one. Times are
 * in seconds of one clock.
 *
 * @param pollSettings how it polls
 * @param self its number among the proxies
 * @param proxyCount how many proxies there are
 * @param startNumber its own, which rises with each start
 * @param startedAt when it started
 * @param serviceTimeSeconds mean service time from its own samples, 0 without any
 * @param samples how many these are
 * @param observations the latest status of each peer that has sent one, by its number
 * @param phase what it is among them; fixed once it is settled
 * @param pollRounds how often it has polled
 * @param nextPollAt when it polls next
 */
public record RecoveryState(
        PeerPollSettings pollSettings,
        int self,
        int proxyCount,
        long startNumber,
        double startedAt,
        double serviceTimeSeconds,
        int samples,
        SortedMap<Integer, PeerObservation> observations,
        RecoveryPhase phase,
        int pollRounds,
        double nextPollAt) {
    /** It counts as the only new one while at most one peer in so many is new. */
    private static final int MIN_ANSWERS_PER_UNSETTLED_PEER = 4;

    /** As how many samples those of one peer count at the most. */
    private static final int MAX_SAMPLES_PER_PEER = 8;

    /** In place of the recipient's start number where that is not known. */
    private static final long ANY_START = 0;

    /**
     * What goes to a peer.
     *
     * @param to the peer's number
     */
    public record StatusMessage(int to, PeerStatus status) {}

    /**
     * What comes of an event.
     *
     * @param next the state after it
     * @param messages what is to be sent
     * @param peerRestarted whether it shows that the peer has restarted
     */
    public record Step(RecoveryState next, List<StatusMessage> messages, boolean peerRestarted) {}

    /**
     * What peers have measured.
     *
     * @param serviceTimeSeconds mean service time, in seconds
     * @param samples as how many samples it counts
     */
    public record PeerEstimate(double serviceTimeSeconds, int samples) {}

    /** The state at the start of a proxy, which polls at once. */
    public static RecoveryState starting(
            PeerPollSettings pollSettings, int self, int proxyCount, long startNumber, double now) {
        return new RecoveryState(
                pollSettings,
                self,
                proxyCount,
                startNumber,
                now,
                0,
                0,
                Collections.emptySortedMap(),
                RecoveryPhase.UNKNOWN,
                0,
                now);
    }

    private RecoveryState with(
            SortedMap<Integer, PeerObservation> observations,
            RecoveryPhase phase,
            int pollRounds,
            double nextPollAt) {
        return new RecoveryState(
                pollSettings,
                self,
                proxyCount,
                startNumber,
                startedAt,
                serviceTimeSeconds,
                samples,
                observations,
                phase,
                pollRounds,
                nextPollAt);
    }

    /** Whether it has samples enough of its own, and polls no more. */
    public boolean isSettled() {
        return samples >= pollSettings.settledSamples();
    }

    /** The state with the mean service time that its own samples show; the same once settled. */
    public RecoveryState withMeasuredServiceTime(double serviceTimeSeconds, int samples) {
        if (isSettled()) {
            return this;
        }
        return new RecoveryState(
                pollSettings,
                self,
                proxyCount,
                startNumber,
                startedAt,
                serviceTimeSeconds,
                samples,
                observations,
                phase,
                pollRounds,
                samples >= pollSettings.settledSamples() ? Double.POSITIVE_INFINITY : nextPollAt);
    }

    /**
     * A peer's status has come. Guards against datagrams that come late, twice, out of order or
     * from before one of both has restarted: such a one changes nothing. A lower start number, as
     * of a peer whose wall clock went back, counts once the higher one has expired.
     */
    public Step statusReceived(int from, PeerStatus status, double now) {
        PeerObservation before = observations.get(from);
        boolean current = before != null && isCurrent(before, now);
        boolean fromPeer = from != self && from >= 0 && from < proxyCount;
        boolean forThisStart =
                status.recipientStart() == ANY_START || status.recipientStart() == startNumber;
        if (!fromPeer || !forThisStart || (current && before.isNewerThan(status))) {
            return new Step(this, List.of(), false);
        }
        SortedMap<Integer, PeerObservation> updated = new TreeMap<>(observations);
        updated.put(from, new PeerObservation(status, now));
        boolean restarted =
                before == null
                        ? status.uptimeSeconds() <= pollSettings.expirySeconds()
                        : before.status().startNumber() != status.startNumber();
        RecoveryState next = with(updated, phase, pollRounds, nextPollAt).withCurrentPhase(now);
        List<StatusMessage> replies =
                status.wantsReply()
                        ? List.of(
                                new StatusMessage(
                                        from, next.ownStatus(status.startNumber(), false, now)))
                        : List.of();
        return new Step(next, replies, restarted);
    }

    /** Polls the next few peers where that is due; each interval is longer than the one before. */
    public Step wake(double now) {
        if (now < nextPollAt || proxyCount < 2) {
            return new Step(withCurrentPhase(now), List.of(), false);
        }
        int peerCount = proxyCount - 1;
        List<StatusMessage> polls = new ArrayList<>();
        for (int i = 0; i < Math.min(pollSettings.fanout(), peerCount); i++) {
            int to = (self + 1 + (pollRounds * pollSettings.fanout() + i) % peerCount) % proxyCount;
            PeerObservation observation = observations.get(to);
            long recipientStart =
                    observation != null && isCurrent(observation, now)
                            ? observation.status().startNumber()
                            : ANY_START;
            polls.add(new StatusMessage(to, ownStatus(recipientStart, true, now)));
        }
        double interval =
                Math.min(
                        pollSettings.expirySeconds(),
                        pollSettings.intervalSeconds() * (1 + pollRounds));
        RecoveryState next =
                with(observations, phase, pollRounds + 1, now + interval).withCurrentPhase(now);
        return new Step(next, polls, false);
    }

    /** When to wake it; infinite once it polls no more. */
    public double wakeAt() {
        return isSettled() ? Double.POSITIVE_INFINITY : nextPollAt;
    }

    private PeerStatus ownStatus(long recipientStart, boolean wantsReply, double now) {
        return new PeerStatus(
                startNumber,
                recipientStart,
                wantsReply,
                (float) (now - startedAt),
                (float) serviceTimeSeconds,
                samples,
                isSettled());
    }

    private boolean isCurrent(PeerObservation observation, double now) {
        return now - observation.receivedAt() <= pollSettings.expirySeconds();
    }

    private Stream<PeerStatus> currentStatuses(double now) {
        return observations.values().stream()
                .filter(observation -> isCurrent(observation, now))
                .map(PeerObservation::status);
    }

    /** With the phase that the answers show, which is corrected until it is settled. */
    private RecoveryState withCurrentPhase(double now) {
        if (isSettled()) {
            return this;
        }
        RecoveryPhase currentPhase = determinePhase(now);
        return currentPhase == phase
                ? this
                : with(observations, currentPhase, pollRounds, nextPollAt);
    }

    private RecoveryPhase determinePhase(double now) {
        long answered = currentStatuses(now).count();
        long settled = currentStatuses(now).filter(PeerStatus::settled).count();
        boolean undecided =
                now - startedAt < pollSettings.decisionTimeoutSeconds()
                        && answered < proxyCount - 1;
        if (undecided && settled == 0) {
            return RecoveryPhase.UNKNOWN;
        }
        if (answered == 0) {
            return RecoveryPhase.CUT_OFF;
        }
        if (settled == 0) {
            return RecoveryPhase.ALL_NEW;
        }
        return (answered - settled) * MIN_ANSWERS_PER_UNSETTLED_PEER <= answered
                ? RecoveryPhase.ALONE
                : RecoveryPhase.AMONG_SOME;
    }

    /**
     * The service time that peers have measured, of the settled ones where there are any; empty
     * where none has measured anything. It is the upper median, of two the larger: a single peer
     * can't move it far, and too short a time would overload a backend in slow start.
     */
    public Optional<PeerEstimate> peerEstimate(double now) {
        boolean anySettled = currentStatuses(now).anyMatch(PeerStatus::settled);
        List<PeerStatus> measured =
                currentStatuses(now)
                        .filter(status -> status.samples() > 0 && (!anySettled || status.settled()))
                        .sorted(
                                (a, b) ->
                                        Float.compare(
                                                a.serviceTimeSeconds(), b.serviceTimeSeconds()))
                        .toList();
        if (measured.isEmpty()) {
            return Optional.empty();
        }
        int samples =
                measured.stream()
                        .mapToInt(status -> Math.min(MAX_SAMPLES_PER_PEER, status.samples()))
                        .sum();
        return Optional.of(
                new PeerEstimate(measured.get(measured.size() / 2).serviceTimeSeconds(), samples));
    }
}
