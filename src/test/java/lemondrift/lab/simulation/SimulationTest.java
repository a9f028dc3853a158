package lemondrift.lab.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
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

/**
 * Tests the simulation under faults, and that the referee detects a policy that violates a rule.
 */
class SimulationTest {
    private static BackendFault fault(Kind kind, double share, double strength) {
        return new BackendFault(kind, 5, 6, share, strength);
    }

    private static BackendFault defaultFault(Kind kind) {
        return fault(
                kind,
                0.3,
                switch (kind) {
                    case ERRORS, GRADE -> 0.8;
                    case BURST -> 1.8;
                    default -> 3;
                });
    }

    @Test
    void theSameSeedGivesTheSameRun() {
        Scenario scenario =
                Scenarios.of(3, 8, 1, defaultFault(Kind.CRASH), defaultFault(Kind.SLOW));
        assertEquals(Scenarios.run(scenario).toString(), Scenarios.run(scenario).toString());
        assertNotEquals(
                Scenarios.run(scenario).toString(),
                Scenarios.run(
                                Scenarios.of(
                                        3, 8, 2, defaultFault(Kind.CRASH), defaultFault(Kind.SLOW)))
                        .toString());
    }

    @Test
    void scenarioWithoutFaultsIsServed() {
        RunResult result = Scenarios.run(Scenarios.of(3, 8, 1));
        assertTrue(result.servedShare() > 0.98, result.toString());
        assertEquals(0, result.unanswered);
    }

    @Test
    void moduleKeepsTheRulesUnderEachSingleFault() {
        for (Kind kind : Kind.values()) {
            RunResult result = Scenarios.run(Scenarios.of(3, 10, 3, defaultFault(kind)));
            assertTrue(result.servedShare() > 0.4, kind + ": " + result);
            assertEquals(0, result.unanswered, kind + ": " + result);
        }
    }

    @Property(tries = 12, seed = "20261201")
    void moduleKeepsTheRulesUnderCombinedFaults(
            @ForAll @Size(min = 2, max = 4) List<Kind> kinds,
            @ForAll @IntRange(max = 99) int seed) {
        BackendFault[] faults =
                kinds.stream().map(SimulationTest::defaultFault).toArray(BackendFault[]::new);
        assertEquals(0, Scenarios.run(Scenarios.of(3, 6, seed, faults)).unanswered);
    }

    @Test
    void resultShowsWhenAndWhereMostWeightIsLost() {
        RunResult result =
                Scenarios.run(Scenarios.of(2, 4, 1, new BackendFault(Kind.CRASH, 8, 3, 1, 1)));
        int worstStart = result.worstWindowStart(3);
        assertTrue(worstStart >= 7 && worstStart <= 9, "from " + worstStart);
        double lostWeight = 0;
        for (int second = 0; second < result.requestedWeightPerSecond.length; second++) {
            lostWeight +=
                    result.requestedWeightPerSecond[second] - result.servedWeightPerSecond[second];
        }
        assertEquals(result.requestedWeight - result.servedWeight, lostWeight, 1e-6);
        assertEquals(2, result.worstBackends(2).size());
    }

    @Test
    void withoutAnyBackendEveryRequestIsAnsweredInTime() {
        RunResult none = Scenarios.run(Scenarios.of(2, 0, 1));
        assertEquals(none.accepted, none.rejected);
        RunResult gone =
                Scenarios.run(Scenarios.of(2, 4, 1, new BackendFault(Kind.CRASH, 4, 30, 1, 1)));
        assertEquals(0, gone.unanswered);
        assertTrue(gone.rejected > 0.5 * gone.accepted, gone.toString());
    }

    @Test
    void faultsThatEndAtTheSameInstantEndOnce() {
        Scenario scenario =
                Scenarios.of(
                        3,
                        4,
                        1,
                        new BackendFault(Kind.CRASH, 4, 4, 1, 1),
                        new BackendFault(Kind.VANISH, 3, 5, 1, 1),
                        new BackendFault(Kind.SLOW, 2, 6, 1, 4),
                        new BackendFault(Kind.STALL, 2, 6, 1, 1));
        RunResult result = Scenarios.run(scenario);
        assertEquals(0, result.unanswered);
        assertTrue(
                result.servedShare() > 0.2, "requests must be served after the faults: " + result);
    }

    /** The decision module with a defect that a subclass adds. */
    private abstract static class DefectiveModule implements RoutingPolicy {
        final ModuleUnderTest module;

        DefectiveModule(Settings settings) {
            module = new ModuleUnderTest(settings, 1);
        }

        Decision alterDecision(Decision decision) {
            return decision;
        }

        List<EndpointUpdate> alterUpdates(List<EndpointUpdate> updates) {
            return updates;
        }

        @Override
        public Decision requestArrived(double now, Request request) {
            return alterDecision(module.requestArrived(now, request));
        }

        @Override
        public Decision attemptEnded(
                double now,
                Attempt attempt,
                AttemptOutcome outcome,
                double durationSeconds,
                boolean over,
                double[] loadReport) {
            return alterDecision(
                    module.attemptEnded(now, attempt, outcome, durationSeconds, over, loadReport));
        }

        @Override
        public Decision probeEnded(
                double now, int backend, AttemptOutcome outcome, double[] loadReport) {
            return alterDecision(module.probeEnded(now, backend, outcome, loadReport));
        }

        @Override
        public Decision endpointsListed(double now, boolean whole, List<EndpointUpdate> updates) {
            return alterDecision(module.endpointsListed(now, whole, alterUpdates(updates)));
        }

        @Override
        public Decision wake(double now) {
            return alterDecision(module.wake(now));
        }
    }

    private static void assertBreaksRule(int rule, Scenario scenario, RoutingPolicy policy) {
        Referee.RuleViolationException violation =
                assertThrows(
                        Referee.RuleViolationException.class,
                        () -> new Simulation(scenario, (proxy, trueLoad) -> policy).run());
        assertEquals(rule, violation.rule, violation.getMessage());
        assertTrue(
                violation.getMessage().lines().count() > 5,
                "the message must list the previous events");
    }

    @Test
    void missingResponseIsDetected() {
        Scenario scenario = Scenarios.of(1, 4, 1, new BackendFault(Kind.CRASH, 2, 10, 1, 1));
        assertBreaksRule(
                1,
                scenario,
                new DefectiveModule(scenario.settings()) {
                    @Override
                    Decision alterDecision(Decision decision) {
                        decision.localReplies.clear();
                        return decision;
                    }
                });
    }

    @Test
    void retryOfAPossiblyExecutedRequestIsDetected() {
        Scenario scenario = Scenarios.of(1, 4, 1, new BackendFault(Kind.ERRORS, 2, 10, 1, 1));
        Map<Request, Attempt> retried = new HashMap<>();
        assertBreaksRule(
                2,
                scenario,
                new DefectiveModule(scenario.settings()) {
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
                                && retried.put(attempt.request, attempt) == null) {
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
    void sendingToADrainingBackendIsDetected() {
        // The process of a draining backend keeps running for longer than the drain grace.
        Scenario baseScenario = Scenarios.of(1, 3, 1, new BackendFault(Kind.DEPLOY, 2, 12, 1, 1));
        Scenario scenario = ScenarioBuilder.from(baseScenario).graceSeconds(0.2).build();
        assertBreaksRule(
                3,
                scenario,
                new DefectiveModule(scenario.settings()) {
                    @Override
                    List<EndpointUpdate> alterUpdates(List<EndpointUpdate> updates) {
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
        Scenarios.run(scenario);
    }

    /** Returns settings with which cold backends are overloaded at 1.5 times their capacity. */
    private static Settings withLowColdOverloadFactor(Settings baseSettings) {
        return new Settings(
                1,
                2,
                0,
                false,
                baseSettings.requestClasses(),
                new double[0],
                1,
                false,
                baseSettings.loadReports(),
                baseSettings.limits(),
                new Settings.Rules(0.3, 6, 1.5, 2, 10),
                baseSettings.costs());
    }

    @Test
    void overloadingAColdBackendIsDetected() {
        Scenario baseScenario = Scenarios.of(1, 4, 1, new BackendFault(Kind.CRASH, 2, 4, 0.75, 1));
        Scenario scenario =
                ScenarioBuilder.from(baseScenario)
                        .settings(withLowColdOverloadFactor(baseScenario.settings()))
                        .rate(2 * baseScenario.rate())
                        .build();
        assertBreaksRule(
                4,
                scenario,
                new DefectiveModule(scenario.settings()) {
                    private OptionalInt coldBackend = OptionalInt.empty();

                    @Override
                    List<EndpointUpdate> alterUpdates(List<EndpointUpdate> updates) {
                        updates.stream()
                                .filter(update -> update.startedAt() > 0)
                                .forEach(update -> coldBackend = OptionalInt.of(update.backend()));
                        return updates;
                    }

                    @Override
                    Decision alterDecision(Decision decision) {
                        // The cold backend looks idle, so it gets every attempt.
                        decision.attempts.replaceAll(
                                attempt ->
                                        coldBackend.isEmpty()
                                                ? attempt
                                                : new Attempt(
                                                        attempt.request,
                                                        coldBackend.getAsInt(),
                                                        attempt.sentAt,
                                                        attempt.timeoutSeconds,
                                                        attempt.queueAhead));
                        return decision;
                    }
                });
        Scenarios.run(scenario);
    }

    private static RunResult runBaseline(Baseline.Kind kind, Scenario scenario) {
        return new Simulation(
                        scenario,
                        Referee.BASELINE_RULE_COUNT,
                        (proxy, trueLoad) ->
                                new Baseline(kind, scenario.settings(), proxy, trueLoad))
                .run();
    }

    @Test
    void baselinesKeepTheFirstThreeRulesAndOverloadColdBackends() {
        Scenario scenario =
                Scenarios.of(
                        3,
                        8,
                        1,
                        new BackendFault(Kind.CRASH, 4, 3, 0.6, 1),
                        fault(Kind.BURST, 1, 2));
        double module = Scenarios.run(scenario).servedShare();
        for (Baseline.Kind kind : Baseline.Kind.values()) {
            RunResult result = runBaseline(kind, scenario);
            assertEquals(0, result.unanswered, kind + ": " + result);
            assertTrue(
                    kind == Baseline.Kind.ORACLE || result.servedShare() < module,
                    kind + ": " + result);
        }
    }

    /**
     * Guards against a retry storm: if no requests are rejected, retries by clients keep the
     * backends overloaded after the fault has ended.
     */
    @Test
    void retryStormContinuesAfterItsFaultWithLeastOutstandingButNotWithTheModule() {
        Scenario baseScenario = Scenarios.of(2, 6, 1, new BackendFault(Kind.HEAVY, 5, 5, 1, 4));
        Scenario storm =
                ScenarioBuilder.from(baseScenario)
                        .rate(1.25 * baseScenario.rate())
                        .tries(6)
                        .durationSeconds(40)
                        .build();
        double leastOutstanding = runBaseline(Baseline.Kind.LEAST_OUTSTANDING, storm).servedShare();
        double module = Scenarios.run(storm).servedShare();
        assertTrue(
                module > leastOutstanding + 0.1,
                "module " + module + ", least outstanding " + leastOutstanding);
    }

    @Test
    void invalidFaultsAndScenariosAreRejected() {
        assertThrows(
                IllegalArgumentException.class, () -> new BackendFault(Kind.SLOW, -1, 1, 0.5, 1));
        assertThrows(
                IllegalArgumentException.class, () -> new BackendFault(Kind.SLOW, 1, 0, 0.5, 1));
        assertThrows(
                IllegalArgumentException.class,
                () -> new BackendFault(Kind.SLOW, 1, 1, Double.NaN, 1));
        ScenarioBuilder withoutProxies = ScenarioBuilder.from(Scenarios.of(1, 1, 1)).proxies(0);
        assertThrows(IllegalArgumentException.class, withoutProxies::build);
    }
}
