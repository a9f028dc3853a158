package lemondrift.decide;

import java.util.List;
import lemondrift.model.*;

/**
 * The decisions of one proxy. Make one from its Settings and seed, call a method for each thing that happens,
 * in order, with the time in seconds, and carry out the Turn it returns before the next call reuses it.
 * Call wake at or after Turn.wakeAt. The interface is this class and the types of lemondrift.model.
 * An exchange passes Expiry, Admission, Repeats, Eligibility and Selection; endings run back in reverse.
 */
public final class Balancer {
    private final Turn turn = new Turn();
    private final Fleet fleet = new Fleet();
    private final Expiry expiry;
    private final Eligibility eligibility;
    private final Selection selection;
    private final Lists lists;

    public Balancer(Settings settings, long seed) {
        Chance chance = new Chance(seed);
        expiry = new Expiry(settings);
        selection = new Selection(settings, fleet, chance);
        eligibility = new Eligibility(settings, fleet, selection, chance);
        lists = new Lists(settings, chance);
        expiry.then(new Admission(settings, eligibility, selection)).then(new Repeats(settings, fleet))
                .then(eligibility).then(selection);
    }

    public Turn exchangeArrived(double now, Exchange x) {
        turn.clear();
        expiry.take(x, now, turn);
        return done();
    }

    public Turn forwardEnded(double now, Forward f, Outcome outcome, double took, boolean over,
            double[] report) {
        turn.clear();
        f.ended = true;
        f.exchange.out--;
        f.exchange.over |= over;
        selection.reported(f.backend, report, outcome == Outcome.DELIVERED, now);
        selection.ended(f, outcome, took, now, turn);
        return done();
    }

    public Turn answerBegun(double now, Forward f) {
        turn.clear();
        f.exchange.begun = true;
        return done();
    }

    public Turn backendsListed(double now, boolean whole, boolean stale, List<Listed> lines) {
        turn.clear();
        fleet.listed(whole, lines);
        selection.listed(now);
        eligibility.listed(now);
        lists.listed(stale, now);
        lists.wake(now, turn);
        return done();
    }

    public Turn listFailed(double now) {
        turn.clear();
        lists.failed(now, turn);
        return done();
    }

    public Turn probeAnswered(double now, int backend, boolean answered, double[] report) {
        turn.clear();
        selection.reported(backend, report, answered, now);
        eligibility.probed(backend, answered, now, turn);
        return done();
    }

    public Turn clientLeft(double now, Exchange x) {
        turn.clear();
        expiry.clientLeft(x, turn);
        return done();
    }

    public Turn wake(double now) {
        turn.clear();
        expiry.wake(now, turn);
        selection.wake(now, turn);
        eligibility.probing(now, turn);
        lists.wake(now, turn);
        return done();
    }

    private Turn done() {
        turn.wakeAt = Math.min(expiry.wakeAt(), Math.min(lists.askAt, selection.wakeAt()));
        return turn;
    }
}
