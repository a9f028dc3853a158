package lemondrift.lab;

import java.util.List;
import lemondrift.decide.Balancer;
import lemondrift.lab.world.Decider;
import lemondrift.model.Exchange;
import lemondrift.model.Forward;
import lemondrift.model.Listed;
import lemondrift.model.Outcome;
import lemondrift.model.Settings;
import lemondrift.model.Turn;

/** The decision module itself as a world's decider. */
public final class Module implements Decider {
    private final Balancer balancer;

    public Module(Settings settings, long seed) {
        balancer = new Balancer(settings, seed);
    }

    @Override
    public Turn arrived(double now, Exchange x) {
        return balancer.exchangeArrived(now, x);
    }

    @Override
    public Turn ended(double now, Forward f, Outcome outcome, double took, boolean over, double[] report) {
        return balancer.forwardEnded(now, f, outcome, took, over, report);
    }

    @Override
    public Turn probed(double now, int backend, Outcome outcome, double[] report) {
        return balancer.probeEnded(now, backend, outcome, report);
    }

    @Override
    public Turn left(double now, Exchange x) {
        return balancer.clientLeft(now, x);
    }

    @Override
    public Turn listed(double now, boolean whole, List<Listed> lines) {
        return balancer.backendsListed(now, whole, false, lines);
    }

    @Override
    public Turn woken(double now) {
        return balancer.wake(now);
    }
}
