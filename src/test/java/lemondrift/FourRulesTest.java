package lemondrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.DeduplicationScope;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Idempotency;
import lemondrift.model.Request;
import lemondrift.model.RequestClass;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Checks the balancer on generated events against a simple reference model of the four rules. */
class FourRulesTest {
    /** The work of each request, in seconds; no response takes less. */
    private static final double WORK_SECONDS = 0.1;

    private static final RequestClass[] REQUEST_CLASSES = {
        TestDeployment.IDEMPOTENT,
        TestDeployment.WITH_KEY,
        TestDeployment.NOT_IDEMPOTENT,
        TestDeployment.WITH_KEY_BY_CELL
    };

    private final Map<Request, List<Attempt>> attemptsByRequest = new HashMap<>();
    private final Map<Attempt, AttemptOutcome> outcomes = new HashMap<>();
    private final Map<Request, Integer> finalAnswers = new HashMap<>();
    private final Map<Integer, EndpointUpdate> endpoints = new HashMap<>();
    private final List<Attempt> inFlight = new ArrayList<>();
    private TestDeployment proxy;
    private Request latestRequest;

    @Property(tries = 150, seed = "20261201")
    void balancerObeysAllFourRules(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 7) int backends,
            @ForAll boolean byProbe,
            @ForAll @IntRange(min = 1, max = 40) int meanStepHundredths) {
        Random random = new Random(seed);
        proxy =
                new TestDeployment(
                        TestDeployment.settings(
                                3,
                                random.nextBoolean(),
                                byProbe
                                        ? TestDeployment.REPORTS_BY_PROBE
                                        : TestDeployment.REPORTS_IN_RESPONSES,
                                byProbe),
                        7);
        proxy.onDecision = this::checkDecision;
        List.of(attemptsByRequest, outcomes, finalAnswers, endpoints).forEach(Map::clear);
        inFlight.clear();
        TestDeployment.endpoints(backends)
                .forEach(update -> endpoints.put(update.backend(), update));
        proxy.applyEndpointList(true, true, TestDeployment.endpoints(backends));
        for (int step = 0; step < 300; step++) {
            proxy.probeReports.put(
                    random.nextInt(backends),
                    random.nextInt(4) == 0
                            ? null
                            : new double[] {random.nextDouble(), random.nextInt(4)});
            proxy.wakeUntil(proxy.now + random.nextDouble() * meanStepHundredths / 100);
            endTimedOutAttempts();
            applyRandomEvent(random, backends);
        }
        proxy.wakeUntil(proxy.now + 3);
        endTimedOutAttempts();
        attemptsByRequest
                .keySet()
                .forEach(
                        request ->
                                assertEquals(
                                        1,
                                        finalAnswers.getOrDefault(request, 0),
                                        "each request gets one final answer"));
    }

    /**
     * Hundreds of proxies that learn of the same start at once share the budget of that backend.
     */
    @Property(tries = 12, seed = "20261201")
    void manyProxiesTogetherDoNotOverloadColdBackend(
            @ForAll @IntRange(min = 2, max = 500) int proxies,
            @ForAll @IntRange(min = 1, max = 4) int requestsPerSecond) {
        List<Double> sent = new ArrayList<>();
        for (int i = 0; i < proxies; i++) {
            TestDeployment each =
                    new TestDeployment(
                            TestDeployment.settings(
                                    proxies, false, TestDeployment.REPORTS_IN_RESPONSES, true),
                            i);
            each.applyEndpointList(
                    true,
                    i % 2 == 0,
                    List.of(TestDeployment.endpoint(0, EndpointUpdate.State.READY, each.now)));
            for (double at = 0.5 / requestsPerSecond; at < 6; at += 1.0 / requestsPerSecond) {
                each.wakeUntil(100 + at);
                Attempt attempt = each.receiveRequest(0);
                if (attempt != null) {
                    sent.add(at);
                    each.endAttempt(attempt, AttemptOutcome.SUCCESS, 0, 0);
                }
            }
        }
        for (double from = 0; from < 4; from += 0.25) {
            double start = from;
            double end = from + TestDeployment.RULES.overloadWindowSeconds();
            long count = sent.stream().filter(at -> at >= start && at < end).count();
            double warmShare =
                    TestDeployment.RULES.slowStartMinShare()
                            + (1 - TestDeployment.RULES.slowStartMinShare())
                                    * from
                                    / TestDeployment.RULES.slowStartSeconds();
            double windowBudgetSeconds =
                    TestDeployment.RULES.overloadFactor()
                            * warmShare
                            * TestDeployment.RULES.overloadWindowSeconds();
            assertTrue(
                    count * WORK_SECONDS <= windowBudgetSeconds + WORK_SECONDS,
                    count + " requests in the window from " + from + " s");
        }
    }

    private void applyRandomEvent(Random random, int backends) {
        int kind = random.nextInt(20);
        if (kind < 9) {
            latestRequest =
                    new Request(
                            attemptsByRequest.size(),
                            random.nextInt(4),
                            0,
                            proxy.now,
                            random.nextInt(4) == 0 ? 1.2 : 2);
            attemptsByRequest.put(latestRequest, new ArrayList<>());
            proxy.apply(proxy.balancer.requestArrived(proxy.now, latestRequest));
        } else if (kind < 16 && !inFlight.isEmpty()) {
            Attempt attempt = inFlight.get(random.nextInt(inFlight.size()));
            AttemptOutcome outcome =
                    AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
            if (outcome != AttemptOutcome.SUCCESS || proxy.now - attempt.sentAt >= WORK_SECONDS) {
                endAttempt(attempt, outcome, random.nextDouble());
            }
        } else if (kind < 18) {
            int backend = random.nextInt(backends + 2);
            EndpointUpdate.State state = EndpointUpdate.State.values()[random.nextInt(3)];
            endpoints.put(
                    backend,
                    TestDeployment.endpoint(backend, state, random.nextBoolean() ? proxy.now : 0));
            proxy.applyEndpointList(false, false, List.of(endpoints.get(backend)));
        } else if (kind == 18) {
            proxy.apply(
                    proxy.balancer.probeEnded(
                            proxy.now,
                            random.nextInt(backends),
                            AttemptOutcome.values()[random.nextInt(8)],
                            new double[] {0, 0}));
        } else if (latestRequest != null && !finalAnswers.containsKey(latestRequest)) {
            finalAnswers.put(latestRequest, 1);
            proxy.apply(proxy.balancer.requestAbandoned(proxy.now, latestRequest));
        }
    }

    /** Ends each attempt past its timeout as timed out, so that its request can be answered. */
    private void endTimedOutAttempts() {
        for (Attempt attempt : List.copyOf(inFlight)) {
            if (proxy.now >= attempt.sentAt + attempt.timeoutSeconds) {
                endAttempt(attempt, AttemptOutcome.TIMED_OUT, 1);
            }
        }
    }

    private void endAttempt(Attempt attempt, AttemptOutcome outcome, double utilization) {
        inFlight.remove(attempt);
        outcomes.put(attempt, outcome);
        if (outcome == AttemptOutcome.SUCCESS) {
            finalAnswers.putIfAbsent(attempt.request, 1);
        }
        proxy.apply(
                proxy.balancer.attemptEnded(
                        proxy.now,
                        attempt,
                        outcome,
                        proxy.now - attempt.sentAt,
                        finalAnswers.containsKey(attempt.request),
                        new double[] {utilization, 0}));
    }

    private void checkDecision(Decision decision) {
        for (Attempt attempt : decision.attempts) {
            List<Attempt> earlier = attemptsByRequest.get(attempt.request);
            assertTrue(
                    !finalAnswers.containsKey(attempt.request)
                            && proxy.now < attempt.request.deadline,
                    "rule 1: attempt after the deadline or the final answer");
            earlier.forEach(
                    previous ->
                            assertTrue(
                                    outcomes.containsKey(previous),
                                    "two attempts of a request in flight at once"));
            earlier.stream()
                    .filter(previous -> !outcomes.get(previous).neverExecuted)
                    .findFirst()
                    .ifPresent(
                            previous ->
                                    assertTrue(
                                            mayRepeat(
                                                    REQUEST_CLASSES[
                                                            attempt.request.requestClassIndex],
                                                    previous,
                                                    attempt),
                                            "rule 2: retry after " + outcomes.get(previous)));
            assertEquals(
                    EndpointUpdate.State.READY,
                    endpoints.get(attempt.backend).state(),
                    "rule 3: attempt at a backend that is not ready");
            earlier.add(attempt);
            inFlight.add(attempt);
            assertTrue(
                    workSeconds(attempt.backend) <= budgetSeconds(attempt.backend) + WORK_SECONDS,
                    "rule 4: work in the window, in seconds: " + workSeconds(attempt.backend));
        }
        for (Decision.LocalReply reply : decision.localReplies) {
            assertTrue(proxy.now <= reply.request().deadline, "rule 1: answered late");
            assertEquals(
                    1,
                    finalAnswers.merge(reply.request(), 1, Integer::sum),
                    "rule 1: answered twice");
            boolean harmless =
                    attemptsByRequest.get(reply.request()).stream()
                            .allMatch(
                                    attempt ->
                                            outcomes.containsKey(attempt)
                                                    && outcomes.get(attempt).neverExecuted);
            assertTrue(
                    !reply.rejected() || harmless || reply.request().requestClassIndex == 0,
                    "rule 2: rejected although it may have been executed");
        }
    }

    private boolean mayRepeat(RequestClass requestClass, Attempt executed, Attempt retry) {
        EndpointUpdate executedEndpoint = endpoints.get(executed.backend);
        EndpointUpdate retryEndpoint = endpoints.get(retry.backend);
        return requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && proxy.now - executed.sentAt <= requestClass.idempotencyKeyTtlSeconds()
                        && executedEndpoint.location() == retryEndpoint.location()
                        && (requestClass.deduplicationScope() == DeduplicationScope.LOCATION
                                || executedEndpoint.cell() == retryEndpoint.cell()));
    }

    /**
     * Returns the work sent to a backend since its start within the window that ends now, in
     * seconds.
     */
    private double workSeconds(int backend) {
        return WORK_SECONDS
                * attemptsByRequest.values().stream()
                        .flatMap(List::stream)
                        .filter(
                                attempt ->
                                        attempt.backend == backend
                                                && attempt.sentAt
                                                        > proxy.now
                                                                - TestDeployment.RULES
                                                                        .overloadWindowSeconds()
                                                && attempt.sentAt
                                                        >= endpoints.get(backend).startedAt())
                        .count();
    }

    /**
     * Returns this proxy's part of the work that a cold backend can take in one window, in seconds;
     * infinite if the backend is warm.
     */
    private double budgetSeconds(int backend) {
        double elapsedShare =
                (proxy.now - endpoints.get(backend).startedAt())
                        / TestDeployment.RULES.slowStartSeconds();
        double warmShare =
                TestDeployment.RULES.slowStartMinShare()
                        + (1 - TestDeployment.RULES.slowStartMinShare()) * elapsedShare;
        return endpoints.get(backend).startedAt() == 0 || elapsedShare >= 1
                ? Double.POSITIVE_INFINITY
                : TestDeployment.RULES.overloadFactor()
                        * warmShare
                        * TestDeployment.RULES.overloadWindowSeconds()
                        / 3;
    }
}
