package lemondrift.balancer;

import java.util.List;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Request;
import lemondrift.model.ServiceTime;
import lemondrift.model.Settings;
import lemondrift.model.ShedThreshold;

/**
 * The decisions of one proxy. Tell it each thing that happens, in order, with the time in seconds,
 * and carry out the Turn it returns before the next call reuses it; call wake at or after
 * Turn.wakeAt.
 */
public final class LoadBalancer {
    private final Decision decision = new Decision();
    private final BackendTable backends;
    private final UtilizationEstimator estimator;
    private final RequestDeadlines deadlines;
    private final AdmissionControl admission;
    private final Eligibility eligibility;
    private final BackendSelector selector;
    private final EndpointListPolling polling;

    public LoadBalancer(Settings settings, long seed) {
        DeterministicRandom random = new DeterministicRandom(seed);
        backends = new BackendTable(settings, random);
        deadlines = new RequestDeadlines(backends);
        estimator = new UtilizationEstimator(backends);
        eligibility = new Eligibility(backends, estimator, random);
        selector = new BackendSelector(backends, estimator, eligibility, random);
        polling = new EndpointListPolling(settings, random);
        admission = new AdmissionControl(backends, estimator, selector);
        deadlines.then(admission).then(new RetryPolicy(backends)).then(eligibility).then(selector);
    }

    public Decision requestArrived(double now, Request request) {
        request.terms =
                request.terms == null
                        ? backends.stated.termsFor(request.requestClass)
                        : request.terms;
        return decide(now, () -> deadlines.take(request, now, decision));
    }

    public Decision attemptEnded(
            double now,
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            boolean over,
            double[] loadReport) {
        attempt.ended = true;
        attempt.request.attemptsInFlight--;
        attempt.request.completed |= over;
        estimator.reported(
                attempt.backend, loadReport, outcome == AttemptOutcome.SUCCESS, true, now);
        return decide(now, () -> selector.ended(attempt, outcome, durationSeconds, now, decision));
    }

    public Decision responseStarted(double now, Attempt attempt) {
        return decide(now, () -> attempt.request.responseStarted = true);
    }

    public Decision endpointsListed(
            double now, boolean whole, boolean stale, List<EndpointUpdate> updates) {
        endpointsChanged(now, whole, updates);
        polling.listed(stale, now);
        return wake(now);
    }

    /** Some lines of a list of which more come; backendsListed ends it. */
    public void endpointsChanged(double now, boolean whole, List<EndpointUpdate> updates) {
        backends.listed(whole, updates);
        estimator.listed();
        eligibility.listed(updates, now);
    }

    public Decision endpointListFailed(double now) {
        return decide(now, () -> polling.failed(now, decision));
    }

    public Decision probeEnded(
            double now, int backend, AttemptOutcome outcome, double[] loadReport) {
        backends.askedAt[backend] = 0;
        return decide(
                now,
                () ->
                        estimator.reported(
                                backend,
                                loadReport,
                                outcome == AttemptOutcome.SUCCESS,
                                false,
                                now));
    }

    /**
     * Other grades and limits are stated. At a fresh index stands one of which nothing is known.
     */
    public void settingsChanged(Settings settings, List<Integer> fresh) {
        backends.stated = settings;
        estimator.stated();
        deadlines.stated(fresh);
        eligibility.stated(fresh);
    }

    /** How many exchanges the other proxies have out at a backend, as far as they have told. */
    public void peerLoadReported(int backend, int exchanges) {
        estimator.others[backend] = exchanges;
    }

    /**
     * Whether others are to tell what they have out; not where reports can be asked for, which say
     * more.
     */
    public boolean wantsGossip() {
        return estimator.rounds() == 0;
    }

    public void peersHeard(boolean any) {
        estimator.othersHeard = any;
    }

    /**
     * What others have found the work of an exchange to be, in seconds, from at least one answer.
     */
    public void seedServiceTime(double work, double answers) {
        eligibility.supposed = work;
        eligibility.weight = Math.min(answers, Eligibility.BORROWED);
    }

    /** The mean work of an exchange as found here, in seconds, and from how many answers. */
    public ServiceTime measuredServiceTime() {
        return new ServiceTime(eligibility.answerTime, eligibility.answers);
    }

    /** For watching: forwards made there by another's choice, or fewer by its own. */
    public void adjustAttempts(double now, int backend, int forwards) {
        estimator.sent(backend, forwards, now);
    }

    /** A question that changes nothing: what would be shed of a service grade on arrival now. */
    public ShedThreshold shedThreshold(double now, int requestClass) {
        Request request = new Request(0, requestClass, 0, now, 0);
        request.terms = backends.stated.termsFor(requestClass);
        return admission
                .word(request, now)
                .withMaxRetryAfter(backends.stated.limits().maxRetryAfterSeconds());
    }

    /** How many backends may be sent to, those left out for one grade only among them. */
    public int usableBackendCount() {
        return eligibility.sound(0);
    }

    public Decision clientLeft(double now, Request request) {
        return decide(now, () -> deadlines.clientLeft(request, decision));
    }

    public Decision wake(double now) {
        return decide(
                now,
                () -> {
                    deadlines.wake(now, decision);
                    polling.wake(now, decision);
                });
    }

    private Decision decide(double now, Runnable event) {
        decision.clear();
        event.run();
        for (Request request = selector.released(now);
                request != null;
                request = selector.released(now)) {
            deadlines.again(request, now, decision);
        }
        decision.probes.forEach(i -> eligibility.spend(i, Eligibility.PROBE_WORK, now));
        decision.wakeAt = Math.min(deadlines.wakeAt(), Math.min(polling.askAt, selector.wakeAt()));
        return decision;
    }
}
