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
import lemondrift.model.Request;
import lemondrift.model.Settings;
import lemondrift.model.ShedThreshold;
import org.junit.jupiter.api.Test;

/** Each danger that the module names, on the module alone. */
class LoadBalancerTest {
    private static final int PURE = 0;
    private static final int MARKED = 1;
    private static final int ONCE = 2;

    private static double share(TestDeployment w, int backend, int of) {
        int hits = 0;
        for (int i = 0; i < of; i++) {
            Attempt attempt = w.arrive(PURE);
            hits += attempt != null && attempt.backend == backend ? 1 : 0;
        }
        return (double) hits / of;
    }

    /**
     * The backends that so many exchanges go to, one every so many seconds, each delivered at once.
     */
    private static Set<Integer> used(TestDeployment w, int exchanges, double apart) {
        Set<Integer> used = new HashSet<>();
        for (int i = 0; i < exchanges; i++) {
            w.wakeUntil(w.now + apart);
            Attempt attempt = w.arrive(ONCE);
            used.add(attempt.backend);
            w.end(attempt, AttemptOutcome.SUCCESS);
        }
        return used;
    }

    @Test
    void theLeastEstimateWinsUntilOwnSendsRaiseIt() {
        TestDeployment w = TestDeployment.of(3).load(0.8, 0.1, 0.8);
        assertEquals(1, w.arrive(PURE).backend);
        assertTrue(share(w, 1, 9) < 1, "own sends raise the estimate");
    }

    @Test
    void aReportOverwritesTheEstimateAndClearsTheSends() {
        TestDeployment w = TestDeployment.of(2).load(0.5, 0.6);
        Attempt attempt = w.arrive(ONCE);
        assertEquals(0, attempt.backend);
        assertEquals(1, w.arrive(ONCE).backend);
        w.end(attempt, AttemptOutcome.SUCCESS, 0.1, 0);
        assertEquals(0, w.arrive(ONCE).backend);
    }

    @Test
    void anAnswersReportDoesNotCountTheExchangeItAnswers() {
        TestDeployment w =
                new TestDeployment(
                        TestDeployment.settings(
                                14, false, new Settings.LoadReports(true, 0, 1, true, -1), false),
                        7);
        w.list(true, false, TestDeployment.lines(2));
        Attempt first = w.arrive(ONCE);
        Attempt second = w.arrive(ONCE);
        w.now += 0.1;
        w.end(first, AttemptOutcome.SUCCESS, 0.5, 1);
        w.end(second, AttemptOutcome.SUCCESS, 0.4, 2);
        assertEquals(
                0,
                w.balancer.shedThreshold(w.now, ONCE).retryAfterSeconds(),
                "an idle fleet sheds nothing");
        assertEquals(first.backend, w.arrive(ONCE).backend, "idle, though its report says one");
    }

    @Test
    void whatOthersHaveOutCountsLikeOwnAndNeverWarmsACold() {
        TestDeployment w =
                new TestDeployment(
                        TestDeployment.settings(14, false, TestDeployment.ANSWERS, false), 7);
        w.list(
                true,
                false,
                List.of(
                        TestDeployment.line(0, EndpointUpdate.State.READY, 0),
                        TestDeployment.line(1, EndpointUpdate.State.READY, 0),
                        TestDeployment.line(2, EndpointUpdate.State.READY, w.now)));
        w.balancer.peerLoadReported(0, 3);
        w.balancer.peerLoadReported(2, 0);
        w.balancer.peersHeard(true);
        assertEquals(1, w.arrive(ONCE).backend, "idle as told");
        int cold = 0;
        for (int i = 0; i < 30; i++) {
            Attempt attempt = w.arrive(ONCE);
            cold += attempt != null && attempt.backend == 2 ? 1 : 0;
        }
        assertTrue(cold <= 1, cold + " went to one that looks idle and is cold");
    }

    @Test
    void exchangesHeldSeparateWhereUtilisationsSaturate() {
        TestDeployment w = TestDeployment.of(2).load(0.9, 1);
        w.loads.put(0, new double[] {0.9, 2});
        assertEquals(1, w.arrive(ONCE).backend);
    }

    @Test
    void crossingIsPaidForByBenefit() {
        TestDeployment w = TestDeployment.of(2).load(0.5, 0.4);
        assertEquals(0, w.arrive(PURE).backend, "a low benefit stays in its location");
        w = TestDeployment.of(2).load(0.5, 0.4);
        assertEquals(1, w.arrive(ONCE).backend, "a high benefit crosses for the lower utilisation");
    }

    @Test
    void reportsThatAreOldAreRenewedBeforeAPick() {
        TestDeployment w = TestDeployment.of(9).load(1, 1, 1, 1, 1, 1, 1, 1, 1);
        w.loads.put(7, new double[] {0, 0});
        w.loads.put(8, null);
        assertNull(w.arrive(ONCE), "kept while one has not answered");
        w.wakeUntil(w.now + 0.2);
        assertEquals(7, w.sends.get(0).backend, "asked in turn until the least estimated is fresh");
        int asked = w.probes.size();
        w.arrive(ONCE);
        assertTrue(asked <= 12 && w.probes.size() <= asked + 12, "a few at a time");
    }

    @Test
    void theSilentAreNotPickedThoughTheyLookIdle() {
        TestDeployment w = TestDeployment.of(2).load(0.9);
        w.loads.put(1, null);
        for (int i = 0; i < 20; i++) {
            w.arrive(ONCE);
            w.wakeUntil(w.now + 0.3);
        }
        assertTrue(
                w.sends.size() >= 19 && w.sends.stream().allMatch(attempt -> attempt.backend == 0));
    }

    @Test
    void aLargeFleetIsUsedInPartAndThePartChangesFromTimeToTime() {
        TestDeployment w = TestDeployment.of(60);
        assertTrue(used(w, 30, 0.01).size() <= 9, "a part");
        int many = used(w, 300, 1).size();
        assertTrue(many > 9, many + " by exchanging one at a time");
        Set<Integer> one = used(TestDeployment.of(60), 30, 0.01);
        TestDeployment other =
                new TestDeployment(
                        TestDeployment.settings(3, false, TestDeployment.ANSWERS, true), 8);
        other.list(true, false, TestDeployment.lines(60));
        assertNotEquals(one, used(other, 30, 0.01), "each proxy draws its own");
    }

    @Test
    void aPartNeverShedsWhatOthersCouldTake() {
        TestDeployment w = TestDeployment.of(60);
        for (int i = 0; i < 60; i++) {
            w.loads.put(i, new double[] {1, i == 41 ? 0 : 40});
        }
        int taken = 0;
        for (int i = 0; i < 40; i++) {
            w.wakeUntil(w.now + 1);
            Attempt attempt = w.arrive(ONCE);
            if (attempt != null) {
                taken++;
                w.end(attempt, AttemptOutcome.SUCCESS, 1, 0);
            }
        }
        assertTrue(taken > 8, taken + " taken by the one that is idle");
        TestDeployment gone = TestDeployment.of(60);
        Set<Integer> used = used(gone, 30, 0.01);
        gone.list(
                false,
                false,
                used.stream()
                        .map(i -> TestDeployment.line(i, EndpointUpdate.State.DRAINING, 0))
                        .toList());
        assertTrue(used(gone, 30, 0.01).stream().noneMatch(used::contains), "replaced at once");
    }

    @Test
    void withoutProbesExchangesGoOutAtOnce() {
        TestDeployment w =
                new TestDeployment(
                        TestDeployment.settings(400, false, TestDeployment.ANSWERS, false), 7);
        w.list(true, false, TestDeployment.lines(60));
        int many = used(w, 40, 0.5).size();
        assertTrue(many > 3, many + " used");
        assertTrue(w.probes.isEmpty());
    }

    @Test
    void anErrorsReportDrawsNoTraffic() {
        TestDeployment w = TestDeployment.of(3).load(0.5, 0.9, 0.2);
        Attempt attempt = w.arrive(ONCE);
        assertEquals(2, attempt.backend);
        w.end(attempt, AttemptOutcome.ERROR, 0, 0);
        assertEquals(0, w.arrive(ONCE).backend, "the mean stands for the one that errors");
    }

    @Test
    void badOutcomesSuspendAndATrialRestores() {
        TestDeployment w = TestDeployment.of(4);
        int bad = 0;
        for (int i = 0; i < 200; i++) {
            Attempt attempt = w.arrive(PURE);
            w.now += 0.001;
            w.end(
                    attempt,
                    attempt.backend == 2 ? AttemptOutcome.RESET : AttemptOutcome.SUCCESS,
                    0.3,
                    0);
            bad += attempt.backend == 2 ? 1 : 0;
        }
        assertTrue(bad >= 3 && bad <= 8, bad + " went to the sick one");
        w.wakeUntil(w.now + 3);
        w.load(0.9, 0.9, 0, 0.9);
        assertEquals(2, w.arrive(PURE).backend, "tried once its suspension is over");
        assertNotEquals(2, w.arrive(PURE).backend, "one trial at a time");
    }

    @Test
    void anIndexThatPassesOnCarriesNothingOver() {
        TestDeployment w = TestDeployment.of(2).load(0.9, 0);
        for (int i = 0; i < 20; i++) {
            Attempt attempt = w.arrive(PURE);
            w.end(
                    attempt,
                    attempt.backend == 1 ? AttemptOutcome.RESET : AttemptOutcome.SUCCESS,
                    0.9,
                    0);
        }
        assertEquals(0, w.arrive(PURE).backend, "the other is suspended");
        w.list(
                false,
                false,
                List.of(new EndpointUpdate(1, true, 0, 0, EndpointUpdate.State.READY, 0)));
        assertEquals(1, w.arrive(PURE).backend);
    }

    @Test
    void oneThatFailsOneGradeAloneTakesTheOthers() {
        TestDeployment w = TestDeployment.of(4);
        int[] bad = new int[4];
        int[] good = new int[4];
        for (int i = 0; i < 400; i++) {
            int requestClass = i % 4 == 0 ? ONCE : PURE;
            Attempt attempt = w.arrive(requestClass);
            w.now += 0.001;
            boolean fails = attempt.backend == 2 && requestClass == ONCE;
            w.end(attempt, fails ? AttemptOutcome.RESET : AttemptOutcome.SUCCESS, 0.3, 0);
            bad[attempt.backend] += fails ? 1 : 0;
            good[attempt.backend] += fails ? 0 : 1;
        }
        assertTrue(bad[2] <= 8, bad[2] + " went where their grade fails");
        assertTrue(good[2] >= 40, good[2] + " of the others still do");
    }

    @Test
    void aSharedFaultSuspendsAtMostHalf() {
        TestDeployment w = TestDeployment.of(4);
        Set<Integer> used = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            Attempt attempt = w.arrive(ONCE);
            w.wakeUntil(w.now + 0.2);
            if (attempt != null && w.end(attempt, AttemptOutcome.RESET) == null && i > 100) {
                used.add(attempt.backend);
            }
        }
        assertTrue(used.size() >= 2, used + " still used");
    }

    @Test
    void aColdBackendIsNotPushedOverByAShareOfTheProxies() {
        TestDeployment w = TestDeployment.of(2).load(0.9, 0.9);
        w.list(false, false, List.of(TestDeployment.line(2, EndpointUpdate.State.READY, w.now)));
        assertTrue(share(w, 2, 30) <= 0.1, "its near-zero load draws no more than its allowance");
    }

    @Test
    void aDrainingBackendGetsNothingNew() {
        TestDeployment w = TestDeployment.of(2);
        w.list(false, false, List.of(TestDeployment.line(0, EndpointUpdate.State.DRAINING, 0)));
        assertEquals(0, share(w, 0, 4));
    }

    @Test
    void provenOutcomesAreForwardedAgainAndOthersByGrade() {
        for (AttemptOutcome proof :
                List.of(
                        AttemptOutcome.OVERLOADED,
                        AttemptOutcome.CONNECT_FAILED,
                        AttemptOutcome.NOT_SENT)) {
            TestDeployment w = TestDeployment.of(2);
            Attempt attempt = w.arrive(ONCE);
            assertEquals(1 - attempt.backend, w.end(attempt, proof).backend);
        }
        for (AttemptOutcome doubt :
                List.of(
                        AttemptOutcome.ERROR,
                        AttemptOutcome.RESET,
                        AttemptOutcome.TIMED_OUT,
                        AttemptOutcome.CANCELLED)) {
            TestDeployment w = TestDeployment.of(60);
            assertNull(w.end(w.arrive(ONCE), doubt));
            assertFalse(w.answers.get(0).rejected(), "no promise where it may have run");
            Attempt attempt = w.arrive(MARKED);
            assertEquals(
                    attempt.backend % 2,
                    w.end(attempt, doubt).backend % 2,
                    "a repeat stays in its group");
            Attempt late = w.arrive(MARKED);
            w.now += 0.6;
            assertNull(w.end(late, doubt), "receipts are forgotten");
            assertNotNull(w.end(w.arrive(PURE), doubt));
        }
    }

    @Test
    void forwardsAreBoundedByALimitAndABudget() {
        TestDeployment w = TestDeployment.of(8);
        int sent = 0;
        for (int i = 0; i < 40; i++) {
            for (Attempt attempt = w.arrive(PURE);
                    attempt != null;
                    attempt = w.end(attempt, AttemptOutcome.OVERLOADED)) {
                sent++;
                assertTrue(attempt.index < 4);
            }
            w.wakeUntil(w.now + 1);
        }
        assertTrue(sent >= 40 && sent < 60, sent + " forwards for 40 exchanges");
    }

    @Test
    void whatCannotBeAnsweredInTimeIsShedAtOnceWithATimeToComeBack() {
        TestDeployment w = TestDeployment.of(2);
        w.loads.put(0, new double[] {1, 9});
        w.loads.put(1, new double[] {1, 9});
        assertNull(w.arrive(PURE));
        assertTrue(w.answers.get(0).rejected() && w.answers.get(0).retryAfterSeconds() > 0);
        w.loads.put(0, new double[] {1, 8});
        assertNotNull(w.arrive(ONCE), "the least benefit goes first");
        w.load(0.5, 0.5).now += 1;
        assertNotNull(w.arrive(PURE), "shedding can't lock itself in");
    }

    @Test
    void theWordIsWhatWouldBeShedAndAskingChangesNothing() {
        TestDeployment w = TestDeployment.of(2);
        assertEquals(
                0,
                w.balancer.shedThreshold(w.now, PURE).minSecondsLeft(),
                "nothing is shed of an idle fleet");
        w.loads.put(0, new double[] {1, 9});
        w.loads.put(1, new double[] {1, 9});
        assertNull(w.arrive(PURE));
        ShedThreshold word = w.balancer.shedThreshold(w.now, PURE);
        assertTrue(word.minSecondsLeft() > 1, "not with a whole contract time");
        assertEquals(w.answers.get(0).retryAfterSeconds(), word.retryAfterSeconds(), 1e-9);
        assertTrue(
                w.balancer.shedThreshold(w.now, ONCE).minSecondsLeft() < word.minSecondsLeft(),
                "the least benefit goes first");
        w.list(true, false, List.of());
        assertEquals(
                Double.POSITIVE_INFINITY, w.balancer.shedThreshold(w.now, ONCE).minSecondsLeft());
        TestDeployment asked = TestDeployment.of(20);
        TestDeployment other = TestDeployment.of(20);
        for (int k = 0; k < 200; k++) {
            asked.balancer.shedThreshold(asked.now, k % 4);
            Attempt attempt = asked.arrive(k % 4);
            Attempt same = other.arrive(k % 4);
            assertEquals(attempt == null ? -1 : attempt.backend, same == null ? -1 : same.backend);
            for (TestDeployment each : List.of(asked, other)) {
                if (k % 3 == 0 && attempt != null) {
                    each.end(
                            each == asked ? attempt : same,
                            AttemptOutcome.SUCCESS,
                            k % 10 / 10.0,
                            0);
                }
                each.wakeUntil(each.now + 0.013);
            }
            assertEquals(asked.wakeAt, other.wakeAt);
        }
        assertEquals(asked.probes, other.probes);
    }

    @Test
    void whereAllTurnSlowOnlyTheIdleAreUsed() {
        TestDeployment w = TestDeployment.of(1);
        w.loads.put(0, new double[] {1, 1});
        assertNotNull(w.arrive(PURE), "one ahead is a short wait");
        w.load(0);
        for (int i = 0; i < 12; i++) {
            Attempt attempt = w.arrive(PURE);
            w.wakeUntil(w.now + 1);
            w.end(attempt, AttemptOutcome.TIMED_OUT);
        }
        assertNotNull(w.arrive(PURE));
        w.loads.put(0, new double[] {1, 1});
        w.wakeUntil(w.now + 1);
        assertNull(w.arrive(PURE), "time-outs tell how long the one ahead takes");
    }

    @Test
    void everyExchangeIsAnsweredByItsExpiryAndTheClientsLeavingCancels() {
        TestDeployment w = TestDeployment.of(2);
        Attempt attempt = w.arrive(ONCE);
        w.wakeUntil(attempt.request.deadline);
        assertEquals(1, w.answers.size());
        Attempt g = w.arrive(PURE);
        w.did(w.balancer.clientLeft(w.now, g.request));
        assertTrue(w.cancels.contains(g));
        assertNull(w.end(g, AttemptOutcome.CANCELLED));
        assertEquals(1, w.answers.size(), "nothing is owed to a client that left");
    }

    @Test
    void aRetryWhoseFirstTrysContractTimeIsOverIsShedAtOnce() {
        TestDeployment w = TestDeployment.of(2);
        assertNotNull(w.arrive(ONCE));
        w.did(w.balancer.requestArrived(w.now, new Request(9, ONCE, 0, w.now, 0.9)));
        assertEquals(1, w.sends.size());
        assertTrue(w.answers.get(0).rejected());
    }

    @Test
    void anOddTryWithMoreTimeDoesNotMakeRetriesOfAllThatFollow() {
        TestDeployment w = TestDeployment.of(2);
        w.did(w.balancer.requestArrived(w.now, new Request(9, ONCE, 0, w.now, 9)));
        int sent = 0;
        for (int i = 0; i < 20; i++) {
            Attempt attempt = w.arrive(ONCE);
            sent += attempt == null ? 0 : 1;
            if (attempt != null) {
                w.end(attempt, AttemptOutcome.SUCCESS, 0, 0);
            }
        }
        assertTrue(sent >= 10, sent + " of 20 went out");
    }

    @Test
    void aMarkedRetryWithMoreTimeMakesNoRetriesOfFirstTries() {
        TestDeployment w =
                new TestDeployment(
                        TestDeployment.marked(
                                TestDeployment.settings(3, false, TestDeployment.ANSWERS, true)),
                        7);
        w.list(true, false, TestDeployment.lines(2));
        for (int i = 0; i < 20; i++) {
            w.did(w.balancer.requestArrived(w.now, new Request(2L * i, ONCE, 0, w.now, 0.9)));
            w.did(
                    w.balancer.requestArrived(
                            w.now, new Request(2L * i + 1, ONCE, 0, w.now, 1.9, true)));
            w.now += 0.1;
            List.copyOf(w.sends.subList(2 * i, w.sends.size()))
                    .forEach(attempt -> w.end(attempt, AttemptOutcome.SUCCESS, 0, 0));
        }
        assertEquals(40, w.sends.size(), "first tries are first tries, and retries are young");
        w.did(w.balancer.requestArrived(w.now, new Request(99, ONCE, 0, w.now, 0.7, true)));
        assertTrue(w.answers.get(0).rejected(), "its first try's contract time is over");
    }

    @Test
    void aBegunStreamHasNoExpiry() {
        TestDeployment w = TestDeployment.of(1);
        Attempt attempt = w.arrive(ONCE);
        w.did(w.balancer.responseStarted(w.now, attempt));
        w.wakeUntil(w.now + 9);
        assertTrue(w.answers.isEmpty());
    }

    @Test
    void theListIsFollowedAndAskedForAgain() {
        TestDeployment w =
                new TestDeployment(
                        TestDeployment.settings(3, true, TestDeployment.PROBES, true), 7);
        w.list(true, true, TestDeployment.lines(3));
        assertEquals(List.of(Decision.EndpointListCall.WATCH), w.listCalls);
        w.did(w.balancer.endpointListFailed(w.now));
        w.wakeUntil(w.now + 3);
        assertEquals(2, w.listCalls.size());
        w.list(false, false, List.of());
        w.wakeUntil(w.now + 60);
        assertEquals(2, w.listCalls.size(), "subscribed");
    }
}
