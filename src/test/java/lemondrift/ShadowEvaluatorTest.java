package lemondrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Settings;
import lemondrift.shadow.ShadowEvaluator;
import org.junit.jupiter.api.Test;

/**
 * Tests that a shadow does not change decisions, and that the decisions it would make differently
 * are counted by kind.
 */
class ShadowEvaluatorTest {
    private static Settings settings(double crossZoneCost, int maxAttempts, boolean canProbe) {
        Settings settings =
                TestDeployment.settings(3, false, TestDeployment.REPORTS_IN_RESPONSES, canProbe);
        return new Settings(
                3,
                2,
                0,
                false,
                settings.requestClasses(),
                settings.tenantQuotaPerSecond(),
                1,
                false,
                settings.loadReports(),
                new Settings.Limits(true, canProbe, maxAttempts, 0.5),
                settings.rules(),
                new Settings.Costs(crossZoneCost, 0.001));
    }

    /** Runs random events and returns the decisions as text. */
    private static String runRandomEvents(
            Settings settings, ShadowEvaluator shadow, boolean allSucceed) {
        TestDeployment proxy = new TestDeployment(settings, 7, shadow);
        Random random = new Random(11);
        List<Attempt> inFlight = new ArrayList<>();
        proxy.applyEndpointList(true, false, TestDeployment.endpoints(6));
        for (int event = 0; event < 3000; event++) {
            proxy.setUtilization(random.doubles(6).toArray())
                    .wakeUntil(proxy.now + 0.004 * random.nextDouble());
            int kind = random.nextInt(10);
            int attemptsBefore = proxy.attempts.size();
            if (kind < 4 || inFlight.isEmpty()) {
                proxy.receiveRequest(random.nextBoolean() ? 0 : 2);
            } else {
                AttemptOutcome outcome =
                        allSucceed || kind < 8
                                ? AttemptOutcome.SUCCESS
                                : AttemptOutcome.values()[random.nextInt(6)];
                Attempt attempt = inFlight.remove(random.nextInt(inFlight.size()));
                proxy.endAttempt(attempt, outcome, random.nextDouble(), random.nextInt(3));
            }
            inFlight.addAll(proxy.attempts.subList(attemptsBefore, proxy.attempts.size()));
        }
        StringBuilder decided = new StringBuilder(proxy.probes + " ");
        proxy.attempts.forEach(
                attempt ->
                        decided.append(attempt.request.id)
                                .append('>')
                                .append(attempt.backend)
                                .append(' '));
        proxy.localReplies.forEach(
                reply -> decided.append(reply.request().id).append(reply.rejected() ? "- " : "! "));
        return decided.toString();
    }

    private static ShadowEvaluator runShadow(
            Settings inForce, Settings shadowed, boolean allSucceed) {
        ShadowEvaluator shadow = new ShadowEvaluator(shadowed, 7);
        runRandomEvents(inForce, shadow, allSucceed);
        return shadow;
    }

    private static void assertCountAtLeast(
            long atLeast, ShadowEvaluator.Kind kind, ShadowEvaluator shadow) {
        assertTrue(shadow.count(kind) >= atLeast, shadow.summary());
    }

    @Test
    void shadowDoesNotChangeDecisions() {
        for (boolean canProbe : new boolean[] {false, true}) {
            Settings inForce = settings(0.05, 4, canProbe);
            ShadowEvaluator shadow = new ShadowEvaluator(settings(0, 1, true), 7);
            assertEquals(
                    runRandomEvents(inForce, null, false), runRandomEvents(inForce, shadow, false));
            assertTrue(shadow.decisionCount() > 500, shadow.summary());
        }
    }

    @Test
    void shadowWithEqualSettingsDecidesTheSame() {
        ShadowEvaluator shadow =
                runShadow(settings(0.05, 4, false), settings(0.05, 4, false), false);
        for (ShadowEvaluator.Kind kind : ShadowEvaluator.Kind.values()) {
            assertEquals(0, shadow.count(kind), shadow.summary());
        }
    }

    @Test
    void differingDecisionsAreCountedByKind() {
        Settings freeCrossing = settings(0, 4, false);
        Settings expensiveCrossing = settings(9, 4, false);
        Settings oneAttempt = settings(0, 1, false);
        ShadowEvaluator staysInZone = runShadow(freeCrossing, expensiveCrossing, true);
        assertCountAtLeast(100, ShadowEvaluator.Kind.NOT_CROSS, staysInZone);
        assertCountAtLeast(
                staysInZone.count(ShadowEvaluator.Kind.NOT_CROSS),
                ShadowEvaluator.Kind.ANOTHER_BACKEND,
                staysInZone);
        assertCountAtLeast(
                100, ShadowEvaluator.Kind.CROSS, runShadow(expensiveCrossing, freeCrossing, true));
        assertCountAtLeast(
                10,
                ShadowEvaluator.Kind.NOT_SEND_AGAIN,
                runShadow(freeCrossing, oneAttempt, false));
        assertCountAtLeast(
                10, ShadowEvaluator.Kind.SEND_AGAIN, runShadow(oneAttempt, freeCrossing, false));
    }
}
