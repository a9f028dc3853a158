package lemondrift.lab;

import java.util.ArrayList;
import java.util.List;
import lemondrift.balancer.LoadBalancer;
import lemondrift.gossip.LoadGossip;
import lemondrift.gossip.SubsetAssignment;
import lemondrift.lab.simulation.RoutingPolicy;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Request;
import lemondrift.model.Settings;
import lemondrift.recovery.PeerPollSettings;
import lemondrift.recovery.PeerStatus;
import lemondrift.recovery.RecoveryState;

/** The decision module of one proxy as a routing policy, with gossip and recovery. */
public final class ModuleUnderTest implements RoutingPolicy {
    /**
     * The shortest time between two gossip messages, as a multiple of the shortest latency
     * objective.
     */
    private static final double GOSSIP_INTERVAL_WINDOWS = 0.02;

    /**
     * The time after which the load of a silent peer expires, as a multiple of the shortest latency
     * objective.
     */
    private static final double PEER_EXPIRY_WINDOWS = 2;

    /** The number of backends in the subset of a proxy. */
    private static final int SUBSET_SIZE = 12;

    private final LoadBalancer balancer;
    private final int proxyIndex;

    /** Null if the proxy uses no gossip. The tag of a backend is its index. */
    private LoadGossip gossip;

    /** Null if the proxy uses no gossip. */
    private SubsetAssignment subsets;

    /** Null if the proxy does not request measurements from its peers after its start. */
    private RecoveryState recovery;

    private final List<LoadGossip.Message> pendingStatusMessages = new ArrayList<>();

    /** Creates the module of a proxy without gossip. */
    public ModuleUnderTest(Settings settings, long seed) {
        this(settings, seed, 0, false);
    }

    /**
     * Creates the module of a proxy.
     *
     * @param proxyIndex the index of the proxy
     * @param usesGossip whether the proxy uses gossip if its settings need it
     */
    public ModuleUnderTest(Settings settings, long seed, int proxyIndex, boolean usesGossip) {
        balancer = new LoadBalancer(settings, seed);
        this.proxyIndex = proxyIndex;
        if (usesGossip && balancer.needsGossip()) {
            subsets = new SubsetAssignment(settings.proxyCount(), SUBSET_SIZE);
            gossip =
                    new LoadGossip(
                            settings.proxyCount(),
                            proxyIndex,
                            startNumber(),
                            GOSSIP_INTERVAL_WINDOWS * settings.windowSeconds(),
                            PEER_EXPIRY_WINDOWS * settings.windowSeconds(),
                            subsets,
                            tag -> balancer.peerLoadReported(tag, gossip.peerLoad(tag)));
        }
    }

    private int startNumber() {
        return 1 + proxyIndex;
    }

    /**
     * Makes the proxy request the measurements of its peers after its start; returns this object.
     */
    public ModuleUnderTest enableRecovery(Settings settings) {
        recovery =
                RecoveryState.starting(
                        PeerPollSettings.forLatencyObjective(settings.windowSeconds()),
                        proxyIndex,
                        settings.proxyCount(),
                        startNumber(),
                        0);
        return this;
    }

    private void applyRecoveryStep(RecoveryState.Step step, double now) {
        recovery = step.next();
        for (RecoveryState.StatusMessage message : step.messages()) {
            pendingStatusMessages.add(
                    new LoadGossip.Message(message.to(), message.status().encode()));
        }
        if (recovery.isSettled()) {
            return;
        }
        recovery.peerEstimate(now)
                .ifPresent(
                        estimate ->
                                balancer.seedServiceTime(
                                        estimate.serviceTimeSeconds(), estimate.samples()));
    }

    /**
     * Passes the measured service time of the module to the recovery, and whether any peer is live
     * to the module.
     */
    private void updatePeerState(double now) {
        if (recovery != null) {
            recovery =
                    recovery.withMeasuredServiceTime(
                            balancer.measuredServiceTime().seconds(),
                            (int) balancer.measuredServiceTime().samples());
        }
        if (gossip != null) {
            gossip.expireStaleLoad(now);
            balancer.setGossipActive(gossip.livePeerCount(now) > 0);
        }
    }

    private Decision recordAttempts(Decision decision) {
        if (gossip != null) {
            decision.attempts.forEach(attempt -> gossip.attemptSent(attempt.backend));
        }
        return decision;
    }

    @Override
    public Decision requestArrived(double now, Request request) {
        updatePeerState(now);
        return recordAttempts(balancer.requestArrived(now, request));
    }

    @Override
    public Decision attemptEnded(
            double now,
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            boolean completed,
            double[] loadReport) {
        updatePeerState(now);
        recordAttemptEnd(attempt, outcome, now);
        return recordAttempts(
                balancer.attemptEnded(
                        now, attempt, outcome, durationSeconds, completed, loadReport));
    }

    private void recordAttemptEnd(Attempt attempt, AttemptOutcome outcome, double now) {
        if (gossip == null) {
            return;
        }
        if (outcome.mayStillRun) {
            gossip.attemptAbandoned(attempt.backend, now);
        } else {
            gossip.attemptEnded(attempt.backend);
        }
    }

    @Override
    public Decision probeEnded(
            double now, int backend, AttemptOutcome outcome, double[] loadReport) {
        return recordAttempts(balancer.probeEnded(now, backend, outcome, loadReport));
    }

    @Override
    public Decision endpointsListed(double now, boolean isFullList, List<EndpointUpdate> updates) {
        List<EndpointUpdate> used =
                gossip == null
                        ? updates
                        : subsets.applyUpdates(proxyIndex, isFullList, updates, backend -> backend);
        return recordAttempts(balancer.endpointListCompleted(now, isFullList, false, used));
    }

    @Override
    public Decision wake(double now) {
        return recordAttempts(balancer.wake(now));
    }

    @Override
    public List<LoadGossip.Message> takeDueMessages(double now) {
        if (gossip == null) {
            return List.of();
        }
        if (recovery != null) {
            applyRecoveryStep(recovery.wake(now), now);
        }
        List<LoadGossip.Message> messages = new ArrayList<>(pendingStatusMessages);
        pendingStatusMessages.clear();
        messages.addAll(gossip.takeDueMessages(now));
        return messages;
    }

    @Override
    public double nextSendAt() {
        if (gossip == null) {
            return Double.POSITIVE_INFINITY;
        }
        if (!pendingStatusMessages.isEmpty()) {
            return 0;
        }
        double recoveryWakeAt = recovery == null ? Double.POSITIVE_INFINITY : recovery.wakeAt();
        return Math.min(gossip.nextSendAt(), recoveryWakeAt);
    }

    @Override
    public void datagramReceived(double now, int from, byte[] datagram) {
        if (datagram[0] != PeerStatus.KIND) {
            gossip.processDatagram(from, datagram, now);
        } else if (recovery != null) {
            PeerStatus status = PeerStatus.decode(datagram).orElseThrow();
            RecoveryState.Step step = recovery.statusReceived(from, status, now);
            if (step.peerRestarted()) {
                gossip.peerRestarted(from, status.startNumber());
            }
            applyRecoveryStep(step, now);
        }
    }
}
