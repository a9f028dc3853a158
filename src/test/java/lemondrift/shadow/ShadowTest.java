package lemondrift.shadow;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import lemondrift.decide.Balancer;
import lemondrift.model.*;
import org.junit.jupiter.api.Test;

/** Watching: what is done stays as it is, and what would be done otherwise is counted by kind. */
class ShadowTest {
    private static final List<ServiceGrade> GRADES = List.of(
            new ServiceGrade(1, 0, 0.5, 1, Effect.PURE, Group.ALL, 0),
            new ServiceGrade(5, 0, 0.5, 1, Effect.EFFECTFUL, Group.ALL, 0));

    private static Settings settings(double crossing, int forwards, boolean probes) {
        return new Settings(3, 2, 0, false, GRADES, new double[0], 1, false,
                new Settings.Reports(true, 0, 1, false, -1), new Settings.Limits(true, probes, forwards, 0.5),
                new Settings.Rules(0.25, 8, 3, 2, 10), new Settings.Charges(crossing, 0.001));
    }

    /** Plays a day of chance before one module; what it did, as text. */
    private static String play(Settings settings, Shadow shadow, boolean sound) {
        Balancer balancer = new Balancer(settings, 7);
        Random chance = new Random(11);
        StringBuilder did = new StringBuilder();
        List<Forward> open = new ArrayList<>();
        List<Listed> lines = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            lines.add(new Listed(i, true, i % 2, 0, Listed.State.READY, 0));
        }
        double now = 100, wakeAt = Double.POSITIVE_INFINITY;
        if (shadow != null) {
            shadow.listed(now, true, false, lines);
        }
        balancer.backendsListed(now, true, false, lines);
        for (int event = 0; event < 3000; event++) {
            now += 0.004 * chance.nextDouble();
            Turn turn;
            int kind = chance.nextInt(10);
            if (wakeAt <= now) {
                turn = balancer.wake(now);
            } else if (kind < 4 || open.isEmpty()) {
                Exchange x = new Exchange(event, chance.nextInt(2), 0, now, 1);
                if (shadow != null) {
                    shadow.arrived(now, x);
                }
                turn = balancer.exchangeArrived(now, x);
            } else {
                Forward f = open.remove(chance.nextInt(open.size()));
                Outcome outcome = sound || kind < 8 ? Outcome.DELIVERED : Outcome.values()[chance.nextInt(6)];
                boolean over = f.exchange.over || outcome == Outcome.DELIVERED;
                double[] report = {chance.nextDouble(), chance.nextInt(3)};
                if (shadow != null) {
                    shadow.ended(now, f, outcome, now - f.sent, over, report);
                }
                turn = balancer.forwardEnded(now, f, outcome, now - f.sent, over, report);
            }
            if (shadow != null) {
                shadow.wake(now);
            }
            // Probes are answered at once, until none is asked for.
            for (boolean more = true; more; ) {
                if (shadow != null) {
                    shadow.decided(now, turn);
                }
                turn.sends.forEach(f -> did.append(f.exchange.id).append('>').append(f.backend).append(' '));
                turn.answers.forEach(a -> did.append(a.exchange().id).append(a.shed() ? "- " : "! "));
                turn.probes.forEach(p -> did.append('?').append(p).append(' '));
                open.addAll(turn.sends);
                wakeAt = turn.wakeAt;
                more = !turn.probes.isEmpty();
                for (int backend : List.copyOf(turn.probes)) {
                    double[] report = {chance.nextDouble(), chance.nextInt(3)};
                    if (shadow != null) {
                        shadow.probed(now, backend, Outcome.DELIVERED, report);
                    }
                    turn = balancer.probeEnded(now, backend, Outcome.DELIVERED, report);
                    open.addAll(turn.sends);
                    turn.sends.forEach(f -> did.append(f.exchange.id).append('>').append(f.backend)
                            .append(' '));
                    if (shadow != null) {
                        shadow.decided(now, turn);
                    }
                    turn.sends.clear();
                }
            }
        }
        return did.toString();
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
        Shadow shadow = new Shadow(settings(0.05, 4, false), 7);
        play(settings(0.05, 4, false), shadow, false);
        for (Shadow.Kind kind : Shadow.Kind.values()) {
            assertEquals(0, shadow.count(kind), shadow.told());
        }
    }

    @Test
    void eachKindIsCounted() {
        Shadow stays = new Shadow(settings(9, 4, false), 7);
        play(settings(0, 4, false), stays, true);
        assertTrue(stays.count(Shadow.Kind.NOT_CROSS) > 100, stays.told());
        assertTrue(stays.count(Shadow.Kind.ANOTHER_BACKEND) >= stays.count(Shadow.Kind.NOT_CROSS));
        Shadow crosses = new Shadow(settings(0, 4, false), 7);
        play(settings(9, 4, false), crosses, true);
        assertTrue(crosses.count(Shadow.Kind.CROSS) > 100, crosses.told());
        Shadow once = new Shadow(settings(0.05, 1, false), 7);
        play(settings(0.05, 4, false), once, false);
        assertTrue(once.count(Shadow.Kind.NOT_SEND_AGAIN) > 10, once.told());
        Shadow again = new Shadow(settings(0.05, 4, false), 7);
        play(settings(0.05, 1, false), again, false);
        assertTrue(again.count(Shadow.Kind.SEND_AGAIN) > 10, again.told());
    }
}
