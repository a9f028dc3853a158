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
 * Records the events that the clients, backends and discovery agents of the testbed observe, and
 * checks them against the rules. It uses nothing that a proxy reports about itself. I/O thread
 * only.
 */
final class OutcomeRecorder {
    /** How much later than the proxy the testbed may observe an event on a busy machine. */
    static final double SLACK_SECONDS = 1;

    private static final double MICROS_PER_SECOND = 1e6;

    /** Ten minutes; longer latencies are recorded as this value. */
    private static final long MAX_LATENCY_MICROS = 600_000_000;

    /** The number of significant digits of recorded latencies. */
    private static final int LATENCY_DIGITS = 3;

    /**
     * A request that a client has sent to a proxy, or to a backend in a testbed without proxies.
     */
    static final class PendingRequest {
        final Request request;
        final int proxy;

        /** The work of the request, in seconds of one warm core. */
        final double workSeconds;

        /**
         * Whether the client has stopped waiting for a response from a proxy that was unavailable
         * at some time since it received the request.
         */
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

    /**
     * The time until which each proxy was last unavailable, in seconds of the clock; infinite while
     * it is unavailable.
     */
    private final double[] unavailableUntil;

    private RunResult result;
    private double runStart;
    private ServableOracle servableOracle;
    private Histogram latencyMicros;
    private Optional<String> brokenRule = Optional.empty();
    private long requestCount;

    /**
     * Starts the results of the first run.
     *
     * @param checkedRules how many rules events are checked against, counted from the first
     * @param clock returns the present time in seconds
     */
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

    /**
     * Starts the results of a new run. The rules are still checked with the events of earlier runs.
     */
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

    /** Returns the results of the run so far. */
    RunResult result() {
        return result;
    }

    /** Returns a description of the first broken rule; empty if all rules were kept. */
    Optional<String> brokenRule() {
        return brokenRule;
    }

    /**
     * Returns the second of the run that contains a time; the first or last second if the time is
     * outside the run.
     */
    int secondOfRun(double time) {
        int lastSecond = result.requestedWeightPerSecond.length - 1;
        return (int) Math.max(0, Math.min(lastSecond, time - runStart));
    }

    /** Records that a client creates a request now; returns the second of the run. */
    int recordClientRequest(int requestClassIndex, double priorityWeight) {
        int second = secondOfRun(now());
        result.clientRequests++;
        result.requestedWeight += priorityWeight;
        result.requestedWeightPerSecond[second] += priorityWeight;
        servableOracle.recordRequest(second, requestClassIndex);
        return second;
    }

    /** Adds to the number of requests that the backends can serve in the present second. */
    void recordCapacity(double requests) {
        servableOracle.addCapacity(secondOfRun(now()), requests);
    }

    /**
     * Ends the measurement of the backends' load and returns the results without latencies. Clients
     * may still wait for responses.
     */
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

    /**
     * Adds the latencies and returns the results. To be called when all requests of the run have
     * ended.
     */
    RunResult finishResult() {
        result.medianSeconds = latencyMicros.getValueAtPercentile(50) / MICROS_PER_SECOND;
        result.p99Seconds = latencyMicros.getValueAtPercentile(99) / MICROS_PER_SECOND;
        return result;
    }

    /**
     * Checks an event against the rules. Guards against a broken rule that ends the run while
     * proxies are still running: stores the description of the first broken rule instead.
     */
    private void checkRules(Runnable event) {
        try {
            event.run();
        } catch (Referee.RuleViolationException e) {
            brokenRule = brokenRule.or(() -> Optional.of(e.getMessage()));
        }
    }

    /** Records the first send of a request under a trace id. */
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

    /**
     * Returns the request that a client has sent with a trace id; empty if there is none or it was
     * forgotten.
     */
    Optional<PendingRequest> pendingRequest(String traceId) {
        return Optional.ofNullable(pendingRequests.get(traceId));
    }

    /** Records that an attempt of a request has arrived completely at a backend. */
    Attempt recordAttempt(PendingRequest pending, int backend) {
        Attempt attempt = new Attempt(pending.request, backend, now(), 0, 0);
        result.attempts++;
        evenness.recordSend(backend, now());
        // A paused process cannot know that a client has left, so its late attempts break no rule.
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

    /** Records that a client has received its response. */
    void recordResponse(PendingRequest pending, boolean rejected) {
        checkRules(() -> referee.responseSent(pending.proxy, pending.request, rejected, now()));
    }

    /** Records that a client has stopped waiting without a response. */
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

    /** Returns whether the proxy was unavailable at some time since it received the request. */
    boolean wasProxyUnavailable(PendingRequest pending) {
        return unavailableUntil[pending.proxy] >= pending.request.arrivedAt;
    }

    /**
     * Returns whether a proxy is unavailable now, because it was killed, is paused or is still
     * starting.
     */
    boolean isUnavailable(int proxy) {
        return unavailableUntil[proxy] == Double.POSITIVE_INFINITY;
    }

    /** Removes a request of which no more events are expected. */
    void forget(String traceId) {
        PendingRequest pending = pendingRequests.remove(traceId);
        if (pending != null) {
            referee.forget(pending.request);
        }
    }

    /** Records that a proxy is unavailable from now on. */
    void markUnavailable(int proxy) {
        unavailableUntil[proxy] = Double.POSITIVE_INFINITY;
    }

    /** Records that a proxy that was unavailable until now is available again. */
    void markAvailable(int proxy) {
        unavailableUntil[proxy] = Math.min(unavailableUntil[proxy], now());
    }

    /** Records that a discovery agent sends the state of a backend to its proxy. */
    void recordEndpointState(int proxy, int backend, boolean ready) {
        checkRules(() -> referee.endpointStateReceived(proxy, backend, ready, now()));
    }

    void recordBackendStart(int backend) {
        referee.backendStarted(backend, now());
    }

    /** Records how many requests a backend holds from now on and whether it is available. */
    void recordBackendLoad(int backend, int heldRequests, boolean available) {
        evenness.updateBackend(backend, heldRequests, available, now());
    }

    /**
     * Records the latency of a successful request; ignored if the request was due in an earlier
     * run.
     */
    void recordLatency(RunResult resultOfRequest, double latencySeconds) {
        if (resultOfRequest != result) {
            return;
        }
        long micros = (long) (latencySeconds * MICROS_PER_SECOND);
        latencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(1, micros)));
    }
}
