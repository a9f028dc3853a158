package lemondrift.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import lemondrift.lab.simulation.Fault;
import lemondrift.lab.simulation.FaultTarget;
import org.junit.jupiter.api.Test;

class FaultPlanTest {
    private static FaultPlan plan(boolean separateSegments, Fault... faults) {
        return new FaultPlan(List.of(faults), 8, 6, 4, 1, separateSegments, 100);
    }

    @Test
    void cutBetweenLocationsAffectsTheirPairsAndBothDirectionsOnlyIfStated() {
        Fault oneWay =
                new Fault(
                        Fault.Kind.CUT,
                        Fault.Channel.DATAGRAMS,
                        FaultTarget.parse("location 0"),
                        FaultTarget.parse("location 1"),
                        false,
                        2,
                        3,
                        1,
                        0);
        FaultPlan faults = plan(false, oneWay);
        assertEquals(List.of(oneWay), faults.activeDatagramFaults(4, 1, 102));
        assertEquals(List.of(), faults.activeDatagramFaults(1, 4, 102), "the opposite direction");
        assertEquals(List.of(), faults.activeDatagramFaults(4, 2, 102), "another location");
        assertEquals(List.of(), faults.activeDatagramFaults(4, 1, 101.9), "before the fault");
        assertEquals(List.of(), faults.activeDatagramFaults(4, 1, 105), "after the fault");
        Fault bothWays =
                new Fault(
                        Fault.Kind.CUT,
                        Fault.Channel.DATAGRAMS,
                        FaultTarget.parse("location 0"),
                        FaultTarget.ALL,
                        true,
                        2,
                        3,
                        1,
                        0);
        assertEquals(List.of(bothWays), plan(false, bothWays).activeDatagramFaults(1, 4, 102));
    }

    @Test
    void proxiesWithTheSameBackendFaultsShareASegment() {
        Fault cut = Fleets.cut(Fault.Channel.BACKENDS, "location 2", "number 3", 2, 3);
        FaultPlan faults = plan(false, cut);
        assertEquals(2, faults.segmentCount());
        assertEquals(faults.segmentOf(2), faults.segmentOf(6));
        assertNotEquals(faults.segmentOf(1), faults.segmentOf(2));
        assertEquals(105, faults.backendCutUntil(faults.segmentOf(2), 3, 103), 1e-9);
        assertEquals(103, faults.backendCutUntil(faults.segmentOf(1), 3, 103), 1e-9);
        assertEquals(103, faults.backendCutUntil(faults.segmentOf(2), 4, 103), 1e-9);
        assertEquals(8, plan(true, cut).segmentCount(), "each proxy has its own segment");
    }

    @Test
    void affectedShareIsDrawnFromTheSeedAndIsAtLeastOneProxy() {
        Fault kill = Fleets.fault(Fault.Kind.KILL, "70%", "all", 0, 1, 1);
        int[] killed = plan(false, kill).processFaults().get(0).affectedProxies();
        assertEquals(6, killed.length);
        assertArrayEquals(killed, plan(false, kill).processFaults().get(0).affectedProxies());
        assertEquals(
                1,
                plan(false, Fleets.fault(Fault.Kind.KILL, "1%", "all", 0, 1, 1))
                        .processFaults()
                        .get(0)
                        .affectedProxies()
                        .length);
        assertTrue(
                IntStream.range(0, 8).allMatch(proxy -> plan(false).segmentOf(proxy) == 0),
                "without faults all proxies are in one segment");
    }

    @Test
    void invalidTargetTextGivesNull() {
        for (String text :
                List.of("", "alle", "location", "location -1", "number x", "101%", "30", "%")) {
            assertNull(FaultTarget.parse(text), text);
        }
    }
}
