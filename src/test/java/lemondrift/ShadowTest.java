package lemondrift;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import lemondrift.model.*;
import lemondrift.shadow.Shadow;
import org.junit.jupiter.api.Test;

/** Watching: what is done stays as it is, and what would be done otherwise is counted by kind. */
class ShadowTest {
    private static Settings settings(double crossing, int forwards, boolean probes) {
        Settings s = World.settings(3, false, World.ANSWERS, probes);
        return new Settings(3, 2, 0, false, s.grades(), s.tenantQuota(), 1, false, s.reports(),
                new Settings.Limits(true, probes, forwards, 0.5), s.rules(),
                new Settings.Charges(crossing, 0.001));
    }

    /** Plays a day of chance; what was done, as text. */
    private static String play(Settings settings, Shadow shadow, boolean sound) {
        World w = new World(settings, 7, shadow);
        Random chance = new Random(11);
        List<Forward> open = new ArrayList<>();
        w.list(true, false, World.lines(6));
        for (int event = 0; event < 3000; event++) {
            w.load(chance.doubles(6).toArray()).wakeUntil(w.now + 0.004 * chance.nextDouble());
            int kind = chance.nextInt(10), before = w.sends.size();
            if (kind < 4 || open.isEmpty()) {
                w.arrive(chance.nextBoolean() ? 0 : 2);
            } else {
                Outcome outcome = sound || kind < 8 ? Outcome.DELIVERED : Outcome.values()[chance.nextInt(6)];
                Forward f = open.remove(chance.nextInt(open.size()));
                w.end(f, outcome, chance.nextDouble(), chance.nextInt(3));
            }
            open.addAll(w.sends.subList(before, w.sends.size()));
        }
        StringBuilder did = new StringBuilder(w.probes + " ");
        w.sends.forEach(f -> did.append(f.exchange.id).append('>').append(f.backend).append(' '));
        w.answers.forEach(a -> did.append(a.exchange().id).append(a.shed() ? "- " : "! "));
        return did.toString();
    }

    private static Shadow watched(Settings own, Settings other, boolean sound) {
        Shadow shadow = new Shadow(other, 7);
        play(own, shadow, sound);
        return shadow;
    }

    private static void counts(long atLeast, Shadow.Kind kind, Shadow shadow) {
        assertTrue(shadow.count(kind) >= atLeast, shadow.told());
    }

    @Test
    void whatIsDoneIsTheSameWithWatchingOnAndOff() {
        for (boolean probes : new boolean[] {false, true}) {
            Settings own = settings(0.05, 4, probes);
            Shadow shadow = new Shadow(settings(0, 1, true), 7);
            assertEquals(play(own, null, false), play(own, shadow, false));
            assertTrue(shadow.decisions() > 500, shadow.told());
        }
    }

    @Test
    void theSameSettingsWouldDecideTheSame() {
        Shadow shadow = watched(settings(0.05, 4, false), settings(0.05, 4, false), false);
        for (Shadow.Kind kind : Shadow.Kind.values()) {
            assertEquals(0, shadow.count(kind), shadow.told());
        }
    }

    @Test
    void eachKindIsCounted() {
        Settings free = settings(0, 4, false), dear = settings(9, 4, false), once = settings(0, 1, false);
        Shadow stays = watched(free, dear, true);
        counts(100, Shadow.Kind.NOT_CROSS, stays);
        counts(stays.count(Shadow.Kind.NOT_CROSS), Shadow.Kind.ANOTHER_BACKEND, stays);
        counts(100, Shadow.Kind.CROSS, watched(dear, free, true));
        counts(10, Shadow.Kind.NOT_SEND_AGAIN, watched(free, once, false));
        counts(10, Shadow.Kind.SEND_AGAIN, watched(once, free, false));
    }
}
