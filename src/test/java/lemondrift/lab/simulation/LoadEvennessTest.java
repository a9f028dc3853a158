package lemondrift.lab.simulation;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import lemondrift.lab.Experiment;
import lemondrift.model.RequestClass;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Tests the figures of load evenness in small cases and against a simple sum, and the servable
 * priority weight.
 */
class LoadEvennessTest {
    @Test
    void wasteIsIdlenessWhileAsManyRequestsWaitElsewhere() {
        LoadEvenness evenness = new LoadEvenness(4, 1, 1);
        evenness.updateBackend(0, 3, true, 0);
        evenness.updateBackend(1, 1, true, 0);
        // Two backends are idle and two requests wait. From 1 s on, one of the idle backends is
        // down. From 2 s on, no request waits.
        evenness.updateBackend(2, 0, false, 1);
        evenness.updateBackend(0, 1, true, 2);
        LoadEvenness.Measure measure = evenness.measure(4);
        assertEquals((2 + 1) / 4.0 / 4, measure.waste(), 1e-9);
        assertEquals((2 + 1 + 1 + 1) / 4.0 / 4, measure.idle(), 1e-9);
        assertEquals((3 * 2 + 1 * 2) / 4.0, measure.fullest(), 1e-9);
    }

    @Test
    void longestIdleCountsOnlyWhileAnotherHoldsThreeBeyondItsCores() {
        LoadEvenness evenness = new LoadEvenness(2, 1, 1);
        evenness.updateBackend(0, 3, true, 1);
        evenness.updateBackend(0, 4, true, 2);
        evenness.updateBackend(1, 1, true, 4.5);
        evenness.updateBackend(1, 0, true, 5);
        evenness.updateBackend(0, 3, true, 6);
        assertEquals(2.5, evenness.measure(9).longestIdle(), 1e-9);
        evenness.startCounting(9);
        evenness.updateBackend(0, 4, true, 10);
        assertEquals(1, evenness.measure(11).longestIdle(), 1e-9);
    }

    @Test
    void herdIsTheMostSentToOneBackendWithinATenthOfALatencyObjective() {
        LoadEvenness evenness = new LoadEvenness(2, 1, 1);
        for (double at : new double[] {0, 0.05, 0.09, 0.16, 0.3}) {
            evenness.recordSend(0, at);
        }
        evenness.recordSend(1, 0.3);
        assertEquals(3, evenness.measure(1).herd());
        evenness.recordServed(0);
        evenness.recordServed(0);
        evenness.recordServed(1);
        assertEquals(2 / 1.5, evenness.measure(1).most(), 1e-9);
        assertEquals(1 / 1.5, evenness.measure(1).least(), 1e-9);
    }

    /** Compares the figures with a simple sum over steps of one second. */
    @Property(tries = 200, seed = "48")
    void wasteAndFullestMatchASimpleSum(
            @ForAll @Size(30) int[] moves, @ForAll @IntRange(min = 1, max = 3) int cores) {
        LoadEvenness evenness = new LoadEvenness(3, cores, 1);
        int[] held = new int[3];
        double waste = 0;
        double fullest = 0;
        for (int second = 0; second < moves.length; second++) {
            int backend = Math.floorMod(moves[second], 3);
            held[backend] = Math.floorMod(moves[second] / 3, 7);
            evenness.updateBackend(backend, held[backend], true, second);
            int idle = 0;
            int queued = 0;
            int most = 0;
            for (int count : held) {
                idle += count == 0 ? 1 : 0;
                queued += Math.max(0, count - cores);
                most = Math.max(most, count);
            }
            waste += Math.min(idle, queued);
            fullest += most;
        }
        LoadEvenness.Measure measure = evenness.measure(moves.length);
        assertEquals(waste / moves.length / 3, measure.waste(), 1e-9);
        assertEquals(fullest / moves.length, measure.fullest(), 1e-9);
    }

    @Test
    void capacityServesHighestPriorityWeightFirstAndIsNotCarriedOver() {
        List<RequestClass> requestClasses = Experiment.settings(1, 1, 0, 1).requestClasses();
        ServableOracle oracle = new ServableOracle(requestClasses, 3);
        for (int requestClass = 0; requestClass < 3; requestClass++) {
            oracle.recordRequest(0, requestClass);
            oracle.recordRequest(1, requestClass);
        }
        oracle.addCapacity(0, 1.5);
        oracle.addCapacity(1, 9);
        oracle.addCapacity(2, 9);
        assertArrayEquals(new double[] {9 + 1.5, 13, 0}, oracle.servableWeightBySecond(), 1e-9);
    }
}
