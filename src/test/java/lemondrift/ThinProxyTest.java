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

/**
 * Proxies of which each has little traffic of its own, and backends whose reports are old when they
 * come.
 */
class ThinProxyTest {
    private static final int PURE = 0;
    private static final int ONCE = 2;

    private static TestDeployment world(boolean sizes, EndpointUpdate... lines) {
        Settings settings = TestDeployment.settings(70, false, TestDeployment.ANSWERS, false);
        TestDeployment w =
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
                                sizes),
                        7);
        w.list(true, false, List.of(lines));
        return w;
    }

    /** One that has been told the same reports again for some windows. */
    private static TestDeployment old(int backends) {
        TestDeployment w =
                world(false, TestDeployment.lines(backends).toArray(new EndpointUpdate[0]));
        to(w, ONCE, 20 * backends, 0.1, i -> AttemptOutcome.SUCCESS);
        return w;
    }

    /** How many go to each backend; each ends after 0.01 s as told, its report the same as ever. */
    private static int[] to(
            TestDeployment w,
            int requestClass,
            int exchanges,
            double apart,
            Function<Integer, AttemptOutcome> ends) {
        return to(w, requestClass, exchanges, apart, 0.01, ends);
    }

    private static int[] to(
            TestDeployment w,
            int requestClass,
            int exchanges,
            double apart,
            double durationSeconds,
            Function<Integer, AttemptOutcome> ends) {
        int[] hits = new int[60];
        for (int n = 0; n < exchanges; n++) {
            w.wakeUntil(w.now + apart);
            Attempt attempt = w.arrive(requestClass);
            for (w.now += durationSeconds; attempt != null; ) {
                hits[attempt.backend]++;
                attempt = w.end(attempt, ends.apply(attempt.backend), 0.5, 0);
            }
        }
        return hits;
    }

    @Test
    void whatTheListSaysOfSizesSetsTheShareWhereReportsAreOld() {
        for (double none : new double[] {0, -1, Double.NaN, Double.POSITIVE_INFINITY}) {
            assertEquals(
                    1,
                    new EndpointUpdate(0, false, 0, 0, EndpointUpdate.State.READY, 0, none)
                            .weight());
        }
        TestDeployment w =
                world(
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
        to(w, ONCE, 60, 1, i -> AttemptOutcome.SUCCESS);
        int large = to(w, ONCE, 400, 1, i -> AttemptOutcome.SUCCESS)[2];
        assertTrue(
                large > 160 && large < 240, large + " of 400 went to one of half the fleet's size");
    }

    @Test
    void aReportCountsUntilTheNextWhereNoneCanBeAskedFor() {
        TestDeployment w =
                new TestDeployment(
                        TestDeployment.settings(100, false, TestDeployment.ANSWERS, false), 7);
        w.list(true, false, TestDeployment.lines(2));
        List<Attempt> both = List.of(w.arrive(PURE), w.arrive(PURE));
        w.now += 0.1;
        both.forEach(
                attempt ->
                        w.end(
                                attempt,
                                AttemptOutcome.SUCCESS,
                                attempt.backend == 0 ? 1 : 0.1,
                                attempt.backend == 0 ? 3 : 0));
        w.now += 1;
        assertEquals(
                1, w.arrive(PURE).backend, "a window later: near and busy, or across and idle");
    }

    @Test
    void whereOthersTellOnlyThoseDrawnByLotAreUsedAndTheyAgainAfterAList() {
        TestDeployment w =
                new TestDeployment(
                        TestDeployment.settings(100, false, TestDeployment.ANSWERS, false), 7);
        assertTrue(w.balancer.wantsGossip(), "where none is asked others are to tell");
        assertFalse(
                TestDeployment.of(2).balancer.wantsGossip(),
                "where reports can be asked for nobody need tell");
        List<EndpointUpdate> updates =
                IntStream.range(0, 60)
                        .mapToObj(
                                i ->
                                        TestDeployment.line(i, EndpointUpdate.State.READY, 0)
                                                .withSubset(
                                                        (i * 37 % 60) / 60.0,
                                                        i * 37 % 60 < 16 ? 0.2 : 0))
                        .toList();
        w.list(true, false, updates);
        w.balancer.peersHeard(true);
        for (int round = 0; round < 3; round++) {
            int[] hits = to(w, ONCE, 200, 0.1, i -> AttemptOutcome.SUCCESS);
            int used = (int) Arrays.stream(hits).filter(n -> n > 0).count();
            assertTrue(used >= 6 && used <= 16, used + " are used");
            updates.stream()
                    .filter(update -> update.subsetScore() * 60 > 15.5)
                    .forEach(
                            update ->
                                    assertEquals(
                                            0,
                                            hits[update.backend()],
                                            "nobody tells this proxy of " + update));
            w.list(true, false, updates);
        }
    }

    /** How many of a flood go to one that has just started, the only one that there is. */
    private static int toACold(double used, boolean heard) {
        TestDeployment w =
                new TestDeployment(
                        TestDeployment.settings(6, false, TestDeployment.ANSWERS, false), 7);
        w.list(
                true,
                false,
                List.of(
                        TestDeployment.line(0, EndpointUpdate.State.READY, w.now)
                                .withSubset(0, used)));
        w.balancer.peersHeard(heard);
        int sent = 0;
        for (int n = 0; n < 600; n++) {
            w.now += 0.01;
            Attempt attempt = w.arrive(PURE);
            sent += attempt == null ? 0 : 1;
            for (w.now += 0.0001; attempt != null; ) {
                attempt = w.end(attempt, AttemptOutcome.SUCCESS, 0.1, 0);
            }
        }
        return sent;
    }

    @Test
    void aColdOneGetsOfEachUserItsPartOnlyWhileTheOthersAreHeard() {
        int alike = toACold(1, true);
        int fifth = toACold(0.2, true);
        assertTrue(alike > 0 && fifth > 3 * alike, alike + " and " + fifth);
        assertEquals(
                toACold(1, false), toACold(0.2, false), "none heard: parts are not known to hold");
    }

    @Test
    void whoFailsFastIsLeftAfterOneErrorAndUsedAgainOnceSound() {
        TestDeployment w = old(8);
        int errors =
                to(w, ONCE, 200, 0.1, i -> i == 0 ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS)[
                        0];
        assertTrue(
                errors <= 3,
                errors + " of 200 went to one that fails fast and reports that it is idle");
        int again = to(w, ONCE, 1500, 0.1, i -> AttemptOutcome.SUCCESS)[0];
        assertTrue(again > 50, again + " of 1500: sound again, used again");
    }

    @Test
    void aReportToldAgainClearsNoSends() {
        int herd = 0;
        for (int n = 0; n < 40; n++) {
            TestDeployment w = old(2);
            to(w, ONCE, n, 0.1, i -> AttemptOutcome.SUCCESS);
            w.wakeUntil(w.now + 1);
            List<Attempt> out = new ArrayList<>();
            for (int k = 0; k < 4; k++) {
                out.add(w.arrive(ONCE));
            }
            Attempt first = out.get(0);
            w.end(first, AttemptOutcome.SUCCESS, 0.5, 0);
            assertEquals(first.backend, w.arrive(ONCE).backend, "one out against two");
            herd += w.arrive(ONCE).backend == first.backend ? 1 : 0;
        }
        assertTrue(
                herd > 5 && herd < 35,
                herd + " of 40, with two out at each, went to one told idle again");
    }

    @Test
    void aJamIsShedAtOnceAndForgottenOnceItIsLongAgo() {
        TestDeployment w = old(4);
        List<Attempt> slow = new ArrayList<>();
        for (int n = 0; n < 60; n++) {
            w.now += 0.02;
            int answered = w.answers.size();
            Attempt attempt = w.arrive(PURE);
            assertTrue(
                    attempt != null || w.answers.size() == answered + 1,
                    "given up is answered at once");
            slow.addAll(attempt == null ? List.of() : List.of(attempt));
        }
        assertTrue(slow.size() < 60, "sixty out and none answered is a jam");
        w.now += 0.5;
        slow.forEach(attempt -> w.end(attempt, AttemptOutcome.TIMED_OUT));
        w.wakeUntil(w.now + 20);
        assertNotNull(w.arrive(PURE), "nothing out, and no wait met lately");
    }

    @Test
    void groupsThatDieWhileReportsComeLateAreLeftAndSparedOnceBack() {
        TestDeployment w = old(9);
        // No report is new from here on, and three refuse.
        int[] hits =
                to(
                        w,
                        ONCE,
                        300,
                        0.05,
                        i -> i < 3 ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.SUCCESS);
        assertTrue(
                hits[0] + hits[1] + hits[2] <= 30,
                "300 went, to the dead " + hits[0] + hits[1] + hits[2]);
        double back = w.now;
        w.list(
                false,
                false,
                IntStream.range(0, 3)
                        .mapToObj(i -> TestDeployment.line(i, EndpointUpdate.State.READY, back))
                        .toList());
        hits = to(w, ONCE, 20, 0.05, i -> AttemptOutcome.SUCCESS);
        assertTrue(
                hits[0] + hits[1] + hits[2] <= 3, "cold, though the last report is an idle one's");
        w.wakeUntil(back + 2 * TestDeployment.RULES.slowStartSeconds());
        hits = to(w, ONCE, 300, 0.05, i -> AttemptOutcome.SUCCESS);
        assertTrue(hits[0] > 0 && hits[1] > 0 && hits[2] > 0, "warm, and used again");
    }

    @Test
    void crossingIsForWhatTheOwnLocationCannotCarry() {
        EndpointUpdate[] lines =
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
        TestDeployment w = world(false, lines);
        assertTrue(
                to(w, PURE, 200, 0.5, i -> AttemptOutcome.SUCCESS)[0] >= 190,
                "one at a time stays");
        List<Attempt> open = new ArrayList<>();
        int away = 0;
        for (int n = 0; n < 200; n++) {
            w.wakeUntil(w.now + 0.003);
            Attempt attempt = w.arrive(ONCE);
            away += attempt != null && attempt.backend != 0 ? 1 : 0;
            open.addAll(attempt == null ? List.of() : List.of(attempt));
            if (open.size() > 2) {
                w.end(open.remove(0), AttemptOutcome.SUCCESS, 0.5, 0);
            }
        }
        assertTrue(away > 80, away + " of 200 left one backend that held several");
    }

    @Test
    void allTogetherKeepTheColdBudgetThoughFewCarryMostTraffic() {
        int cold = 0;
        for (int proxy = 0; proxy < 70; proxy++) {
            TestDeployment w =
                    new TestDeployment(
                            TestDeployment.settings(70, false, TestDeployment.ANSWERS, false),
                            1000 + proxy);
            w.list(true, false, TestDeployment.lines(8));
            to(w, ONCE, 60, 0.01, 0.1, i -> AttemptOutcome.SUCCESS);
            w.list(
                    false,
                    false,
                    List.of(TestDeployment.line(0, EndpointUpdate.State.READY, w.now)));
            double window = TestDeployment.RULES.overloadWindowSeconds();
            double apart = proxy < 5 ? 0.01 : 0.5;
            cold +=
                    to(
                            w,
                            ONCE,
                            (int) (window / (apart + 0.1)),
                            apart,
                            0.1,
                            i -> AttemptOutcome.SUCCESS)[0];
        }
        double budget =
                TestDeployment.RULES.overloadFactor()
                        * TestDeployment.RULES.slowStartMinShare()
                        * TestDeployment.RULES.overloadWindowSeconds();
        assertTrue(
                cold > 0 && cold * 0.1 <= budget,
                cold + " exchanges of 0.1 s for a budget of " + budget);
    }

    /** One among forty that tell, of whose thirty backends it uses sixteen. */
    private static TestDeployment told(double started) {
        TestDeployment w =
                new TestDeployment(
                        TestDeployment.settings(40, false, TestDeployment.ANSWERS, false), 7);
        w.list(
                true,
                false,
                IntStream.range(0, 30)
                        .mapToObj(
                                i ->
                                        TestDeployment.line(i, EndpointUpdate.State.READY, started)
                                                .withSubset(i / 30.0, i < 16 ? 0.5 : 0))
                        .toList());
        w.balancer.peersHeard(true);
        return w;
    }

    /**
     * Danger: after an overload all was shed for the waits of that time, backends idle beside it.
     */
    @Test
    void waitsMetBeforeShedNothingWhereNobodyHasAnythingOut() {
        TestDeployment w = told(0);
        for (int n = 0; n < 60; n++) {
            w.now += 0.01;
            Attempt attempt = w.arrive(ONCE);
            if (attempt != null) {
                w.now += 1;
                w.end(attempt, AttemptOutcome.TIMED_OUT);
            }
        }
        for (int requestClass : new int[] {0, ONCE}) {
            assertNotNull(w.arrive(requestClass), "grade " + requestClass);
        }
    }

    /** Danger: those of whom nobody tells look idle whatever they hold. */
    @Test
    void noneOfWhomNobodyTellsIsDrawnWhereOneOfThePartCouldTakeIt() {
        TestDeployment w = told(0);
        IntStream.range(0, 30).forEach(i -> w.balancer.peerLoadReported(i, i < 16 ? 30 : 0));
        assertNull(w.arrive(0), "all that it knows of are busy");
        IntStream.range(0, 16).forEach(i -> w.balancer.peerLoadReported(i, 0));
        assertTrue(w.arrive(0).backend < 16);
    }

    /**
     * Danger: with little room among cold ones, what is worth little would take what is worth most
     * needs.
     */
    @Test
    void theLastRoomOfColdOnesIsForWhatIsWorthMost() {
        int[] went = new int[4];
        for (int seed = 0; seed < 20; seed++) {
            TestDeployment w = told(99);
            w.balancer.seedServiceTime(0.1, 8);
            for (int n = 0; n < 30; n++) {
                w.now += 0.1;
                int requestClass = n % 2 == 0 ? 0 : ONCE;
                Attempt attempt = w.arrive(requestClass);
                went[requestClass] += attempt == null ? 0 : 1;
                if (attempt != null) {
                    w.now += 0.1;
                    w.end(attempt, AttemptOutcome.SUCCESS, 0.5, 0);
                    w.now -= 0.1;
                }
            }
        }
        assertTrue(went[ONCE] > 1.3 * went[0] && went[0] > 0, went[ONCE] + " and " + went[0]);
    }

    @Test
    void whatOthersHaveFoundOpensColdOnesUntilOwnAnswersSayOtherwise() {
        int[] sent = new int[3];
        for (int i = 0; i < 3; i++) {
            TestDeployment w = told(99);
            if (i > 0) {
                w.balancer.seedServiceTime(0.02, 8);
            }
            double work = i == 2 ? 0.8 : 0.02;
            for (int n = 0; n < 300; n++) {
                w.now += 0.01;
                Attempt attempt = w.arrive(ONCE);
                sent[i] += attempt == null ? 0 : 1;
                if (attempt != null) {
                    w.now += work;
                    w.end(attempt, AttemptOutcome.SUCCESS, 0.5, 0);
                    w.now -= work;
                }
            }
        }
        assertTrue(sent[1] > 1.5 * sent[0], "taught " + sent[1] + ", untaught " + sent[0]);
        assertTrue(sent[2] < sent[1] / 2, "taught wrongly " + sent[2] + ", rightly " + sent[1]);
    }
}
