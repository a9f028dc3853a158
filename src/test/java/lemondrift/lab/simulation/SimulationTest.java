package lemondrift.lab.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemondrift.lab.Baseline;
import lemondrift.lab.ModuleUnderTest;
import lemondrift.lab.simulation.BackendFault.Kind;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Idempotency;
import lemondrift.model.Request;
import lemondrift.model.Settings;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** The world in virtual time: its hard cases, and a referee that catches whoever breaks a rule. */
class SimulationTest {
    private static BackendFault trouble(Kind kind, double share, double strength) {
        return new BackendFault(kind, 5, 6, share, strength);
    }

    private static BackendFault usual(Kind kind) {
        return trouble(
                kind,
                0.3,
                switch (kind) {
                    case ERRORS, GRADE -> 0.8;
                    case BURST -> 1.8;
                    default -> 3;
                });
    }

    @Test
    void theSameSeedIsTheSameDay() {
        Scenario scenario = Scenarios.of(3, 8, 1, usual(Kind.CRASH), usual(Kind.SLOW));
        assertEquals(Scenarios.play(scenario).toString(), Scenarios.play(scenario).toString());
        assertNotEquals(
                Scenarios.play(scenario).toString(),
                Scenarios.play(Scenarios.of(3, 8, 2, usual(Kind.CRASH), usual(Kind.SLOW)))
                        .toString());
    }

    @Test
    void aCalmDayIsServed() {
        RunResult result = Scenarios.play(Scenarios.of(3, 8, 1));
        assertTrue(result.service() > 0.98, result.toString());
        assertEquals(0, result.unanswered);
    }

    @Test
    void theModuleKeepsTheRulesInEachTroubleAlone() {
        for (Kind kind : Kind.values()) {
            RunResult result = Scenarios.play(Scenarios.of(3, 10, 3, usual(kind)));
            assertTrue(result.service() > 0.4, kind + ": " + result);
            assertEquals(0, result.unanswered, kind + ": " + result);
        }
    }

    @Property(tries = 12, seed = "20261201")
    void andInAnyTogether(
            @ForAll @Size(min = 2, max = 4) List<Kind> kinds,
            @ForAll @IntRange(max = 99) int seed) {
        BackendFault[] troubles =
                kinds.stream().map(SimulationTest::usual).toArray(BackendFault[]::new);
        assertEquals(0, Scenarios.play(Scenarios.of(3, 6, seed, troubles)).unanswered);
    }

    @Test
    void theFiguresTellWhenAndWhereMostIsLost() {
        RunResult result =
                Scenarios.play(Scenarios.of(2, 4, 1, new BackendFault(Kind.CRASH, 8, 3, 1, 1)));
        int worst = result.worstWindow(3);
        assertTrue(worst >= 7 && worst <= 9, "from " + worst);
        double lost = 0;
        for (int s = 0; s < result.requestedWeightPerSecond.length; s++) {
            lost += result.requestedWeightPerSecond[s] - result.servedWeightPerSecond[s];
        }
        assertEquals(result.requestedWeight - result.servedWeight, lost, 1e-6);
        assertEquals(2, result.worstBackends(2).size());
    }

    @Test
    void whereEveryBackendIsGoneAllIsAnsweredAtOnce() {
        RunResult none = Scenarios.play(Scenarios.of(2, 0, 1));
        assertEquals(none.accepted, none.rejected);
        RunResult gone =
                Scenarios.play(Scenarios.of(2, 4, 1, new BackendFault(Kind.CRASH, 4, 30, 1, 1)));
        assertEquals(0, gone.unanswered);
        assertTrue(gone.rejected > 0.5 * gone.accepted, gone.toString());
    }

    @Test
    void twoTroublesThatEndAtTheSameInstantEndOnce() {
        Scenario scenario =
                Scenarios.of(
                        3,
                        4,
                        1,
                        new BackendFault(Kind.CRASH, 4, 4, 1, 1),
                        new BackendFault(Kind.VANISH, 3, 5, 1, 1),
                        new BackendFault(Kind.SLOW, 2, 6, 1, 4),
                        new BackendFault(Kind.STALL, 2, 6, 1, 1));
        RunResult result = Scenarios.play(scenario);
        assertEquals(0, result.unanswered);
        assertTrue(result.service() > 0.2, "it goes on after them: " + result);
    }

    /** The module, spoilt in one way. */
    private abstract static class Spoilt implements RoutingPolicy {
        final ModuleUnderTest module;

        Spoilt(Settings settings) {
            module = new ModuleUnderTest(settings, 1);
        }

        Decision spoils(Decision decision) {
            return decision;
        }

        List<EndpointUpdate> hears(List<EndpointUpdate> updates) {
            return updates;
        }

        @Override
        public Decision requestArrived(double now, Request request) {
            return spoils(module.requestArrived(now, request));
        }

        @Override
        public Decision attemptEnded(
                double now,
                Attempt attempt,
                AttemptOutcome outcome,
                double durationSeconds,
                boolean over,
                double[] loadReport) {
            return spoils(
                    module.attemptEnded(now, attempt, outcome, durationSeconds, over, loadReport));
        }

        @Override
        public Decision probeEnded(
                double now, int backend, AttemptOutcome outcome, double[] loadReport) {
            return spoils(module.probeEnded(now, backend, outcome, loadReport));
        }

        @Override
        public Decision clientLeft(double now, Request request) {
            return spoils(module.clientLeft(now, request));
        }

        @Override
        public Decision endpointsListed(double now, boolean whole, List<EndpointUpdate> updates) {
            return spoils(module.endpointsListed(now, whole, hears(updates)));
        }

        @Override
        public Decision wake(double now) {
            return spoils(module.wake(now));
        }
    }

    private static void breaks(int rule, Scenario scenario, RoutingPolicy spoilt) {
        Referee.Broken broken =
                assertThrows(
                        Referee.Broken.class, () -> new Simulation(scenario, p -> spoilt).play());
        assertEquals(rule, broken.rule, broken.getMessage());
        assertTrue(broken.getMessage().lines().count() > 5, "it tells what went before");
    }

    @Test
    void aModuleThatDoesNotAnswerIsCaught() {
        Scenario scenario = Scenarios.of(1, 4, 1, new BackendFault(Kind.CRASH, 2, 10, 1, 1));
        breaks(
                1,
                scenario,
                new Spoilt(scenario.settings()) {
                    @Override
                    Decision spoils(Decision decision) {
                        decision.localReplies.clear();
                        return decision;
                    }
                });
    }

    @Test
    void aModuleThatRepeatsWhatMayHaveRunIsCaught() {
        Scenario scenario = Scenarios.of(1, 4, 1, new BackendFault(Kind.ERRORS, 2, 10, 1, 1));
        Map<Request, Attempt> again = new HashMap<>();
        breaks(
                2,
                scenario,
                new Spoilt(scenario.settings()) {
                    @Override
                    public Decision attemptEnded(
                            double now,
                            Attempt attempt,
                            AttemptOutcome outcome,
                            double durationSeconds,
                            boolean over,
                            double[] loadReport) {
                        Decision decision =
                                super.attemptEnded(
                                        now, attempt, outcome, durationSeconds, over, loadReport);
                        if (outcome == AttemptOutcome.ERROR
                                && scenario.settings()
                                                .requestClasses()
                                                .get(attempt.request.requestClassIndex)
                                                .idempotency()
                                        == Idempotency.NOT_IDEMPOTENT
                                && again.put(attempt.request, attempt) == null) {
                            decision.localReplies.clear();
                            decision.attempts.add(
                                    new Attempt(
                                            attempt.request,
                                            (attempt.backend + 1) % 4,
                                            now,
                                            0.1,
                                            0));
                        }
                        return decision;
                    }
                });
    }

    @Test
    void aModuleThatSendsToTheDrainingIsCaught() {
        // The drain is told; its process lives on for longer than the grace.
        Scenario quick = Scenarios.of(1, 3, 1, new BackendFault(Kind.DEPLOY, 2, 12, 1, 1));
        Scenario scenario =
                new Scenario(
                        quick.settings(),
                        1,
                        3,
                        2,
                        quick.rate(),
                        quick.work(),
                        0.5,
                        3,
                        0.0005,
                        0.4,
                        0.2,
                        20,
                        1,
                        quick.troubles());
        breaks(
                3,
                scenario,
                new Spoilt(scenario.settings()) {
                    @Override
                    List<EndpointUpdate> hears(List<EndpointUpdate> updates) {
                        return updates.stream()
                                .map(
                                        update ->
                                                new EndpointUpdate(
                                                        update.backend(),
                                                        update.newBackend(),
                                                        update.location(),
                                                        update.cell(),
                                                        EndpointUpdate.State.READY,
                                                        update.startedAt()))
                                .toList();
                    }
                });
        Scenarios.play(scenario);
    }

    /** The same with cold backends that fall over at one and a half times what they can do. */
    private static Settings frail(Settings told) {
        return new Settings(
                1,
                2,
                0,
                false,
                told.requestClasses(),
                new double[0],
                1,
                false,
                told.loadReports(),
                told.limits(),
                new Settings.Rules(0.3, 6, 1.5, 2, 10),
                told.costs());
    }

    @Test
    void aModuleThatTakesTheColdForWarmIsCaught() {
        Scenario usual = Scenarios.of(1, 4, 1, new BackendFault(Kind.CRASH, 2, 4, 0.75, 1));
        Settings frail = frail(usual.settings());
        Scenario few =
                new Scenario(
                        frail,
                        1,
                        4,
                        2,
                        2 * usual.rate(),
                        0.05,
                        0.5,
                        3,
                        0.0005,
                        0.4,
                        2,
                        20,
                        1,
                        usual.troubles());
        breaks(
                4,
                few,
                new Spoilt(few.settings()) {
                    private int cold = -1;

                    @Override
                    List<EndpointUpdate> hears(List<EndpointUpdate> updates) {
                        updates.stream()
                                .filter(update -> update.startedAt() > 0)
                                .forEach(update -> cold = update.backend());
                        return updates;
                    }

                    @Override
                    Decision spoils(Decision decision) {
                        // It looks idle, so it gets all.
                        decision.attempts.replaceAll(
                                attempt ->
                                        cold < 0
                                                ? attempt
                                                : new Attempt(
                                                        attempt.request,
                                                        cold,
                                                        attempt.sentAt,
                                                        attempt.timeoutSeconds,
                                                        attempt.queueAhead));
                        return decision;
                    }
                });
        Scenarios.play(few);
    }

    @Test
    void baselinesKeepTheFirstThreeRulesAndPushTheColdOver() {
        Scenario scenario =
                Scenarios.of(
                        3,
                        8,
                        1,
                        new BackendFault(Kind.CRASH, 4, 3, 0.6, 1),
                        trouble(Kind.BURST, 1, 2));
        double module = Scenarios.play(scenario).service();
        for (Baseline.Kind kind : Baseline.Kind.values()) {
            Simulation[] world = {null};
            world[0] =
                    new Simulation(
                            scenario,
                            3,
                            p ->
                                    new Baseline(
                                            kind,
                                            scenario.settings(),
                                            p,
                                            i -> world[0].trueLoad(i)));
            RunResult result = world[0].play();
            assertEquals(0, result.unanswered, kind + ": " + result);
            assertTrue(
                    kind == Baseline.Kind.ORACLE || result.service() < module,
                    kind + ": " + result);
        }
    }

    /**
     * A client that asks again and again keeps a world tipped after its trouble, where nothing is
     * shed.
     */
    @Test
    void aRetryStormOutlivesItsTroubleWithANaivePolicyAndNotWithTheModule() {
        Scenario calm = Scenarios.of(2, 6, 1);
        Scenario storm =
                new Scenario(
                        calm.settings(),
                        2,
                        6,
                        2,
                        1.25 * calm.rate(),
                        0.05,
                        0.5,
                        6,
                        0.0005,
                        0.4,
                        2,
                        40,
                        1,
                        List.of(new BackendFault(Kind.HEAVY, 5, 5, 1, 4)));
        Simulation[] world = {null};
        world[0] =
                new Simulation(
                        storm,
                        3,
                        p ->
                                new Baseline(
                                        Baseline.Kind.LEAST_OUTSTANDING,
                                        storm.settings(),
                                        p,
                                        i -> world[0].trueLoad(i)));
        double naive = world[0].play().service();
        double module = Scenarios.play(storm).service();
        assertTrue(module > naive + 0.1, "module " + module + ", naive " + naive);
    }

    @Test
    void whatCannotBeIsRefused() {
        assertThrows(
                IllegalArgumentException.class, () -> new BackendFault(Kind.SLOW, -1, 1, 0.5, 1));
        assertThrows(
                IllegalArgumentException.class, () -> new BackendFault(Kind.SLOW, 1, 0, 0.5, 1));
        assertThrows(
                IllegalArgumentException.class,
                () -> new BackendFault(Kind.SLOW, 1, 1, Double.NaN, 1));
        Scenario scenario = Scenarios.of(1, 1, 1);
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        new Scenario(
                                scenario.settings(),
                                0,
                                1,
                                1,
                                1,
                                1,
                                0,
                                1,
                                0,
                                0,
                                0,
                                1,
                                1,
                                List.of()));
    }
}
