package lemondrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.FailureReason;
import lemondrift.model.Request;
import lemondrift.model.Settings;
import lemondrift.model.ShedThreshold;
import org.junit.jupiter.api.Test;

/** Tests the balancer alone: one test for each failure that it guards against. */
class LoadBalancerTest {
    private static final int IDEMPOTENT = 0;
    private static final int WITH_KEY = 1;
    private static final int NOT_IDEMPOTENT = 2;

    private static double shareSentTo(TestDeployment proxy, int backend, int requests) {
        int attempts = 0;
        for (int i = 0; i < requests; i++) {
            Attempt attempt = proxy.receiveRequest(IDEMPOTENT);
            attempts += attempt != null && attempt.backend == backend ? 1 : 0;
        }
        return (double) attempts / requests;
    }

    /**
     * Returns the backends that the given number of requests go to, sent at the given interval and
     * each answered at once.
     */
    private static Set<Integer> backendsUsed(
            TestDeployment proxy, int requests, double secondsApart) {
        Set<Integer> used = new HashSet<>();
        for (int i = 0; i < requests; i++) {
            proxy.wakeUntil(proxy.now + secondsApart);
            Attempt attempt = proxy.receiveRequest(NOT_IDEMPOTENT);
            used.add(attempt.backend);
            proxy.endAttempt(attempt, AttemptOutcome.SUCCESS);
        }
        return used;
    }

    @Test
    void lowestEstimateIsChosenUntilOwnAttemptsRaiseIt() {
        TestDeployment proxy = TestDeployment.withBackends(3).setUtilization(0.8, 0.1, 0.8);
        assertEquals(1, proxy.receiveRequest(IDEMPOTENT).backend);
        assertTrue(shareSentTo(proxy, 1, 9) < 1, "own attempts raise the estimate");
    }

    @Test
    void loadReportReplacesEstimateAndClearsCountOfSentAttempts() {
        TestDeployment proxy = TestDeployment.withBackends(2).setUtilization(0.5, 0.6);
        Attempt attempt = proxy.receiveRequest(NOT_IDEMPOTENT);
        assertEquals(0, attempt.backend);
        assertEquals(1, proxy.receiveRequest(NOT_IDEMPOTENT).backend);
        proxy.endAttempt(attempt, AttemptOutcome.SUCCESS, 0.1, 0);
        assertEquals(0, proxy.receiveRequest(NOT_IDEMPOTENT).backend);
    }

    @Test
    void loadReportInResponseDoesNotCountTheAnsweredRequest() {
        TestDeployment proxy =
                new TestDeployment(
                        TestDeployment.settings(
                                14, false, new Settings.LoadReports(true, 0, 1, true, -1), false),
                        7);
        proxy.applyEndpointList(true, false, TestDeployment.endpoints(2));
        Attempt first = proxy.receiveRequest(NOT_IDEMPOTENT);
        Attempt second = proxy.receiveRequest(NOT_IDEMPOTENT);
        proxy.now += 0.1;
        proxy.endAttempt(first, AttemptOutcome.SUCCESS, 0.5, 1);
        proxy.endAttempt(second, AttemptOutcome.SUCCESS, 0.4, 2);
        assertEquals(
                0,
                proxy.balancer.shedThreshold(proxy.now, NOT_IDEMPOTENT).retryAfterSeconds(),
                "nothing is rejected if all backends are idle");
        assertEquals(
                first.backend,
                proxy.receiveRequest(NOT_IDEMPOTENT).backend,
                "idle, although its report still counts the answered request");
    }

    @Test
    void peerAttemptsCountLikeOwnAndDoNotOverloadColdBackend() {
        TestDeployment proxy =
                new TestDeployment(
                        TestDeployment.settings(
                                14, false, TestDeployment.REPORTS_IN_RESPONSES, false),
                        7);
        proxy.applyEndpointList(
                true,
                false,
                List.of(
                        TestDeployment.endpoint(0, EndpointUpdate.State.READY, 0),
                        TestDeployment.endpoint(1, EndpointUpdate.State.READY, 0),
                        TestDeployment.endpoint(2, EndpointUpdate.State.READY, proxy.now)));
        proxy.balancer.peerLoadReported(0, 3);
        proxy.balancer.peerLoadReported(2, 0);
        proxy.balancer.setGossipActive(true);
        assertEquals(
                1, proxy.receiveRequest(NOT_IDEMPOTENT).backend, "idle according to the peers");
        int sentToColdBackend = 0;
        for (int i = 0; i < 30; i++) {
            Attempt attempt = proxy.receiveRequest(NOT_IDEMPOTENT);
            sentToColdBackend += attempt != null && attempt.backend == 2 ? 1 : 0;
        }
        assertTrue(
                sentToColdBackend <= 1,
                sentToColdBackend + " attempts at a cold backend that looks idle");
    }

    @Test
    void requestsInFlightDistinguishBackendsWhenUtilizationSaturates() {
        TestDeployment proxy = TestDeployment.withBackends(2).setUtilization(0.9, 1);
        proxy.probeReports.put(0, new double[] {0.9, 2});
        assertEquals(1, proxy.receiveRequest(NOT_IDEMPOTENT).backend);
    }

    @Test
    void crossZoneCostIsWeighedAgainstPriority() {
        TestDeployment proxy = TestDeployment.withBackends(2).setUtilization(0.5, 0.4);
        assertEquals(
                0, proxy.receiveRequest(IDEMPOTENT).backend, "a low priority stays in its zone");
        proxy = TestDeployment.withBackends(2).setUtilization(0.5, 0.4);
        assertEquals(
                1,
                proxy.receiveRequest(NOT_IDEMPOTENT).backend,
                "a high priority crosses for the lower utilization");
    }

    @Test
    void probesRenewStaleLoadReportsBeforeAnAttempt() {
        TestDeployment proxy =
                TestDeployment.withBackends(9).setUtilization(1, 1, 1, 1, 1, 1, 1, 1, 1);
        proxy.probeReports.put(7, new double[] {0, 0});
        proxy.probeReports.put(8, null);
        assertNull(
                proxy.receiveRequest(NOT_IDEMPOTENT),
                "the request waits while a probe is unanswered");
        proxy.wakeUntil(proxy.now + 0.2);
        assertEquals(
                7,
                proxy.attempts.get(0).backend,
                "backends are probed in turn until the lowest estimate is fresh");
        int probesOfFirst = proxy.probes.size();
        proxy.receiveRequest(NOT_IDEMPOTENT);
        assertTrue(
                probesOfFirst <= 12 && proxy.probes.size() <= probesOfFirst + 12,
                "only a few backends are probed for each request");
    }

    @Test
    void backendsThatAnswerNoProbeAreNotChosenEvenIfTheyLookIdle() {
        TestDeployment proxy = TestDeployment.withBackends(2).setUtilization(0.9);
        proxy.probeReports.put(1, null);
        for (int i = 0; i < 20; i++) {
            proxy.receiveRequest(NOT_IDEMPOTENT);
            proxy.wakeUntil(proxy.now + 0.3);
        }
        assertTrue(
                proxy.attempts.size() >= 19
                        && proxy.attempts.stream().allMatch(attempt -> attempt.backend == 0));
    }

    @Test
    void proxyUsesSubsetOfManyBackendsThatChangesOverTime() {
        TestDeployment proxy = TestDeployment.withBackends(60);
        assertTrue(backendsUsed(proxy, 30, 0.01).size() <= 9, "only a subset is used");
        int usedCount = backendsUsed(proxy, 300, 1).size();
        assertTrue(usedCount > 9, usedCount + " backends are used when one at a time is exchanged");
        Set<Integer> subset = backendsUsed(TestDeployment.withBackends(60), 30, 0.01);
        TestDeployment other =
                new TestDeployment(
                        TestDeployment.settings(
                                3, false, TestDeployment.REPORTS_IN_RESPONSES, true),
                        8);
        other.applyEndpointList(true, false, TestDeployment.endpoints(60));
        assertNotEquals(subset, backendsUsed(other, 30, 0.01), "each proxy draws its own subset");
    }

    @Test
    void requestIsNotRejectedIfBackendOutsideTheSubsetCanTakeIt() {
        TestDeployment proxy = TestDeployment.withBackends(60);
        for (int i = 0; i < 60; i++) {
            proxy.probeReports.put(i, new double[] {1, i == 41 ? 0 : 40});
        }
        int accepted = 0;
        for (int i = 0; i < 40; i++) {
            proxy.wakeUntil(proxy.now + 1);
            Attempt attempt = proxy.receiveRequest(NOT_IDEMPOTENT);
            if (attempt != null) {
                accepted++;
                proxy.endAttempt(attempt, AttemptOutcome.SUCCESS, 1, 0);
            }
        }
        assertTrue(accepted > 8, accepted + " requests were taken by the idle backend");
        TestDeployment draining = TestDeployment.withBackends(60);
        Set<Integer> used = backendsUsed(draining, 30, 0.01);
        draining.applyEndpointList(
                false,
                false,
                used.stream()
                        .map(i -> TestDeployment.endpoint(i, EndpointUpdate.State.DRAINING, 0))
                        .toList());
        assertTrue(
                backendsUsed(draining, 30, 0.01).stream().noneMatch(used::contains),
                "draining backends are replaced at once");
    }

    @Test
    void requestsAreSentImmediatelyIfProbesAreNotAllowed() {
        TestDeployment proxy =
                new TestDeployment(
                        TestDeployment.settings(
                                400, false, TestDeployment.REPORTS_IN_RESPONSES, false),
                        7);
        proxy.applyEndpointList(true, false, TestDeployment.endpoints(60));
        int usedCount = backendsUsed(proxy, 40, 0.5).size();
        assertTrue(usedCount > 3, usedCount + " backends are used");
        assertTrue(proxy.probes.isEmpty());
    }

    @Test
    void loadReportOfFailedAttemptAttractsNoTraffic() {
        TestDeployment proxy = TestDeployment.withBackends(3).setUtilization(0.5, 0.9, 0.2);
        Attempt attempt = proxy.receiveRequest(NOT_IDEMPOTENT);
        assertEquals(2, attempt.backend);
        proxy.endAttempt(attempt, AttemptOutcome.ERROR, 0, 0);
        assertEquals(
                0,
                proxy.receiveRequest(NOT_IDEMPOTENT).backend,
                "the mean load is assumed for the backend that fails");
    }

    @Test
    void failuresEjectBackendAndTrialRestoresIt() {
        TestDeployment proxy = TestDeployment.withBackends(4);
        int failed = 0;
        for (int i = 0; i < 200; i++) {
            Attempt attempt = proxy.receiveRequest(IDEMPOTENT);
            proxy.now += 0.001;
            proxy.endAttempt(
                    attempt,
                    attempt.backend == 2 ? AttemptOutcome.RESET : AttemptOutcome.SUCCESS,
                    0.3,
                    0);
            failed += attempt.backend == 2 ? 1 : 0;
        }
        assertTrue(failed >= 3 && failed <= 8, failed + " attempts at the failing backend");
        proxy.wakeUntil(proxy.now + 3);
        proxy.setUtilization(0.9, 0.9, 0, 0.9);
        assertEquals(
                2,
                proxy.receiveRequest(IDEMPOTENT).backend,
                "tried again once its ejection is over");
        assertNotEquals(2, proxy.receiveRequest(IDEMPOTENT).backend, "one trial at a time");
    }

    @Test
    void newBackendAtReusedIndexInheritsNoState() {
        TestDeployment proxy = TestDeployment.withBackends(2).setUtilization(0.9, 0);
        for (int i = 0; i < 20; i++) {
            Attempt attempt = proxy.receiveRequest(IDEMPOTENT);
            proxy.endAttempt(
                    attempt,
                    attempt.backend == 1 ? AttemptOutcome.RESET : AttemptOutcome.SUCCESS,
                    0.9,
                    0);
        }
        assertEquals(0, proxy.receiveRequest(IDEMPOTENT).backend, "the other backend is ejected");
        proxy.applyEndpointList(
                false,
                false,
                List.of(new EndpointUpdate(1, true, 0, 0, EndpointUpdate.State.READY, 0)));
        assertEquals(1, proxy.receiveRequest(IDEMPOTENT).backend);
    }

    @Test
    void backendThatFailsOneRequestClassStillTakesTheOthers() {
        TestDeployment proxy = TestDeployment.withBackends(4);
        int[] failed = new int[4];
        int[] succeeded = new int[4];
        for (int i = 0; i < 400; i++) {
            int requestClass = i % 4 == 0 ? NOT_IDEMPOTENT : IDEMPOTENT;
            Attempt attempt = proxy.receiveRequest(requestClass);
            proxy.now += 0.001;
            boolean fails = attempt.backend == 2 && requestClass == NOT_IDEMPOTENT;
            proxy.endAttempt(
                    attempt, fails ? AttemptOutcome.RESET : AttemptOutcome.SUCCESS, 0.3, 0);
            failed[attempt.backend] += fails ? 1 : 0;
            succeeded[attempt.backend] += fails ? 0 : 1;
        }
        assertTrue(
                failed[2] <= 8, failed[2] + " requests went to the backend that fails their class");
        assertTrue(
                succeeded[2] >= 40,
                succeeded[2] + " requests of the other class went to that backend");
    }

    @Test
    void faultOfAllBackendsEjectsAtMostHalf() {
        TestDeployment proxy = TestDeployment.withBackends(4);
        Set<Integer> used = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            Attempt attempt = proxy.receiveRequest(NOT_IDEMPOTENT);
            proxy.wakeUntil(proxy.now + 0.2);
            if (attempt != null
                    && proxy.endAttempt(attempt, AttemptOutcome.RESET) == null
                    && i > 100) {
                used.add(attempt.backend);
            }
        }
        assertTrue(used.size() >= 2, used + " are still used");
    }

    @Test
    void oneProxyKeepsItsShareOfColdBackendBudget() {
        TestDeployment proxy = TestDeployment.withBackends(2).setUtilization(0.9, 0.9);
        proxy.applyEndpointList(
                false,
                false,
                List.of(TestDeployment.endpoint(2, EndpointUpdate.State.READY, proxy.now)));
        assertTrue(
                shareSentTo(proxy, 2, 30) <= 0.1,
                "its low load report attracts no more than its budget");
    }

    @Test
    void drainingBackendGetsNoNewRequests() {
        TestDeployment proxy = TestDeployment.withBackends(2);
        proxy.applyEndpointList(
                false,
                false,
                List.of(TestDeployment.endpoint(0, EndpointUpdate.State.DRAINING, 0)));
        assertEquals(0, shareSentTo(proxy, 0, 4));
    }

    @Test
    void unexecutedRequestIsRetriedAndOthersOnlyAsIdempotencyAllows() {
        for (AttemptOutcome neverExecuted :
                List.of(
                        AttemptOutcome.OVERLOADED,
                        AttemptOutcome.CONNECT_FAILED,
                        AttemptOutcome.NOT_SENT)) {
            TestDeployment proxy = TestDeployment.withBackends(2);
            Attempt attempt = proxy.receiveRequest(NOT_IDEMPOTENT);
            assertEquals(1 - attempt.backend, proxy.endAttempt(attempt, neverExecuted).backend);
        }
        for (AttemptOutcome possiblyExecuted :
                List.of(
                        AttemptOutcome.ERROR,
                        AttemptOutcome.RESET,
                        AttemptOutcome.TIMED_OUT,
                        AttemptOutcome.CANCELLED)) {
            TestDeployment proxy = TestDeployment.withBackends(60);
            assertNull(proxy.endAttempt(proxy.receiveRequest(NOT_IDEMPOTENT), possiblyExecuted));
            assertFalse(
                    proxy.localReplies.get(0).rejected(),
                    "no promise if the request may have been executed");
            Attempt attempt = proxy.receiveRequest(WITH_KEY);
            assertEquals(
                    attempt.backend % 2,
                    proxy.endAttempt(attempt, possiblyExecuted).backend % 2,
                    "a retry stays in its deduplication scope");
            Attempt late = proxy.receiveRequest(WITH_KEY);
            proxy.now += 0.6;
            assertNull(proxy.endAttempt(late, possiblyExecuted), "the idempotency key has expired");
            assertNotNull(proxy.endAttempt(proxy.receiveRequest(IDEMPOTENT), possiblyExecuted));
        }
    }

    /**
     * Guards against an effect that happens twice because the proxy is held up between the decision
     * to repeat a request and its write, near the end of the time for which backends recognize it.
     */
    @Test
    void repeatIsDecidedOnlyIfItIsRecognizedEvenWhenWrittenLate() {
        double lastDecisionSeconds =
                TestDeployment.WITH_KEY.idempotencyKeyTtlSeconds() - Request.MAX_SEND_DELAY_SECONDS;
        TestDeployment proxy = TestDeployment.withBackends(60);
        Attempt inTime = proxy.receiveRequest(WITH_KEY);
        proxy.now += lastDecisionSeconds - 0.01;
        Attempt repeat = proxy.endAttempt(inTime, AttemptOutcome.RESET);
        assertEquals(
                inTime.sentAt + lastDecisionSeconds, repeat.sendBefore, 1e-9, "of the first one");
        Attempt tooLate = proxy.receiveRequest(WITH_KEY);
        proxy.now += lastDecisionSeconds + 0.01;
        assertNull(proxy.endAttempt(tooLate, AttemptOutcome.RESET));
    }

    @Test
    void attemptsAreBoundedByLimitAndRetryBudget() {
        TestDeployment proxy = TestDeployment.withBackends(8);
        int attempts = 0;
        for (int i = 0; i < 40; i++) {
            for (Attempt attempt = proxy.receiveRequest(IDEMPOTENT);
                    attempt != null;
                    attempt = proxy.endAttempt(attempt, AttemptOutcome.OVERLOADED)) {
                attempts++;
                assertTrue(attempt.index < 4);
            }
            proxy.wakeUntil(proxy.now + 1);
        }
        assertTrue(attempts >= 40 && attempts < 60, attempts + " attempts for 40 requests");
    }

    /** Guards against a failure reason that hides which limit or rule ended the retries. */
    @Test
    void failureReasonTellsWhichLimitEndedTheRetries() {
        TestDeployment none = TestDeployment.withBackends(0);
        none.receiveRequest(IDEMPOTENT);
        assertEquals(FailureReason.NO_BACKEND, none.lastFailureReason());
        TestDeployment one = TestDeployment.withBackends(1);
        one.endAttempt(one.receiveRequest(IDEMPOTENT), AttemptOutcome.OVERLOADED);
        assertEquals(FailureReason.NO_BACKEND_FOR_RETRY, one.lastFailureReason());
        TestDeployment many = TestDeployment.withBackends(8);
        many.endAttempt(
                many.endAttempt(many.receiveRequest(IDEMPOTENT), AttemptOutcome.OVERLOADED),
                AttemptOutcome.SUCCESS);
        assertEquals(
                FailureReason.ATTEMPTS_USED,
                failureReasonIfAllAttemptsEndOverloaded(many),
                "although its last retry also used up the budget");
        assertEquals(
                FailureReason.RETRY_BUDGET_SPENT, failureReasonIfAllAttemptsEndOverloaded(many));
    }

    private static FailureReason failureReasonIfAllAttemptsEndOverloaded(TestDeployment proxy) {
        for (Attempt attempt = proxy.receiveRequest(IDEMPOTENT);
                attempt != null;
                attempt = proxy.endAttempt(attempt, AttemptOutcome.OVERLOADED)) {}
        return proxy.lastFailureReason();
    }

    @Test
    void requestThatCannotBeAnsweredInTimeIsRejectedWithRetryAfter() {
        TestDeployment proxy = TestDeployment.withBackends(2);
        proxy.probeReports.put(0, new double[] {1, 9});
        proxy.probeReports.put(1, new double[] {1, 9});
        assertNull(proxy.receiveRequest(IDEMPOTENT));
        assertTrue(
                proxy.localReplies.get(0).rejected()
                        && proxy.localReplies.get(0).retryAfterSeconds() > 0);
        proxy.probeReports.put(0, new double[] {1, 8});
        assertNotNull(
                proxy.receiveRequest(NOT_IDEMPOTENT), "the lowest priority is rejected first");
        proxy.setUtilization(0.5, 0.5).now += 1;
        assertNotNull(proxy.receiveRequest(IDEMPOTENT), "rejections do not outlast the overload");
    }

    @Test
    void shedThresholdMatchesRejectionsAndReadingItChangesNothing() {
        TestDeployment proxy = TestDeployment.withBackends(2);
        assertEquals(
                0,
                proxy.balancer.shedThreshold(proxy.now, IDEMPOTENT).minSecondsLeft(),
                "nothing is rejected if all backends are idle");
        proxy.probeReports.put(0, new double[] {1, 9});
        proxy.probeReports.put(1, new double[] {1, 9});
        assertNull(proxy.receiveRequest(IDEMPOTENT));
        ShedThreshold threshold = proxy.balancer.shedThreshold(proxy.now, IDEMPOTENT);
        assertTrue(
                threshold.minSecondsLeft() > 1,
                "rejected even with the whole latency objective left");
        assertEquals(
                proxy.localReplies.get(0).retryAfterSeconds(), threshold.retryAfterSeconds(), 1e-9);
        assertTrue(
                proxy.balancer.shedThreshold(proxy.now, NOT_IDEMPOTENT).minSecondsLeft()
                        < threshold.minSecondsLeft(),
                "the lowest priority is rejected first");
        proxy.applyEndpointList(true, false, List.of());
        assertEquals(
                Double.POSITIVE_INFINITY,
                proxy.balancer.shedThreshold(proxy.now, NOT_IDEMPOTENT).minSecondsLeft());
        TestDeployment queried = TestDeployment.withBackends(20);
        TestDeployment other = TestDeployment.withBackends(20);
        for (int k = 0; k < 200; k++) {
            queried.balancer.shedThreshold(queried.now, k % 4);
            Attempt attempt = queried.receiveRequest(k % 4);
            Attempt otherAttempt = other.receiveRequest(k % 4);
            assertEquals(
                    attempt == null ? -1 : attempt.backend,
                    otherAttempt == null ? -1 : otherAttempt.backend);
            for (TestDeployment each : List.of(queried, other)) {
                if (k % 3 == 0 && attempt != null) {
                    each.endAttempt(
                            each == queried ? attempt : otherAttempt,
                            AttemptOutcome.SUCCESS,
                            k % 10 / 10.0,
                            0);
                }
                each.wakeUntil(each.now + 0.013);
            }
            assertEquals(queried.wakeAt, other.wakeAt);
        }
        assertEquals(queried.probes, other.probes);
    }

    @Test
    void onlyIdleBackendsAreUsedWhenAllBackendsBecomeSlow() {
        TestDeployment proxy = TestDeployment.withBackends(1);
        proxy.probeReports.put(0, new double[] {1, 1});
        assertNotNull(proxy.receiveRequest(IDEMPOTENT), "one request ahead is a short wait");
        proxy.setUtilization(0);
        for (int i = 0; i < 12; i++) {
            Attempt attempt = proxy.receiveRequest(IDEMPOTENT);
            proxy.wakeUntil(proxy.now + 1);
            proxy.endAttempt(attempt, AttemptOutcome.TIMED_OUT);
        }
        assertNotNull(proxy.receiveRequest(IDEMPOTENT));
        proxy.probeReports.put(0, new double[] {1, 1});
        proxy.wakeUntil(proxy.now + 1);
        assertNull(
                proxy.receiveRequest(IDEMPOTENT), "timeouts show how long the request ahead takes");
    }

    @Test
    void requestIsAnsweredByItsDeadlineAndCancelledIfItsClientLeaves() {
        TestDeployment proxy = TestDeployment.withBackends(2);
        Attempt attempt = proxy.receiveRequest(NOT_IDEMPOTENT);
        proxy.wakeUntil(attempt.request.deadline);
        assertEquals(1, proxy.localReplies.size());
        Attempt abandoned = proxy.receiveRequest(IDEMPOTENT);
        proxy.apply(proxy.balancer.requestAbandoned(proxy.now, abandoned.request));
        assertTrue(proxy.cancellations.contains(abandoned));
        assertNull(proxy.endAttempt(abandoned, AttemptOutcome.CANCELLED));
        assertEquals(1, proxy.localReplies.size(), "no reply to a client that left");
    }

    @Test
    void clientRetryIsRejectedIfLatencyObjectiveOfFirstTryHasPassed() {
        TestDeployment proxy = TestDeployment.withBackends(2);
        assertNotNull(proxy.receiveRequest(NOT_IDEMPOTENT));
        proxy.apply(
                proxy.balancer.requestArrived(
                        proxy.now, new Request(9, NOT_IDEMPOTENT, 0, proxy.now, 0.9)));
        assertEquals(1, proxy.attempts.size());
        assertTrue(proxy.localReplies.get(0).rejected());
    }

    @Test
    void oneRequestWithMoreTimeDoesNotMakeLaterRequestsLookLikeRetries() {
        TestDeployment proxy = TestDeployment.withBackends(2);
        proxy.apply(
                proxy.balancer.requestArrived(
                        proxy.now, new Request(9, NOT_IDEMPOTENT, 0, proxy.now, 9)));
        int attempts = 0;
        for (int i = 0; i < 20; i++) {
            Attempt attempt = proxy.receiveRequest(NOT_IDEMPOTENT);
            attempts += attempt == null ? 0 : 1;
            if (attempt != null) {
                proxy.endAttempt(attempt, AttemptOutcome.SUCCESS, 0, 0);
            }
        }
        assertTrue(attempts >= 10, attempts + " of 20 were sent");
    }

    @Test
    void markedRetryWithMoreTimeDoesNotMakeFirstTriesLookLikeRetries() {
        TestDeployment proxy =
                new TestDeployment(
                        TestDeployment.withMarkedRetries(
                                TestDeployment.settings(
                                        3, false, TestDeployment.REPORTS_IN_RESPONSES, true)),
                        7);
        proxy.applyEndpointList(true, false, TestDeployment.endpoints(2));
        for (int i = 0; i < 20; i++) {
            proxy.apply(
                    proxy.balancer.requestArrived(
                            proxy.now, new Request(2L * i, NOT_IDEMPOTENT, 0, proxy.now, 0.9)));
            proxy.apply(
                    proxy.balancer.requestArrived(
                            proxy.now,
                            new Request(2L * i + 1, NOT_IDEMPOTENT, 0, proxy.now, 1.9, true)));
            proxy.now += 0.1;
            List.copyOf(proxy.attempts.subList(2 * i, proxy.attempts.size()))
                    .forEach(attempt -> proxy.endAttempt(attempt, AttemptOutcome.SUCCESS, 0, 0));
        }
        assertEquals(
                40,
                proxy.attempts.size(),
                "neither first tries nor marked retries with a time of their own are cut short");
        proxy.apply(
                proxy.balancer.requestArrived(
                        proxy.now, new Request(99, NOT_IDEMPOTENT, 0, proxy.now, 0.7, true)));
        assertTrue(
                proxy.localReplies.get(0).rejected(),
                "the latency objective of its first try has passed");
    }

    @Test
    void requestDoesNotExpireOnceItsResponseHasStarted() {
        TestDeployment proxy = TestDeployment.withBackends(1);
        Attempt attempt = proxy.receiveRequest(NOT_IDEMPOTENT);
        proxy.apply(proxy.balancer.responseStarted(proxy.now, attempt));
        proxy.wakeUntil(proxy.now + 9);
        assertTrue(proxy.localReplies.isEmpty());
    }

    @Test
    void endpointListIsWatchedAndPolledAgainAfterFailure() {
        TestDeployment proxy =
                new TestDeployment(
                        TestDeployment.settings(3, true, TestDeployment.REPORTS_BY_PROBE, true), 7);
        proxy.applyEndpointList(true, true, TestDeployment.endpoints(3));
        assertEquals(List.of(Decision.EndpointListCall.WATCH), proxy.endpointListCalls);
        proxy.apply(proxy.balancer.endpointListFailed(proxy.now));
        proxy.wakeUntil(proxy.now + 3);
        assertEquals(2, proxy.endpointListCalls.size());
        proxy.applyEndpointList(false, false, List.of());
        proxy.wakeUntil(proxy.now + 60);
        assertEquals(2, proxy.endpointListCalls.size(), "no further call while subscribed");
    }
}
