package lemondrift.lab;

import java.util.ArrayList;
import java.util.List;
import lemondrift.decide.Balancer;
import lemondrift.lab.world.Decider;
import lemondrift.model.Exchange;
import lemondrift.model.Forward;
import lemondrift.model.Listed;
import lemondrift.model.Outcome;
import lemondrift.model.Settings;
import lemondrift.model.Turn;
import lemondrift.peer.Holdings;
import lemondrift.peer.SubsetAssignment;
import lemondrift.recovery.Hello;
import lemondrift.recovery.Pace;
import lemondrift.recovery.Recovery;

/** The decision module itself as a world's decider. */
public final class Module implements Decider {
    /** The least time between two tellings, and when what is told is forgotten, in windows. */
    private static final double PACE = 0.02, FORGET = 2;
    private static final int PART = 12;

    private final Balancer balancer;
    private final int self;
    /** What it tells the others and hears of them, its backends' tags being their indexes; or null. */
    private Holdings holdings;
    private SubsetAssignment subsets;
    /** Its way back after its start; null where it asks nobody. */
    private Recovery recovery;
    private final List<Holdings.Telling> said = new ArrayList<>();

    public Module(Settings settings, long seed) {
        this(settings, seed, 0, false);
    }

    /** One that tells the other proxies of its bank what it has out, where it may. */
    public Module(Settings settings, long seed, int self, boolean tells) {
        balancer = new Balancer(settings, seed);
        this.self = self;
        if (tells && balancer.isToBeTold()) {
            subsets = new SubsetAssignment(settings.balancers(), PART);
            holdings = new Holdings(settings.balancers(), self, 1 + self, PACE * settings.window(),
                    FORGET * settings.window(), subsets,
                    tag -> balancer.othersHold(tag, holdings.others(tag)));
        }
    }

    /** One that asks the others at its start what they have found. */
    public Module recovering(Settings settings) {
        recovery = Recovery.begins(Pace.of(settings.window()), self, settings.balancers(), 1 + self, 0);
        return this;
    }

    private void says(Recovery.Step step, double now) {
        recovery = step.next();
        step.sent().forEach(each -> said.add(new Holdings.Telling(each.to(), each.hello().encoded())));
        Recovery.Lesson lesson = recovery.isSettled() ? null : recovery.lesson(now);
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

    private Turn sent(Turn turn) {
        if (holdings != null) {
            turn.sends.forEach(f -> holdings.sent(f.backend));
        }
        return turn;
    }

    @Override
    public Turn arrived(double now, Exchange x) {
        hear(now);
        return sent(balancer.exchangeArrived(now, x));
    }

    @Override
    public Turn ended(double now, Forward f, Outcome outcome, double took, boolean over, double[] report) {
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
    public Turn probed(double now, int backend, Outcome outcome, double[] report) {
        return sent(balancer.probeEnded(now, backend, outcome, report));
    }

    @Override
    public Turn left(double now, Exchange x) {
        return sent(balancer.clientLeft(now, x));
    }

    @Override
    public Turn listed(double now, boolean whole, List<Listed> lines) {
        if (holdings == null) {
            return balancer.backendsListed(now, whole, false, lines);
        }
        return sent(balancer.backendsListed(now, whole, false, subsets.assigned(self, whole, lines, i -> i)));
    }

    @Override
    public Turn woken(double now) {
        return sent(balancer.wake(now));
    }

    @Override
    public List<Holdings.Telling> tellings(double now) {
        if (holdings == null) {
            return List.of();
        }
        if (recovery != null) {
            says(recovery.wake(now), now);
        }
        List<Holdings.Telling> all = new ArrayList<>(said);
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
        if (datagram[0] != Hello.KIND) {
            holdings.told(from, datagram, now);
        } else if (recovery != null) {
            Hello hello = Hello.of(datagram);
            Recovery.Step step = recovery.heard(from, hello, now);
            if (step.anew()) {
                holdings.startedAnew(from, hello.start());
            }
            says(step, now);
        }
    }
}
