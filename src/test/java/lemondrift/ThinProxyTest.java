package lemondrift;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.List;
import lemondrift.model.*;
import org.junit.jupiter.api.Test;

/** Proxies of which each has little traffic of its own, and backends whose reports are old when they come. */
class ThinProxyTest {
    private static final int PURE = 0;
    private static final int ONCE = 2;

    private static Settings settings(boolean sizes) {
        Settings s = World.settings(70, false, World.ANSWERS, false);
        return new Settings(s.balancers(), s.locations(), s.location(), s.listOnRequest(), s.grades(),
                s.tenantQuota(), s.excessBenefit(), s.marksRetries(), s.reports(), s.limits(), s.rules(),
                s.charges(), sizes);
    }

    /** A world in which the same reports have been told again for some windows. */
    private static World old(int backends) {
        World w = new World(settings(false), 7);
        w.list(true, false, World.lines(backends));
        for (int i = 0; i < 20 * backends; i++) {
            w.wakeUntil(w.now + 0.1);
            Forward f = w.arrive(ONCE);
            w.now += 0.01;
            w.end(f, Outcome.DELIVERED, 0.5, 0);
        }
        return w;
    }

    private static int to(World w, int backend, int exchanges, Outcome outcome) {
        int hits = 0;
        for (int i = 0; i < exchanges; i++) {
            w.wakeUntil(w.now + 0.1);
            Forward f = w.arrive(ONCE);
            hits += f.backend == backend ? 1 : 0;
            w.now += 0.01;
            if (f.backend == backend && outcome == Outcome.ERROR) {
                w.end(f, Outcome.ERROR, 0, 0);
            } else {
                w.end(f, Outcome.DELIVERED, 0.5, 0);
            }
        }
        return hits;
    }

    @Test
    void whatTheListSaysOfSizesSetsTheShareWhereReportsAreOld() {
        World w = new World(settings(true), 7);
        w.list(true, false, List.of(new Listed(0, false, 0, 0, Listed.State.READY, 0, 1),
                new Listed(1, false, 0, 0, Listed.State.READY, 0, 1),
                new Listed(2, false, 0, 0, Listed.State.READY, 0, 2)));
        int large = 0;
        for (int i = 0; i < 460; i++) {
            w.wakeUntil(w.now + 1);
            Forward f = w.arrive(ONCE);
            large += i >= 60 && f.backend == 2 ? 1 : 0;
            w.end(f, Outcome.DELIVERED, 0.5, 0);
        }
        assertTrue(large > 160 && large < 240, large + " of 400 went to one of half the fleet's size");
    }

    @Test
    void aSizeThatIsNoNumberIsTakenForOne() {
        for (double size : new double[] {0, -1, Double.NaN, Double.POSITIVE_INFINITY}) {
            assertEquals(1, new Listed(0, false, 0, 0, Listed.State.READY, 0, size).size());
        }
    }

    @Test
    void whoFailsFastIsLeftAfterOneErrorAndUsedAgainOnceSound() {
        World w = old(8);
        int errors = to(w, 0, 200, Outcome.ERROR);
        assertTrue(errors <= 8, errors + " of 200 went to one that fails fast and reports that it is idle");
        assertTrue(to(w, 0, 1500, Outcome.DELIVERED) > 50, "sound again, used again");
    }

    @Test
    void aReportToldAgainDrawsNoHerd() {
        World w = old(4);
        List<Forward> open = new ArrayList<>();
        int[] hits = new int[4];
        for (int i = 0; i < 12; i++) {
            Forward f = w.arrive(ONCE);
            hits[f.backend]++;
            open.add(f);
            // One of the four tells again and again, at short notice, that it is idle.
            Forward idle = open.stream().filter(o -> o.backend == 0 && !o.ended).findFirst().orElse(null);
            if (idle != null) {
                w.now += 0.001;
                w.end(idle, Outcome.DELIVERED, 0.5, 0);
            }
        }
        assertTrue(hits[0] <= 9, hits[0] + " of 12 went to one that tells the same report again");
    }

    @Test
    void whoShedsForLongWaitsSendsAgainOnceTheyAreLongAgo() {
        World w = old(4);
        List<Forward> slow = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            w.now += 0.02;
            Forward f = w.arrive(PURE);
            if (f != null) {
                slow.add(f);
            }
        }
        int shed = w.answers.size();
        assertTrue(shed > 0, "sixty out and none answered is a jam");
        assertTrue(w.answers.stream().allMatch(a -> a.exchange().arrived > w.now - 2), "answered at once");
        w.now += 0.5;
        slow.forEach(f -> w.end(f, Outcome.TIMED_OUT));
        w.wakeUntil(w.now + 20);
        assertNotNull(w.arrive(PURE), "nothing out, and no wait met lately");
    }

    @Test
    void allTogetherKeepTheColdBudgetThoughOneCarriesMostTraffic() {
        double start = 100, work = 0.1;
        int cold = 0;
        for (int proxy = 0; proxy < 70; proxy++) {
            World w = new World(settings(false), 1000 + proxy);
            w.list(true, false, World.lines(8));
            for (int i = 0; i < 60; i++) {
                w.wakeUntil(w.now + 0.02);
                w.end(w.arrive(ONCE), Outcome.DELIVERED, 0.5, 0);
            }
            w.list(false, false, List.of(World.line(0, Listed.State.READY, w.now)));
            double until = w.now + World.RULES.fallWindow();
            double apart = proxy < 5 ? 0.01 : 0.5;
            while (w.now + apart < until) {
                w.wakeUntil(w.now + apart);
                Forward f = w.arrive(ONCE);
                cold += f != null && f.backend == 0 ? 1 : 0;
                if (f != null) {
                    w.now += apart / 2;
                    w.end(f, Outcome.DELIVERED, 0.5, 0);
                }
            }
        }
        double budget = World.RULES.fallMultiple() * World.RULES.coldFrom() * World.RULES.fallWindow();
        assertTrue(cold * work <= budget, cold + " exchanges to a cold backend, start " + start);
    }
}
