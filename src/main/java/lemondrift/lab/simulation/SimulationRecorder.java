package lemondrift.lab.simulation;

import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Request;
import lemondrift.model.RequestClass;

/**
 * Records the events of a simulation: counts them in the result of the run and passes them to the
 * referee, which throws {@link Referee.RuleViolationException} at the first violation of a rule.
 */
final class SimulationRecorder {
    /** In virtual time the referee receives each event at the time at which it happens. */
    private static final double REFEREE_SLACK_SECONDS = 0;

    private final Scheduler scheduler;
    private final Referee referee;
    private final LoadEvenness evenness;
    private final RunResult result;

    SimulationRecorder(Scenario scenario, int checkedRules, int[] locations, Scheduler scheduler) {
        this.scheduler = scheduler;
        result = new RunResult(scenario);
        referee =
                new Referee(
                        scenario.settings(),
                        checkedRules,
                        scenario.drainGraceSeconds(),
                        REFEREE_SLACK_SECONDS,
                        scenario.proxies(),
                        locations,
                        scenario.cores());
        evenness =
                new LoadEvenness(
                        scenario.backends(), scenario.cores(), scenario.settings().windowSeconds());
    }

    RunResult result() {
        return result;
    }

    // Clients.

    /** Records a new client request in a second of the scenario; retries are not counted here. */
    void recordClientRequest(int second, RequestClass requestClass) {
        result.requestedWeight += requestClass.priorityWeight();
        result.clientRequests++;
        result.requestedWeightPerSecond[second] += requestClass.priorityWeight();
    }

    /** Records that a proxy has accepted a request. */
    void recordAccepted(int proxy, Request request) {
        result.accepted++;
        referee.requestAccepted(proxy, request, scheduler.now());
    }

    /** Records that the deadline of a request has passed without a response. */
    void recordUnanswered(int proxy, Request request) {
        result.unanswered++;
        referee.requestClosed(proxy, request, false, scheduler.now());
    }

    /** Records the final response of a proxy to a request. */
    void recordResponse(int proxy, Request request, boolean rejected) {
        referee.responseSent(proxy, request, rejected, scheduler.now());
    }

    /** Records the success of a client request that was first sent in the given second. */
    void recordSuccess(int second, RequestClass requestClass, boolean inTime) {
        double servedWeight =
                inTime ? requestClass.priorityWeight() : requestClass.latePriorityWeight();
        result.succeeded++;
        result.servedWeight += servedWeight;
        result.servedWeightPerSecond[second] += servedWeight;
        if (inTime) {
            result.inTime++;
        } else {
            result.late++;
        }
    }

    void recordRejected() {
        result.rejected++;
    }

    void recordFailed() {
        result.failed++;
    }

    /** Removes a request for which no further events follow. */
    void forget(Request request) {
        referee.forget(request);
    }

    // Proxies.

    void recordGossip(byte[] datagram) {
        result.gossipBytes += datagram.length;
        result.gossipMessages++;
    }

    void recordAttemptSent(int proxy, Attempt attempt, double workSeconds) {
        result.attempts++;
        referee.attemptSent(proxy, attempt, workSeconds, scheduler.now());
    }

    void recordAttemptEnded(Attempt attempt, AttemptOutcome outcome) {
        referee.attemptEnded(attempt, outcome, scheduler.now());
        if (outcome == AttemptOutcome.SUCCESS) {
            evenness.recordServed(attempt.backend);
        } else if (outcome != AttemptOutcome.CANCELLED) {
            result.failedAttemptsByBackend[attempt.backend]++;
        }
    }

    void recordProbe() {
        result.probes++;
    }

    /** Records that a proxy has received the state of a backend from discovery. */
    void recordEndpointState(int proxy, int backend, boolean ready) {
        referee.endpointStateReceived(proxy, backend, ready, scheduler.now());
    }

    // Backends.

    void recordArrivalAtBackend(int backend) {
        evenness.recordSend(backend, scheduler.now());
    }

    /** Records the number of requests that a backend holds and whether it is available. */
    void recordLoad(int index, Backend backend) {
        evenness.updateBackend(
                index, backend.heldRequestCount(), backend.isAvailable(), scheduler.now());
    }

    void recordOverloadedColdBackend() {
        result.overloadedColdBackends++;
    }

    void recordRestart(int backend) {
        referee.backendStarted(backend, scheduler.now());
    }

    /** Stores the figures of how evenly the backends were used until now. */
    void recordEvenness() {
        result.evenness = evenness.measure(scheduler.now());
    }
}
