package lemondrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import java.util.stream.IntStream;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Settings;
import org.junit.jupiter.api.Test;

/** Tests proxies with little traffic each, and backends whose load reports are stale. */
class LowTrafficProxyTest {
    private static final int IDEMPOTENT = 0;
    private static final int NOT_IDEMPOTENT = 2;

    private static TestDeployment newProxy(
            boolean usesEndpointWeights, EndpointUpdate... endpoints) {
        Settings settings =
                TestDeployment.settings(70, false, TestDeployment.REPORTS_IN_RESPONSES, false);
        TestDeployment proxy =
                new TestDeployment(
                        new Settings(
                                settings.proxyCount(),
                                settings.locationCount(),
                                settings.location(),
                                settings.pollsEndpointList(),
                                settings.requestClasses(),
                                settings.tenantQuotaPerSecond(),
                                settings.overQuotaWeight(),
                                settings.clientsMarkRetries(),
                                settings.loadReports(),
                                settings.limits(),
                                settings.rules(),
                                settings.costs(),
                                usesEndpointWeights),
                        7);
        proxy.applyEndpointList(true, false, List.of(endpoints));
        return proxy;
    }

    /** Returns a proxy whose backends have repeated their reports for some windows. */
    private static TestDeployment proxyWithStaleReports(int backends) {
        TestDeployment proxy =
                newProxy(false, TestDeployment.endpoints(backends).toArray(new EndpointUpdate[0]));
        send(proxy, NOT_IDEMPOTENT, 20 * backends, 0.1, i -> AttemptOutcome.SUCCESS);
        return proxy;
    }

    /**
     * Sends requests one at a time, each of 0.01 s and answered with the same load report. Returns
     * the number of attempts by backend.
     */
    private static int[] send(
            TestDeployment proxy,
            int requestClass,
            int requests,
            double secondsApart,
            Function<Integer, AttemptOutcome> outcomeOf) {
        return send(proxy, requestClass, requests, secondsApart, 0.01, outcomeOf);
    }

    private static int[] send(
            TestDeployment proxy,
            int requestClass,
            int requests,
            double secondsApart,
            double durationSeconds,
            Function<Integer, AttemptOutcome> outcomeOf) {
        int[] attemptsByBackend = new int[60];
        for (int n = 0; n < requests; n++) {
            proxy.wakeUntil(proxy.now + secondsApart);
            Attempt attempt = proxy.receiveRequest(requestClass);
            for (proxy.now += durationSeconds; attempt != null; ) {
                attemptsByBackend[attempt.backend]++;
                attempt = proxy.endAttempt(attempt, outcomeOf.apply(attempt.backend), 0.5, 0);
            }
        }
        return attemptsByBackend;
    }

    @Test
    void endpointWeightsSetTrafficSharesIfReportsAreStale() {
        for (double badWeight : new double[] {0, -1, Double.NaN, Double.POSITIVE_INFINITY}) {
            assertEquals(
                    1,
                    new EndpointUpdate(0, false, 0, 0, EndpointUpdate.State.READY, 0, badWeight)
                            .weight());
        }
        TestDeployment proxy =
                newProxy(
                        true,
                        IntStream.range(0, 3)
                                .mapToObj(
                                        i ->
                                                new EndpointUpdate(
                                                        i,
                                                        false,
                                                        0,
                                                        0,
                                                        EndpointUpdate.State.READY,
                                                        0,
                                                        i == 2 ? 2 : 1))
                                .toArray(EndpointUpdate[]::new));
        send(proxy, NOT_IDEMPOTENT, 60, 1, i -> AttemptOutcome.SUCCESS);
        int sentToLargeBackend =
                send(proxy, NOT_IDEMPOTENT, 400, 1, i -> AttemptOutcome.SUCCESS)[2];
        assertTrue(
                sentToLargeBackend > 160 && sentToLargeBackend < 240,
                sentToLargeBackend
                        + " of 400 requests went to the backend with half of the total weight");
    }

    @Test
    void loadReportCountsUntilTheNextIfProbesAreNotAllowed() {
        TestDeployment proxy =
                new TestDeployment(
                        TestDeployment.settings(
                                100, false, TestDeployment.REPORTS_IN_RESPONSES, false),
                        7);
        proxy.applyEndpointList(true, false, TestDeployment.endpoints(2));
        List<Attempt> both =
                List.of(proxy.receiveRequest(IDEMPOTENT), proxy.receiveRequest(IDEMPOTENT));
        proxy.now += 0.1;
        both.forEach(
                attempt ->
                        proxy.endAttempt(
                                attempt,
                                AttemptOutcome.SUCCESS,
                                attempt.backend == 0 ? 1 : 0.1,
                                attempt.backend == 0 ? 3 : 0));
        proxy.now += 1;
        assertEquals(
                1,
                proxy.receiveRequest(IDEMPOTENT).backend,
                "one window later: idle in the other zone rather than busy in this zone");
    }

    @Test
    void gossipRestrictsTrafficToSubsetThatSurvivesEndpointList() {
        TestDeployment proxy =
                new TestDeployment(
                        TestDeployment.settings(
                                100, false, TestDeployment.REPORTS_IN_RESPONSES, false),
                        7);
        assertTrue(proxy.balancer.needsGossip(), "without probes peers should gossip");
        assertFalse(
                TestDeployment.withBackends(2).balancer.needsGossip(),
                "with probes no gossip is needed");
        List<EndpointUpdate> updates =
                IntStream.range(0, 60)
                        .mapToObj(
                                i ->
                                        TestDeployment.endpoint(i, EndpointUpdate.State.READY, 0)
                                                .withSubset(
                                                        (i * 37 % 60) / 60.0,
                                                        i * 37 % 60 < 16 ? 0.2 : 0))
                        .toList();
        proxy.applyEndpointList(true, false, updates);
        proxy.balancer.setGossipActive(true);
        for (int round = 0; round < 3; round++) {
            int[] attemptsByBackend =
                    send(proxy, NOT_IDEMPOTENT, 200, 0.1, i -> AttemptOutcome.SUCCESS);
            int usedCount = (int) Arrays.stream(attemptsByBackend).filter(n -> n > 0).count();
            assertTrue(usedCount >= 6 && usedCount <= 16, usedCount + " backends are used");
            updates.stream()
                    .filter(update -> update.subsetScore() * 60 > 15.5)
                    .forEach(
                            update ->
                                    assertEquals(
                                            0,
                                            attemptsByBackend[update.backend()],
                                            "gossip does not cover " + update));
            proxy.applyEndpointList(true, false, updates);
        }
    }

    /** Returns how many of 600 requests are sent to the only backend, which has just started. */
    private static int countSentToColdBackend(double userShare, boolean peersHeard) {
        TestDeployment proxy =
                new TestDeployment(
                        TestDeployment.settings(
                                6, false, TestDeployment.REPORTS_IN_RESPONSES, false),
                        7);
        proxy.applyEndpointList(
                true,
                false,
                List.of(
                        TestDeployment.endpoint(0, EndpointUpdate.State.READY, proxy.now)
                                .withSubset(0, userShare)));
        proxy.balancer.setGossipActive(peersHeard);
        int sent = 0;
        for (int n = 0; n < 600; n++) {
            proxy.now += 0.01;
            Attempt attempt = proxy.receiveRequest(IDEMPOTENT);
            sent += attempt == null ? 0 : 1;
            for (proxy.now += 0.0001; attempt != null; ) {
                attempt = proxy.endAttempt(attempt, AttemptOutcome.SUCCESS, 0.1, 0);
            }
        }
        return sent;
    }

    @Test
    void coldBackendBudgetIsDividedAmongItsUsersOnlyWhileGossipIsActive() {
        int usedByAll = countSentToColdBackend(1, true);
        int usedByAFifth = countSentToColdBackend(0.2, true);
        assertTrue(
                usedByAll > 0 && usedByAFifth > 3 * usedByAll,
                "sent if used by all proxies: " + usedByAll + ", by a fifth: " + usedByAFifth);
        assertEquals(
                countSentToColdBackend(1, false),
                countSentToColdBackend(0.2, false),
                "without gossip, user shares are not known to be valid");
    }

    @Test
    void backendThatFailsFastIsAvoidedAfterOneErrorAndUsedAgainOnceHealthy() {
        TestDeployment proxy = proxyWithStaleReports(8);
        int errors =
                send(
                        proxy,
                        NOT_IDEMPOTENT,
                        200,
                        0.1,
                        i -> i == 0 ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS)[0];
        assertTrue(
                errors <= 3,
                errors
                        + " of 200 requests went to a backend that fails fast and reports being"
                        + " idle");
        int requestsAfter = send(proxy, NOT_IDEMPOTENT, 1500, 0.1, i -> AttemptOutcome.SUCCESS)[0];
        assertTrue(
                requestsAfter > 50,
                requestsAfter + " of 1500 requests went to the backend after it recovered");
    }

    @Test
    void repeatedLoadReportDoesNotClearCountOfSentAttempts() {
        int sentToRepeated = 0;
        for (int n = 0; n < 40; n++) {
            TestDeployment proxy = proxyWithStaleReports(2);
            send(proxy, NOT_IDEMPOTENT, n, 0.1, i -> AttemptOutcome.SUCCESS);
            proxy.wakeUntil(proxy.now + 1);
            List<Attempt> inFlight = new ArrayList<>();
            for (int k = 0; k < 4; k++) {
                inFlight.add(proxy.receiveRequest(NOT_IDEMPOTENT));
            }
            Attempt first = inFlight.get(0);
            proxy.endAttempt(first, AttemptOutcome.SUCCESS, 0.5, 0);
            assertEquals(
                    first.backend,
                    proxy.receiveRequest(NOT_IDEMPOTENT).backend,
                    "one attempt in flight is less than two");
            sentToRepeated += proxy.receiveRequest(NOT_IDEMPOTENT).backend == first.backend ? 1 : 0;
        }
        assertTrue(
                sentToRepeated > 5 && sentToRepeated < 35,
                sentToRepeated
                        + " of 40 requests, with two in flight at each backend, went to the one"
                        + " that reported being idle again");
    }

    @Test
    void requestsAreRejectedDuringOverloadAndAdmittedLongAfterIt() {
        TestDeployment proxy = proxyWithStaleReports(4);
        List<Attempt> timingOut = new ArrayList<>();
        for (int n = 0; n < 60; n++) {
            proxy.now += 0.02;
            int repliesBefore = proxy.localReplies.size();
            Attempt attempt = proxy.receiveRequest(IDEMPOTENT);
            assertTrue(
                    attempt != null || proxy.localReplies.size() == repliesBefore + 1,
                    "rejected at once");
            timingOut.addAll(attempt == null ? List.of() : List.of(attempt));
        }
        assertTrue(
                timingOut.size() < 60, "sixty requests in flight and none answered is an overload");
        proxy.now += 0.5;
        timingOut.forEach(attempt -> proxy.endAttempt(attempt, AttemptOutcome.TIMED_OUT));
        proxy.wakeUntil(proxy.now + 20);
        assertNotNull(
                proxy.receiveRequest(IDEMPOTENT),
                "nothing is in flight, and no wait was observed recently");
    }

    @Test
    void failedBackendsAreAvoidedWithStaleReportsAndSlowStartAfterRestart() {
        TestDeployment proxy = proxyWithStaleReports(9);
        // From here on all reports are repeated, and three backends refuse connections.
        int[] attemptsByBackend =
                send(
                        proxy,
                        NOT_IDEMPOTENT,
                        300,
                        0.05,
                        i -> i < 3 ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.SUCCESS);
        assertTrue(
                attemptsByBackend[0] + attemptsByBackend[1] + attemptsByBackend[2] <= 30,
                "of 300 requests, attempts at the failed backends: "
                        + attemptsByBackend[0]
                        + ", "
                        + attemptsByBackend[1]
                        + ", "
                        + attemptsByBackend[2]);
        double restartedAt = proxy.now;
        proxy.applyEndpointList(
                false,
                false,
                IntStream.range(0, 3)
                        .mapToObj(
                                i ->
                                        TestDeployment.endpoint(
                                                i, EndpointUpdate.State.READY, restartedAt))
                        .toList());
        attemptsByBackend = send(proxy, NOT_IDEMPOTENT, 20, 0.05, i -> AttemptOutcome.SUCCESS);
        assertTrue(
                attemptsByBackend[0] + attemptsByBackend[1] + attemptsByBackend[2] <= 3,
                "cold, although the last report shows an idle backend");
        proxy.wakeUntil(restartedAt + 2 * TestDeployment.RULES.slowStartSeconds());
        attemptsByBackend = send(proxy, NOT_IDEMPOTENT, 300, 0.05, i -> AttemptOutcome.SUCCESS);
        assertTrue(
                attemptsByBackend[0] > 0 && attemptsByBackend[1] > 0 && attemptsByBackend[2] > 0,
                "warm backends are used again");
    }

    @Test
    void requestsCrossZonesOnlyIfOwnZoneLacksCapacity() {
        EndpointUpdate[] endpoints =
                IntStream.range(0, 6)
                        .mapToObj(
                                i ->
                                        new EndpointUpdate(
                                                i,
                                                false,
                                                i == 0 ? 0 : 1,
                                                0,
                                                EndpointUpdate.State.READY,
                                                0))
                        .toArray(EndpointUpdate[]::new);
        TestDeployment proxy = newProxy(false, endpoints);
        assertTrue(
                send(proxy, IDEMPOTENT, 200, 0.5, i -> AttemptOutcome.SUCCESS)[0] >= 190,
                "single requests stay in their zone");
        List<Attempt> inFlight = new ArrayList<>();
        int crossed = 0;
        for (int n = 0; n < 200; n++) {
            proxy.wakeUntil(proxy.now + 0.003);
            Attempt attempt = proxy.receiveRequest(NOT_IDEMPOTENT);
            crossed += attempt != null && attempt.backend != 0 ? 1 : 0;
            inFlight.addAll(attempt == null ? List.of() : List.of(attempt));
            if (inFlight.size() > 2) {
                proxy.endAttempt(inFlight.remove(0), AttemptOutcome.SUCCESS, 0.5, 0);
            }
        }
        assertTrue(
                crossed > 80,
                crossed
                        + " of 200 requests crossed zones while the own zone had several in"
                        + " flight");
    }

    @Test
    void allProxiesTogetherKeepSlowStartBudgetEvenIfFewCarryMostTraffic() {
        int sentToColdBackend = 0;
        for (int proxyIndex = 0; proxyIndex < 70; proxyIndex++) {
            TestDeployment proxy =
                    new TestDeployment(
                            TestDeployment.settings(
                                    70, false, TestDeployment.REPORTS_IN_RESPONSES, false),
                            1000 + proxyIndex);
            proxy.applyEndpointList(true, false, TestDeployment.endpoints(8));
            send(proxy, NOT_IDEMPOTENT, 60, 0.01, 0.1, i -> AttemptOutcome.SUCCESS);
            proxy.applyEndpointList(
                    false,
                    false,
                    List.of(TestDeployment.endpoint(0, EndpointUpdate.State.READY, proxy.now)));
            double windowSeconds = TestDeployment.RULES.overloadWindowSeconds();
            double secondsApart = proxyIndex < 5 ? 0.01 : 0.5;
            sentToColdBackend +=
                    send(
                            proxy,
                            NOT_IDEMPOTENT,
                            (int) (windowSeconds / (secondsApart + 0.1)),
                            secondsApart,
                            0.1,
                            i -> AttemptOutcome.SUCCESS)[0];
        }
        double budgetSeconds =
                TestDeployment.RULES.overloadFactor()
                        * TestDeployment.RULES.slowStartMinShare()
                        * TestDeployment.RULES.overloadWindowSeconds();
        assertTrue(
                sentToColdBackend > 0 && sentToColdBackend * 0.1 <= budgetSeconds,
                sentToColdBackend + " requests of 0.1 s for a budget of " + budgetSeconds + " s");
    }

    /** Returns one of forty proxies that gossip; it uses sixteen of thirty backends. */
    private static TestDeployment proxyWithGossip(double startedAt) {
        TestDeployment proxy =
                new TestDeployment(
                        TestDeployment.settings(
                                40, false, TestDeployment.REPORTS_IN_RESPONSES, false),
                        7);
        proxy.applyEndpointList(
                true,
                false,
                IntStream.range(0, 30)
                        .mapToObj(
                                i ->
                                        TestDeployment.endpoint(
                                                        i, EndpointUpdate.State.READY, startedAt)
                                                .withSubset(i / 30.0, i < 16 ? 0.5 : 0))
                        .toList());
        proxy.balancer.setGossipActive(true);
        return proxy;
    }

    /**
     * Guards against rejecting all requests after an overload because of the waits observed during
     * it.
     */
    @Test
    void waitsObservedEarlierRejectNothingIfNothingIsInFlight() {
        TestDeployment proxy = proxyWithGossip(0);
        for (int n = 0; n < 60; n++) {
            proxy.now += 0.01;
            Attempt attempt = proxy.receiveRequest(NOT_IDEMPOTENT);
            if (attempt != null) {
                proxy.now += 1;
                proxy.endAttempt(attempt, AttemptOutcome.TIMED_OUT);
            }
        }
        for (int requestClass : new int[] {0, NOT_IDEMPOTENT}) {
            assertNotNull(proxy.receiveRequest(requestClass), "request class " + requestClass);
        }
    }

    /** Guards against backends that look idle because gossip does not cover them. */
    @Test
    void backendOutsideGossipIsNotDrawnIfSubsetCanTakeTheRequest() {
        TestDeployment proxy = proxyWithGossip(0);
        IntStream.range(0, 30).forEach(i -> proxy.balancer.peerLoadReported(i, i < 16 ? 30 : 0));
        assertNull(proxy.receiveRequest(0), "all backends that gossip covers are busy");
        IntStream.range(0, 16).forEach(i -> proxy.balancer.peerLoadReported(i, 0));
        assertTrue(proxy.receiveRequest(0).backend < 16);
    }

    /** Guards against low priorities taking the last capacity of cold backends. */
    @Test
    void lastCapacityOfColdBackendsIsReservedForHighestPriority() {
        int[] attemptsByClass = new int[4];
        for (int seed = 0; seed < 20; seed++) {
            TestDeployment proxy = proxyWithGossip(99);
            proxy.balancer.seedServiceTime(0.1, 8);
            for (int n = 0; n < 30; n++) {
                proxy.now += 0.1;
                int requestClass = n % 2 == 0 ? IDEMPOTENT : NOT_IDEMPOTENT;
                Attempt attempt = proxy.receiveRequest(requestClass);
                attemptsByClass[requestClass] += attempt == null ? 0 : 1;
                if (attempt != null) {
                    proxy.now += 0.1;
                    proxy.endAttempt(attempt, AttemptOutcome.SUCCESS, 0.5, 0);
                    proxy.now -= 0.1;
                }
            }
        }
        assertTrue(
                attemptsByClass[NOT_IDEMPOTENT] > 1.3 * attemptsByClass[0]
                        && attemptsByClass[0] > 0,
                "attempts of the higher priority: "
                        + attemptsByClass[NOT_IDEMPOTENT]
                        + ", of the lower: "
                        + attemptsByClass[0]);
    }

    @Test
    void seededServiceTimeAdmitsMoreToColdBackendsUntilOwnResponsesDisagree() {
        int[] sent = new int[3];
        for (int i = 0; i < 3; i++) {
            TestDeployment proxy = proxyWithGossip(99);
            if (i > 0) {
                proxy.balancer.seedServiceTime(0.02, 8);
            }
            double serviceSeconds = i == 2 ? 0.8 : 0.02;
            for (int n = 0; n < 300; n++) {
                proxy.now += 0.01;
                Attempt attempt = proxy.receiveRequest(NOT_IDEMPOTENT);
                sent[i] += attempt == null ? 0 : 1;
                if (attempt != null) {
                    proxy.now += serviceSeconds;
                    proxy.endAttempt(attempt, AttemptOutcome.SUCCESS, 0.5, 0);
                    proxy.now -= serviceSeconds;
                }
            }
        }
        assertTrue(sent[1] > 1.5 * sent[0], "seeded " + sent[1] + ", unseeded " + sent[0]);
        assertTrue(
                sent[2] < sent[1] / 2,
                "seeded with a wrong time " + sent[2] + ", with the right time " + sent[1]);
    }
}
