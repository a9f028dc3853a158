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
import lemondrift.recovery.PeerPollBackoff;
import lemondrift.recovery.PeerStatus;
import lemondrift.recovery.RecoveryState;

/** The decision module itself as a world's decider. */
public final class ModuleUnderTest implements RoutingPolicy {
    /**
     * The least time between two gossip messages, and when what is told is forgotten, in windows.
     */
    private static final double PACE = 0.02;

    private static final double FORGET = 2;

    private static final int PART = 12;

    private final LoadBalancer balancer;
    private final int self;

    /**
     * What it tells the others and hears of them, its backends' tags being their indexes; or null.
     */
    private LoadGossip gossip;

    private SubsetAssignment subsets;

    /** Its way back after its start; null where it asks nobody. */
    private RecoveryState recovery;

    private final List<LoadGossip.Message> said = new ArrayList<>();

    public ModuleUnderTest(Settings settings, long seed) {
        this(settings, seed, 0, false);
    }

    /** One that tells the other proxies of its bank what it has out, where it may. */
    public ModuleUnderTest(Settings settings, long seed, int self, boolean tells) {
        balancer = new LoadBalancer(settings, seed);
        this.self = self;
        if (tells && balancer.wantsGossip()) {
            subsets = new SubsetAssignment(settings.proxyCount(), PART);
            gossip =
                    new LoadGossip(
                            settings.proxyCount(),
                            self,
                            1 + self,
                            PACE * settings.windowSeconds(),
                            FORGET * settings.windowSeconds(),
                            subsets,
                            tag -> balancer.peerLoadReported(tag, gossip.peerLoad(tag)));
        }
    }

    /** One that asks the others at its start what they have found. */
    public ModuleUnderTest recovering(Settings settings) {
        recovery =
                RecoveryState.starting(
                        PeerPollBackoff.forLatencyObjective(settings.windowSeconds()),
                        self,
                        settings.proxyCount(),
                        1 + self,
                        0);
        return this;
    }

    private void says(RecoveryState.Step step, double now) {
        recovery = step.next();
        step.messages()
                .forEach(
                        each ->
                                said.add(
                                        new LoadGossip.Message(
                                                each.to(), each.status().encoded())));
        RecoveryState.PeerEstimate lesson =
                recovery.isSettled() ? null : recovery.peerEstimate(now);
        if (lesson != null) {
            balancer.seedServiceTime(lesson.serviceTimeSeconds(), lesson.samples());
        }
    }

    private void hear(double now) {
        if (recovery != null) {
            recovery =
                    recovery.withMeasured(
                            balancer.measuredServiceTime().seconds(),
                            (int) balancer.measuredServiceTime().samples());
        }
        if (gossip != null) {
            gossip.expireSilentPeers(now);
            balancer.peersHeard(gossip.livePeerCount(now) > 0);
        }
    }

    private Decision sent(Decision decision) {
        if (gossip != null) {
            decision.attempts.forEach(attempt -> gossip.attemptSent(attempt.backend));
        }
        return decision;
    }

    @Override
    public Decision requestArrived(double now, Request request) {
        hear(now);
        return sent(balancer.requestArrived(now, request));
    }

    @Override
    public Decision attemptEnded(
            double now,
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            boolean over,
            double[] loadReport) {
        hear(now);
        if (gossip != null) {
            if (outcome.mayStillRun) {
                gossip.attemptAbandoned(attempt.backend, now);
            } else {
                gossip.attemptEnded(attempt.backend);
            }
        }
        return sent(
                balancer.attemptEnded(now, attempt, outcome, durationSeconds, over, loadReport));
    }

    @Override
    public Decision probeEnded(
            double now, int backend, AttemptOutcome outcome, double[] loadReport) {
        return sent(balancer.probeEnded(now, backend, outcome, loadReport));
    }

    @Override
    public Decision clientLeft(double now, Request request) {
        return sent(balancer.clientLeft(now, request));
    }

    @Override
    public Decision endpointsListed(double now, boolean whole, List<EndpointUpdate> updates) {
        if (gossip == null) {
            return balancer.endpointsListed(now, whole, false, updates);
        }
        return sent(
                balancer.endpointsListed(
                        now, whole, false, subsets.withUserShares(self, whole, updates, i -> i)));
    }

    @Override
    public Decision wake(double now) {
        return sent(balancer.wake(now));
    }

    @Override
    public List<LoadGossip.Message> dueMessages(double now) {
        if (gossip == null) {
            return List.of();
        }
        if (recovery != null) {
            says(recovery.wake(now), now);
        }
        List<LoadGossip.Message> all = new ArrayList<>(said);
        said.clear();
        all.addAll(gossip.dueMessages(now));
        return all;
    }

    @Override
    public double nextSendAt() {
        if (gossip == null) {
            return Double.POSITIVE_INFINITY;
        }
        double asks = recovery == null ? Double.POSITIVE_INFINITY : recovery.wakeAt();
        return said.isEmpty() ? Math.min(gossip.nextSendAt(), asks) : 0;
    }

    @Override
    public void datagramReceived(double now, int from, byte[] datagram) {
        if (datagram[0] != PeerStatus.KIND) {
            gossip.receive(from, datagram, now);
        } else if (recovery != null) {
            PeerStatus hello = PeerStatus.decode(datagram);
            RecoveryState.Step step = recovery.statusReceived(from, hello, now);
            if (step.peerRestarted()) {
                gossip.peerRestarted(from, hello.startNumber());
            }
            says(step, now);
        }
    }
}
