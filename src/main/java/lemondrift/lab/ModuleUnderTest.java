package lemondrift.lab;

import java.util.ArrayList;
import java.util.List;
import lemondrift.balancer.LoadBalancer;
import lemondrift.lab.simulation.RoutingPolicy;
import lemondrift.model.*;
import lemondrift.gossip.LoadGossip;
import lemondrift.gossip.SubsetAssignment;
import lemondrift.recovery.PeerPollBackoff;
import lemondrift.recovery.PeerStatus;
import lemondrift.recovery.RecoveryState;

/** The decision module itself as a world's decider. */
public final class ModuleUnderTest implements RoutingPolicy {
    /** The least time between two tellings, and when what is told is forgotten, in windows. */
    private static final double PACE = 0.02, FORGET = 2;
    private static final int PART = 12;

    private final LoadBalancer balancer;
    private final int self;
    /** What it tells the others and hears of them, its backends' tags being their indexes; or null. */
    private LoadGossip holdings;
    private SubsetAssignment subsets;
    /** Its way back after its start; null where it asks nobody. */
    private RecoveryState recovery;
    private final List<LoadGossip.Telling> said = new ArrayList<>();

    public ModuleUnderTest(Settings settings, long seed) {
        this(settings, seed, 0, false);
    }

    /** One that tells the other proxies of its bank what it has out, where it may. */
    public ModuleUnderTest(Settings settings, long seed, int self, boolean tells) {
        balancer = new LoadBalancer(settings, seed);
        this.self = self;
        if (tells && balancer.isToBeTold()) {
            subsets = new SubsetAssignment(settings.balancers(), PART);
            holdings = new LoadGossip(settings.balancers(), self, 1 + self, PACE * settings.window(),
                    FORGET * settings.window(), subsets,
                    tag -> balancer.othersHold(tag, holdings.others(tag)));
        }
    }

    /** One that asks the others at its start what they have found. */
    public ModuleUnderTest recovering(Settings settings) {
        recovery = RecoveryState.begins(PeerPollBackoff.of(settings.window()), self, settings.balancers(), 1 + self, 0);
        return this;
    }

    private void says(RecoveryState.Step step, double now) {
        recovery = step.next();
        step.sent().forEach(each -> said.add(new LoadGossip.Telling(each.to(), each.hello().encoded())));
        RecoveryState.Lesson lesson = recovery.isSettled() ? null : recovery.lesson(now);
        if (lesson != null) {
            balancer.learned(lesson.work(), lesson.answers());
        }
    }

    private void hear(double now) {
        if (recovery != null) {
            recovery = recovery.found(balancer.work()[0], (int) balancer.work()[1]);
        }
        if (holdings != null) {
            holdings.forget(now);
            balancer.othersHeard(holdings.heard(now) > 0);
        }
    }

    private Decision sent(Decision turn) {
        if (holdings != null) {
            turn.sends.forEach(f -> holdings.sent(f.backend));
        }
        return turn;
    }

    @Override
    public Decision arrived(double now, Request x) {
        hear(now);
        return sent(balancer.exchangeArrived(now, x));
    }

    @Override
    public Decision ended(double now, Attempt f, AttemptOutcome outcome, double took, boolean over, double[] report) {
        hear(now);
        if (holdings != null) {
            if (outcome.mayRunOn) {
                holdings.givenUp(f.backend, now);
            } else {
                holdings.ended(f.backend);
            }
        }
        return sent(balancer.forwardEnded(now, f, outcome, took, over, report));
    }

    @Override
    public Decision probed(double now, int backend, AttemptOutcome outcome, double[] report) {
        return sent(balancer.probeEnded(now, backend, outcome, report));
    }

    @Override
    public Decision left(double now, Request x) {
        return sent(balancer.clientLeft(now, x));
    }

    @Override
    public Decision listed(double now, boolean whole, List<EndpointUpdate> lines) {
        if (holdings == null) {
            return balancer.backendsListed(now, whole, false, lines);
        }
        return sent(balancer.backendsListed(now, whole, false, subsets.assigned(self, whole, lines, i -> i)));
    }

    @Override
    public Decision woken(double now) {
        return sent(balancer.wake(now));
    }

    @Override
    public List<LoadGossip.Telling> tellings(double now) {
        if (holdings == null) {
            return List.of();
        }
        if (recovery != null) {
            says(recovery.wake(now), now);
        }
        List<LoadGossip.Telling> all = new ArrayList<>(said);
        said.clear();
        all.addAll(holdings.tellings(now));
        return all;
    }

    @Override
    public double tellAt() {
        if (holdings == null) {
            return Double.POSITIVE_INFINITY;
        }
        double asks = recovery == null ? Double.POSITIVE_INFINITY : recovery.wakeAt();
        return said.isEmpty() ? Math.min(holdings.tellAt(), asks) : 0;
    }

    @Override
    public void told(double now, int from, byte[] datagram) {
        if (datagram[0] != PeerStatus.KIND) {
            holdings.told(from, datagram, now);
        } else if (recovery != null) {
            PeerStatus hello = PeerStatus.of(datagram);
            RecoveryState.Step step = recovery.heard(from, hello, now);
            if (step.anew()) {
                holdings.startedAnew(from, hello.start());
            }
            says(step, now);
        }
    }
}
