package lemondrift.lab.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.stream.IntStream;
import lemondrift.lab.simulation.LoadEvenness;
import lemondrift.lab.simulation.Referee;
import lemondrift.lab.simulation.RunResult;
import lemondrift.lab.simulation.Scenario;
import lemondrift.lab.simulation.ServableOracle;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Request;
import org.HdrHistogram.Histogram;

/**
 * Records and judges what the clients, backends and discovery agents of the testbed have seen, and
 * nothing that a proxy says of itself. I/O thread only.
 */
final class OutcomeRecorder {
    /** How much later than at the proxy an event may be seen on a machine that is busy. */
    static final double SLACK_SECONDS = 1;

    private static final double MICROS_PER_SECOND = 1e6;

    /** Ten minutes; longer latencies count as this one. */
    private static final long MAX_LATENCY_MICROS = 600_000_000;

    /** The significant digits to which latencies are kept. */
    private static final int LATENCY_DIGITS = 3;

    /** One request that a client has sent to a proxy, or to a backend where there are none. */
    static final class PendingRequest {
        final Request request;
        final int proxy;

        /** Seconds of one core that it takes. */
        final double workSeconds;

        /** Whether its client has stopped waiting while the proxy was unable to answer. */
        private boolean abandonedWhileUnavailable;

        private PendingRequest(Request request, int proxy, double workSeconds) {
            this.request = request;
            this.proxy = proxy;
            this.workSeconds = workSeconds;
        }
    }

    private final Scenario scenario;
    private final DoubleSupplier clock;
    private final Referee referee;
    private final LoadEvenness evenness;
    private final Map<String, PendingRequest> pendingRequests = new HashMap<>();

    /** Until when each proxy was last known to be unable to answer. */
    private final double[] unavailableUntil;

    private RunResult result;
    private double runStart;
    private ServableOracle servableOracle;
    private Histogram latencyMicros;
    private Optional<String> brokenRule = Optional.empty();
    private long requestCount;

    /** Judges by the first rules, as many as stated; the clock is in seconds. */
    OutcomeRecorder(Scenario scenario, int checkedRules, DoubleSupplier clock) {
        this.scenario = scenario;
        this.clock = clock;
        int[] locations =
                IntStream.range(0, scenario.backends())
                        .map(backend -> backend % scenario.settings().locationCount())
                        .toArray();
        referee =
                new Referee(
                        scenario.settings(),
                        checkedRules,
                        scenario.drainGraceSeconds(),
                        SLACK_SECONDS,
                        scenario.proxies(),
                        locations,
                        scenario.cores());
        unavailableUntil = new double[scenario.proxies()];
        evenness =
                new LoadEvenness(
                        scenario.backends(), scenario.cores(), scenario.settings().windowSeconds());
        startRun();
    }

    /** Starts the figures anew; the rules are judged with all that went before. */
    void startRun() {
        runStart = now();
        evenness.startCounting(runStart);
        result = new RunResult(scenario);
        servableOracle =
                new ServableOracle(
                        scenario.settings().requestClasses(),
                        result.requestedWeightPerSecond.length);
        latencyMicros = new Histogram(MAX_LATENCY_MICROS, LATENCY_DIGITS);
    }

    private double now() {
        return clock.getAsDouble();
    }

    /** The figures of the day so far. */
    RunResult result() {
        return result;
    }

    /** What was seen of the first broken rule; empty where all were kept. */
    Optional<String> brokenRule() {
        return brokenRule;
    }

    /** The second of the day that a time lies in; the first or last for a time outside of it. */
    int secondOfRun(double time) {
        int lastSecond = result.requestedWeightPerSecond.length - 1;
        return (int) Math.max(0, Math.min(lastSecond, time - runStart));
    }

    /** A client wants something now; returns the second of the day. */
    int recordClientRequest(int requestClassIndex, double priorityWeight) {
        int second = secondOfRun(now());
        result.clientRequests++;
        result.requestedWeight += priorityWeight;
        result.requestedWeightPerSecond[second] += priorityWeight;
        servableOracle.recordRequest(second, requestClassIndex);
        return second;
    }

    /** Adds how many requests the backends are able to serve now. */
    void recordCapacity(double requests) {
        servableOracle.addCapacity(secondOfRun(now()), requests);
    }

    /** Ends the measuring of the backends' load; clients may still be waiting. */
    RunResult endRun() {
        System.arraycopy(
                servableOracle.servableWeightBySecond(),
                0,
                result.servableWeightPerSecond,
                0,
                result.servableWeightPerSecond.length);
        result.evenness = evenness.measure(now());
        double[] idleShares = evenness.idleShareBySecond();
        System.arraycopy(
                idleShares,
                0,
                result.idleSharePerSecond,
                0,
                Math.min(result.idleSharePerSecond.length, idleShares.length));
        return result;
    }

    /** Adds the latencies, once all that clients wanted in the day has ended. */
    RunResult finishResult() {
        result.medianSeconds = latencyMicros.getValueAtPercentile(50) / MICROS_PER_SECOND;
        result.p99Seconds = latencyMicros.getValueAtPercentile(99) / MICROS_PER_SECOND;
        return result;
    }

    /** Guards against a broken rule ending the run while proxies still run; keeps the first one. */
    private void checkRules(Runnable event) {
        try {
            event.run();
        } catch (Referee.RuleViolationException e) {
            brokenRule = brokenRule.or(() -> Optional.of(e.getMessage()));
        }
    }

    /** A client sends a request for the first time. */
    PendingRequest recordFirstSend(
            String traceId, int proxy, int requestClassIndex, double workSeconds) {
        double timeoutSeconds =
                scenario.settings().requestClasses().get(requestClassIndex).timeoutSeconds();
        Request request = new Request(++requestCount, requestClassIndex, 0, now(), timeoutSeconds);
        PendingRequest pending = new PendingRequest(request, proxy, workSeconds);
        pendingRequests.put(traceId, pending);
        result.accepted++;
        checkRules(() -> referee.requestAccepted(proxy, request, now()));
        return pending;
    }

    /** The request that a client has sent under a trace id; empty where none has. */
    Optional<PendingRequest> pendingRequest(String traceId) {
        return Optional.ofNullable(pendingRequests.get(traceId));
    }

    /** An attempt of a request has arrived whole at a backend. */
    Attempt recordAttempt(PendingRequest pending, int backend) {
        Attempt attempt = new Attempt(pending.request, backend, now(), 0, 0);
        result.attempts++;
        evenness.recordSend(backend, now());
        // A paused process cannot know that a client left, so what it sends late breaks no rule.
        if (!pending.abandonedWhileUnavailable) {
            checkRules(
                    () -> referee.attemptSent(pending.proxy, attempt, pending.workSeconds, now()));
        }
        return attempt;
    }

    void recordAttemptEnd(Attempt attempt, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.SUCCESS) {
            evenness.recordServed(attempt.backend);
        } else {
            result.failedAttemptsByBackend[attempt.backend]++;
        }
        checkRules(() -> referee.attemptEnded(attempt, outcome, now()));
    }

    /** A client has got its response. */
    void recordResponse(PendingRequest pending, boolean rejected) {
        checkRules(() -> referee.responseSent(pending.proxy, pending.request, rejected, now()));
    }

    /** A client has stopped waiting without a response. */
    void recordUnanswered(PendingRequest pending) {
        pending.abandonedWhileUnavailable = wasProxyUnavailable(pending);
        checkRules(
                () ->
                        referee.requestClosed(
                                pending.proxy,
                                pending.request,
                                pending.abandonedWhileUnavailable,
                                now()));
    }

    /** Whether the proxy was unable to answer at some time since it got the request. */
    boolean wasProxyUnavailable(PendingRequest pending) {
        return unavailableUntil[pending.proxy] >= pending.request.arrivedAt;
    }

    /** Whether a proxy is unable to answer now, as it was killed or is paused. */
    boolean isUnavailable(int proxy) {
        return unavailableUntil[proxy] == Double.POSITIVE_INFINITY;
    }

    /** No more events of a request are expected. */
    void forget(String traceId) {
        PendingRequest pending = pendingRequests.remove(traceId);
        if (pending != null) {
            referee.forget(pending.request);
        }
    }

    /** A proxy is unable to answer from now on. */
    void markUnavailable(int proxy) {
        unavailableUntil[proxy] = Double.POSITIVE_INFINITY;
    }

    /** A proxy that was unable to answer until now is able again. */
    void markAvailable(int proxy) {
        unavailableUntil[proxy] = Math.min(unavailableUntil[proxy], now());
    }

    /** A proxy is sent the state of a backend by its discovery agent. */
    void recordEndpointState(int proxy, int backend, boolean ready) {
        checkRules(() -> referee.endpointStateReceived(proxy, backend, ready, now()));
    }

    void recordBackendStart(int backend) {
        referee.backendStarted(backend, now());
    }

    /** A backend holds this many requests from now on, and is able to take more or not. */
    void recordBackendLoad(int backend, int heldRequests, boolean fit) {
        evenness.updateBackend(backend, heldRequests, fit, now());
    }

    /** A client has been served; ignored where that was due in an earlier day. */
    void recordLatency(RunResult resultOfRequest, double latencySeconds) {
        if (resultOfRequest != result) {
            return;
        }
        long micros = (long) (latencySeconds * MICROS_PER_SECOND);
        latencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(1, micros)));
    }
}
