package lemondrift.lab.world;

import java.util.List;
import lemondrift.model.Exchange;
import lemondrift.model.Forward;
import lemondrift.model.Listed;
import lemondrift.model.Outcome;
import lemondrift.model.Turn;
import lemondrift.peer.Holdings;

/** One instance's decisions, as the decision module's entry has them; baselines stand in its place. */
public interface Decider {
    Turn arrived(double now, Exchange x);

    Turn ended(double now, Forward f, Outcome outcome, double took, boolean over, double[] report);

    Turn probed(double now, int backend, Outcome outcome, double[] report);

    Turn left(double now, Exchange x);

    Turn listed(double now, boolean whole, List<Listed> lines);

    Turn woken(double now);

    /** What it has to tell other proxies now. */
    default List<Holdings.Telling> tellings(double now) {
        return List.of();
    }

    /** When it next has something to tell. */
    default double tellAt() {
        return Double.POSITIVE_INFINITY;
    }

    /** What another proxy has told. */
    default void told(double now, int from, byte[] datagram) {}
}
