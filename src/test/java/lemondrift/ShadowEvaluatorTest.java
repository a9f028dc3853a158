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

/** Watching: what is done stays as it is, and what would be done otherwise is counted by kind. */
class ShadowEvaluatorTest {
    private static Settings settings(double crossing, int forwards, boolean probes) {
        Settings settings = TestDeployment.settings(3, false, TestDeployment.ANSWERS, probes);
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
                new Settings.Limits(true, probes, forwards, 0.5),
                settings.rules(),
                new Settings.Costs(crossing, 0.001));
    }

    /** Plays a day of chance; what was done, as text. */
    private static String play(Settings settings, ShadowEvaluator shadow, boolean sound) {
        TestDeployment w = new TestDeployment(settings, 7, shadow);
        Random chance = new Random(11);
        List<Attempt> open = new ArrayList<>();
        w.list(true, false, TestDeployment.lines(6));
        for (int event = 0; event < 3000; event++) {
            w.load(chance.doubles(6).toArray()).wakeUntil(w.now + 0.004 * chance.nextDouble());
            int kind = chance.nextInt(10);
            int before = w.sends.size();
            if (kind < 4 || open.isEmpty()) {
                w.arrive(chance.nextBoolean() ? 0 : 2);
            } else {
                AttemptOutcome outcome =
                        sound || kind < 8
                                ? AttemptOutcome.SUCCESS
                                : AttemptOutcome.values()[chance.nextInt(6)];
                Attempt attempt = open.remove(chance.nextInt(open.size()));
                w.end(attempt, outcome, chance.nextDouble(), chance.nextInt(3));
            }
            open.addAll(w.sends.subList(before, w.sends.size()));
        }
        StringBuilder did = new StringBuilder(w.probes + " ");
        w.sends.forEach(
                attempt ->
                        did.append(attempt.request.id)
                                .append('>')
                                .append(attempt.backend)
                                .append(' '));
        w.answers.forEach(a -> did.append(a.request().id).append(a.rejected() ? "- " : "! "));
        return did.toString();
    }

    private static ShadowEvaluator watched(Settings own, Settings other, boolean sound) {
        ShadowEvaluator shadow = new ShadowEvaluator(other, 7);
        play(own, shadow, sound);
        return shadow;
    }

    private static void counts(long atLeast, ShadowEvaluator.Kind kind, ShadowEvaluator shadow) {
        assertTrue(shadow.count(kind) >= atLeast, shadow.summary());
    }

    @Test
    void whatIsDoneIsTheSameWithWatchingOnAndOff() {
        for (boolean probes : new boolean[] {false, true}) {
            Settings own = settings(0.05, 4, probes);
            ShadowEvaluator shadow = new ShadowEvaluator(settings(0, 1, true), 7);
            assertEquals(play(own, null, false), play(own, shadow, false));
            assertTrue(shadow.decisions() > 500, shadow.summary());
        }
    }

    @Test
    void theSameSettingsWouldDecideTheSame() {
        ShadowEvaluator shadow = watched(settings(0.05, 4, false), settings(0.05, 4, false), false);
        for (ShadowEvaluator.Kind kind : ShadowEvaluator.Kind.values()) {
            assertEquals(0, shadow.count(kind), shadow.summary());
        }
    }

    @Test
    void eachKindIsCounted() {
        Settings free = settings(0, 4, false);
        Settings dear = settings(9, 4, false);
        Settings once = settings(0, 1, false);
        ShadowEvaluator stays = watched(free, dear, true);
        counts(100, ShadowEvaluator.Kind.NOT_CROSS, stays);
        counts(
                stays.count(ShadowEvaluator.Kind.NOT_CROSS),
                ShadowEvaluator.Kind.ANOTHER_BACKEND,
                stays);
        counts(100, ShadowEvaluator.Kind.CROSS, watched(dear, free, true));
        counts(10, ShadowEvaluator.Kind.NOT_SEND_AGAIN, watched(free, once, false));
        counts(10, ShadowEvaluator.Kind.SEND_AGAIN, watched(once, free, false));
    }
}
