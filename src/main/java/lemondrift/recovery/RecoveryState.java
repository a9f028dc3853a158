package lemondrift.recovery;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The recovery of a proxy after its start: the proxy polls its peers for their status and the
 * service time of a request until it has measured the service time itself. The state is immutable;
 * each event returns a new state. Times are in seconds of one clock.
 *
 * @param pollSettings how the proxy polls its peers
 * @param self the number of this proxy, counted from 0
 * @param proxyCount the number of proxies in the fleet
 * @param startNumber the start number of this proxy, which rises with each start
 * @param startedAt when this proxy started
 * @param serviceTimeSeconds mean service time of its own samples; 0 without samples
 * @param samples number of its own samples
 * @param observations the latest status of each peer that has sent one, by the number of the peer
 * @param phase the current phase; fixed once the proxy is settled
 * @param pollRounds number of completed poll rounds
 * @param nextPollAt when the next poll round is due; infinite once the proxy is settled
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
    /**
     * The proxy counts as the only new one if at most one in this number of answering peers is not
     * settled.
     */
    private static final int MIN_ANSWERS_PER_UNSETTLED_PEER = 4;

    /** Maximum number of samples that one peer contributes to the estimate. */
    private static final int MAX_SAMPLES_PER_PEER = 8;

    /** Used as the recipient's start number if it is not known. */
    private static final long ANY_START = 0;

    /**
     * A status to be sent to a peer.
     *
     * @param to the number of the peer
     */
    public record StatusMessage(int to, PeerStatus status) {}

    /**
     * The result of an event.
     *
     * @param next the state after the event
     * @param messages the messages to be sent
     * @param peerRestarted whether the event shows that a peer has restarted
     */
    public record Step(RecoveryState next, List<StatusMessage> messages, boolean peerRestarted) {}

    /**
     * The service time that peers have measured.
     *
     * @param serviceTimeSeconds mean service time, in seconds
     * @param samples number of samples by which the estimate is weighted
     */
    public record PeerEstimate(double serviceTimeSeconds, int samples) {}

    /** Returns the state of a proxy that starts now; its first poll round is due immediately. */
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

    /** Returns whether the proxy has enough samples of its own and no longer polls. */
    public boolean isSettled() {
        return samples >= pollSettings.settledSamples();
    }

    /**
     * Returns the state with the mean service time of the proxy's own samples; returns this state
     * unchanged if it is already settled.
     */
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
     * Handles a status from a peer. Guards against datagrams that are late, duplicate, out of
     * order, or from before a restart of the sender or the recipient: they change nothing. A lower
     * start number, for example of a peer whose wall clock went back, is accepted once the status
     * with the higher one has expired.
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

    /**
     * Polls the next peers in turn if a poll round is due. Each interval between two rounds is
     * longer than the previous one, up to the expiry of a status.
     */
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

    /** Returns when to call {@link #wake} next; infinite once the proxy is settled. */
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

    /** Returns the state with the phase updated from the current statuses, until it is settled. */
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
     * Returns the service time that peers have measured: of the settled peers if there are any,
     * else of all peers. Returns empty if no peer has samples. The estimate is the upper median
     * (the larger of two values): a single peer cannot move it far, and an estimate that is too
     * short would overload a backend in slow start.
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
