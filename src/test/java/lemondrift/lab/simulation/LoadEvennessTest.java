package lemondrift.lab.simulation;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class LoadEvennessTest {
    @Test
    void wasteIsIdlenessWhileAsManyQueueElsewhere() {
        LoadEvenness its = new LoadEvenness(4, 1, 1);
        its.holds(0, 3, true, 0);
        its.holds(1, 1, true, 0);
        // Two stand idle and two wait; from 1 s on one of the idle is down, from 2 s on nobody
        // waits.
        its.holds(2, 0, false, 1);
        its.holds(0, 1, true, 2);
        LoadEvenness.Measure day = its.measure(4);
        assertEquals((2 + 1) / 4.0 / 4, day.waste(), 1e-9);
        assertEquals((2 + 1 + 1 + 1) / 4.0 / 4, day.idle(), 1e-9);
        assertEquals((3 * 2 + 1 * 2) / 4.0, day.fullest(), 1e-9);
    }

    @Test
    void longestIdleCountsOnlyWhileAnotherHoldsThreeBeyondItsCores() {
        LoadEvenness its = new LoadEvenness(2, 1, 1);
        its.holds(0, 3, true, 1);
        its.holds(0, 4, true, 2);
        its.holds(1, 1, true, 4.5);
        its.holds(1, 0, true, 5);
        its.holds(0, 3, true, 6);
        assertEquals(2.5, its.measure(9).longestIdle(), 1e-9);
        its.begins(9);
        its.holds(0, 4, true, 10);
        assertEquals(1, its.measure(11).longestIdle(), 1e-9);
    }

    @Test
    void herdIsTheMostThatOneGotWithinATenthOfAContractTime() {
        LoadEvenness its = new LoadEvenness(2, 1, 1);
        for (double at : new double[] {0, 0.05, 0.09, 0.16, 0.3}) {
            its.sends(0, at);
        }
        its.sends(1, 0.3);
        assertEquals(3, its.measure(1).herd());
        its.served(0);
        its.served(0);
        its.served(1);
        assertEquals(2 / 1.5, its.measure(1).most(), 1e-9);
        assertEquals(1 / 1.5, its.measure(1).least(), 1e-9);
    }

    /** Beside a plain sum over moments of one second each. */
    @Property(tries = 200, seed = "48")
    void wasteAndFullestAreThoseOfAPlainSum(
            @ForAll @Size(30) int[] moves, @ForAll @IntRange(min = 1, max = 3) int cores) {
        LoadEvenness its = new LoadEvenness(3, cores, 1);
        int[] held = new int[3];
        double waste = 0;
        double fullest = 0;
        for (int t = 0; t < moves.length; t++) {
            int i = Math.floorMod(moves[t], 3);
            held[i] = Math.floorMod(moves[t] / 3, 7);
            its.holds(i, held[i], true, t);
            int idle = 0;
            int queued = 0;
            int most = 0;
            for (int h : held) {
                idle += h == 0 ? 1 : 0;
                queued += Math.max(0, h - cores);
                most = Math.max(most, h);
            }
            waste += Math.min(idle, queued);
            fullest += most;
        }
        LoadEvenness.Measure day = its.measure(moves.length);
        assertEquals(waste / moves.length / 3, day.waste(), 1e-9);
        assertEquals(fullest / moves.length, day.fullest(), 1e-9);
    }

    @Test
    void whatCouldBeBorneGoesToMostBenefitAndNoneIsCarriedOver() {
        var requestClasses = lemondrift.lab.Experiment.settings(1, 1, 0, 1).requestClasses();
        ServableOracle it = new ServableOracle(requestClasses, 3);
        for (int requestClass = 0; requestClass < 3; requestClass++) {
            it.wants(0, requestClass);
            it.wants(1, requestClass);
        }
        it.bears(0, 1.5);
        it.bears(1, 9);
        it.bears(2, 9);
        assertArrayEquals(new double[] {9 + 1.5, 13, 0}, it.benefit(), 1e-9);
    }
}
