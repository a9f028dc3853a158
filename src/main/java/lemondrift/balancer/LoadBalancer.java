package lemondrift.balancer;

import java.util.List;
import lemondrift.model.*;

/** The decisions of one proxy. Tell it each thing that happens, in order, with the time in seconds, and carry
 * out the Turn it returns before the next call reuses it; call wake at or after Turn.wakeAt. */
public final class LoadBalancer {
    private final Decision turn = new Decision();
    private final BackendTable fleet;
    private final UtilizationEstimator estimate;
    private final RequestDeadlines expiry;
    private final AdmissionControl admission;
    private final Eligibility eligibility;
    private final BackendSelector selection;
    private final EndpointListPolling lists;

    public LoadBalancer(Settings settings, long seed) {
        DeterministicRandom chance = new DeterministicRandom(seed);
        fleet = new BackendTable(settings, chance);
        expiry = new RequestDeadlines(fleet);
        estimate = new UtilizationEstimator(fleet);
        eligibility = new Eligibility(fleet, estimate, chance);
        selection = new BackendSelector(fleet, estimate, eligibility, chance);
        lists = new EndpointListPolling(settings, chance);
        admission = new AdmissionControl(fleet, estimate, selection);
        expiry.then(admission).then(new RetryPolicy(fleet)).then(eligibility).then(selection);
    }

    public Decision exchangeArrived(double now, Request x) {
        x.terms = x.terms == null ? fleet.stated.terms(x.grade) : x.terms;
        return turn(now, () -> expiry.take(x, now, turn));
    }

    public Decision forwardEnded(double now, Attempt f, AttemptOutcome outcome, double took, boolean over,
            double[] report) {
        f.ended = true;
        f.exchange.out--;
        f.exchange.over |= over;
        estimate.reported(f.backend, report, outcome == AttemptOutcome.DELIVERED, true, now);
        return turn(now, () -> selection.ended(f, outcome, took, now, turn));
    }

    public Decision answerBegun(double now, Attempt f) {
        return turn(now, () -> f.exchange.begun = true);
    }

    public Decision backendsListed(double now, boolean whole, boolean stale, List<EndpointUpdate> lines) {
        backendsChanged(now, whole, lines);
        lists.listed(stale, now);
        return wake(now);
    }

    /** Some lines of a list of which more come; backendsListed ends it. */
    public void backendsChanged(double now, boolean whole, List<EndpointUpdate> lines) {
        fleet.listed(whole, lines);
        estimate.listed();
        eligibility.listed(lines, now);
    }

    public Decision listFailed(double now) {
        return turn(now, () -> lists.failed(now, turn));
    }

    public Decision probeEnded(double now, int backend, AttemptOutcome outcome, double[] report) {
        fleet.askedAt[backend] = 0;
        return turn(now, () -> estimate.reported(backend, report, outcome == AttemptOutcome.DELIVERED, false, now));
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
    public ShedThreshold word(double now, int grade) {
        Request x = new Request(0, grade, 0, now, 0);
        x.terms = fleet.stated.terms(grade);
        return admission.word(x, now).upTo(fleet.stated.limits().retryAfter());
    }

    /** How many backends may be sent to, those left out for one grade only among them. */
    public int usable() {
        return eligibility.sound(0);
    }

    public Decision clientLeft(double now, Request x) {
        return turn(now, () -> expiry.clientLeft(x, turn));
    }

    public Decision wake(double now) {
        return turn(now, () -> {
            expiry.wake(now, turn);
            lists.wake(now, turn);
        });
    }

    private Decision turn(double now, Runnable event) {
        turn.clear();
        event.run();
        for (Request x = selection.released(now); x != null; x = selection.released(now)) {
            expiry.again(x, now, turn);
        }
        turn.probes.forEach(i -> eligibility.spend(i, Eligibility.PROBE_WORK, now));
        turn.wakeAt = Math.min(expiry.wakeAt(), Math.min(lists.askAt, selection.wakeAt()));
        return turn;
    }
}
