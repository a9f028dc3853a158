package lemondrift.decide;

import java.util.List;
import lemondrift.model.*;

/** The decisions of one proxy. Tell it each thing that happens, in order, with the time in seconds, and carry
 * out the Turn it returns before the next call reuses it; call wake at or after Turn.wakeAt. */
public final class Balancer {
    private final Turn turn = new Turn();
    private final Fleet fleet;
    private final Estimate estimate;
    private final Expiry expiry;
    private final Admission admission;
    private final Eligibility eligibility;
    private final Selection selection;
    private final Lists lists;

    public Balancer(Settings settings, long seed) {
        Chance chance = new Chance(seed);
        fleet = new Fleet(settings, chance);
        expiry = new Expiry(fleet);
        estimate = new Estimate(fleet);
        eligibility = new Eligibility(fleet, estimate, chance);
        selection = new Selection(fleet, estimate, eligibility, chance);
        lists = new Lists(settings, chance);
        admission = new Admission(fleet, estimate, selection);
        expiry.then(admission).then(new Repeats(fleet)).then(eligibility).then(selection);
    }

    public Turn exchangeArrived(double now, Exchange x) {
        x.terms = x.terms == null ? fleet.stated.terms(x.grade) : x.terms;
        return turn(now, () -> expiry.take(x, now, turn));
    }

    public Turn forwardEnded(double now, Forward f, Outcome outcome, double took, boolean over,
            double[] report) {
        f.ended = true;
        f.exchange.out--;
        f.exchange.over |= over;
        estimate.reported(f.backend, report, outcome == Outcome.DELIVERED, true, now);
        return turn(now, () -> selection.ended(f, outcome, took, now, turn));
    }

    public Turn answerBegun(double now, Forward f) {
        return turn(now, () -> f.exchange.begun = true);
    }

    public Turn backendsListed(double now, boolean whole, boolean stale, List<Listed> lines) {
        backendsChanged(now, whole, lines);
        lists.listed(stale, now);
        return wake(now);
    }

    /** Some lines of a list of which more come; backendsListed ends it. */
    public void backendsChanged(double now, boolean whole, List<Listed> lines) {
        fleet.listed(whole, lines);
        estimate.listed();
        eligibility.listed(lines, now);
    }

    public Turn listFailed(double now) {
        return turn(now, () -> lists.failed(now, turn));
    }

    public Turn probeEnded(double now, int backend, Outcome outcome, double[] report) {
        fleet.askedAt[backend] = 0;
        return turn(now, () -> estimate.reported(backend, report, outcome == Outcome.DELIVERED, false, now));
    }

    /** Other grades and limits are stated. At a fresh index stands one of which nothing is known. */
    public void stated(Settings settings, List<Integer> fresh) {
        fleet.stated = settings;
        estimate.stated();
        expiry.stated(fresh);
        eligibility.stated(fresh);
    }

    /** How many exchanges the other proxies have out at a backend, as far as they have told. */
    public void othersHold(int backend, int exchanges) {
        estimate.others[backend] = exchanges;
    }

    /** Whether others are to tell what they have out; not where reports can be asked for, which say more. */
    public boolean isToBeTold() {
        return estimate.rounds() == 0;
    }

    public void othersHeard(boolean any) {
        estimate.othersHeard = any;
    }

    /** What others have found the work of an exchange to be, in seconds, from at least one answer. */
    public void learned(double work, double answers) {
        eligibility.supposed = work;
        eligibility.weight = Math.min(answers, Eligibility.BORROWED);
    }

    /** The mean work of an exchange as found here, in seconds, and from how many answers. */
    public double[] work() {
        return new double[] {eligibility.answerTime, eligibility.answers};
    }

    /** For watching: forwards made there by another's choice, or fewer by its own. */
    public void followed(double now, int backend, int forwards) {
        estimate.sent(backend, forwards, now);
    }

    /** A question that changes nothing: what would be shed of a service grade on arrival now. */
    public Word word(double now, int grade) {
        Exchange x = new Exchange(0, grade, 0, now, 0);
        x.terms = fleet.stated.terms(grade);
        return admission.word(x, now).upTo(fleet.stated.limits().retryAfter());
    }

    /** How many backends may be sent to, those left out for one grade only among them. */
    public int usable() {
        return eligibility.sound(0);
    }

    public Turn clientLeft(double now, Exchange x) {
        return turn(now, () -> expiry.clientLeft(x, turn));
    }

    public Turn wake(double now) {
        return turn(now, () -> {
            expiry.wake(now, turn);
            lists.wake(now, turn);
        });
    }

    private Turn turn(double now, Runnable event) {
        turn.clear();
        event.run();
        for (Exchange x = selection.released(now); x != null; x = selection.released(now)) {
            expiry.again(x, now, turn);
        }
        turn.probes.forEach(i -> eligibility.spend(i, Eligibility.PROBE_WORK, now));
        turn.wakeAt = Math.min(expiry.wakeAt(), Math.min(lists.askAt, selection.wakeAt()));
        return turn;
    }
}
