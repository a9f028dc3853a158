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
    private static FaultPlan of(boolean apart, Fault... faults) {
        return new FaultPlan(List.of(faults), 8, 6, 4, 1, apart, 100);
    }

    @Test
    void aCutBetweenGroupsFallsOnTheirPairsAndBothWaysOnlyWhereItSaysSo() {
        Fault one =
                new Fault(
                        Fault.Kind.CUT,
                        Fault.Channel.DATAGRAMS,
                        FaultTarget.of("location 0"),
                        FaultTarget.of("location 1"),
                        false,
                        2,
                        3,
                        1,
                        0);
        FaultPlan faults = of(false, one);
        assertEquals(List.of(one), faults.onDatagram(4, 1, 102));
        assertEquals(List.of(), faults.onDatagram(1, 4, 102), "the way back");
        assertEquals(List.of(), faults.onDatagram(4, 2, 102), "another location");
        assertEquals(List.of(), faults.onDatagram(4, 1, 101.9), "before it");
        assertEquals(List.of(), faults.onDatagram(4, 1, 105), "after it");
        Fault both =
                new Fault(
                        Fault.Kind.CUT,
                        Fault.Channel.DATAGRAMS,
                        FaultTarget.of("location 0"),
                        FaultTarget.ALL,
                        true,
                        2,
                        3,
                        1,
                        0);
        assertEquals(List.of(both), of(false, both).onDatagram(1, 4, 102));
    }

    @Test
    void proxiesThatMeetTheSameFaultsTowardsBackendsShareASegment() {
        Fault cut = Fleets.cut(Fault.Channel.BACKENDS, "location 2", "number 3", 2, 3);
        FaultPlan faults = of(false, cut);
        assertEquals(2, faults.heads.length);
        assertEquals(faults.segments[2], faults.segments[6]);
        assertNotEquals(faults.segments[1], faults.segments[2]);
        assertEquals(105, faults.cutFromBackend(faults.segments[2], 3, 103), 1e-9);
        assertEquals(103, faults.cutFromBackend(faults.segments[1], 3, 103), 1e-9);
        assertEquals(103, faults.cutFromBackend(faults.segments[2], 4, 103), 1e-9);
        assertEquals(8, of(true, cut).heads.length, "each apart");
    }

    @Test
    void aShareIsDrawnBySeedAndIsAtLeastOne() {
        Fault kill = Fleets.fault(Fault.Kind.KILL, "70%", "all", 0, 1, 1);
        int[] some = of(false, kill).ofProcesses().get(0).numbers();
        assertEquals(6, some.length);
        assertArrayEquals(some, of(false, kill).ofProcesses().get(0).numbers());
        assertEquals(
                1,
                of(false, Fleets.fault(Fault.Kind.KILL, "1%", "all", 0, 1, 1))
                        .ofProcesses()
                        .get(0)
                        .numbers()
                        .length);
        assertTrue(
                IntStream.range(0, 8).allMatch(p -> of(false).segments[p] == 0),
                "no faults, one segment");
    }

    @Test
    void wordsThatNameNobodyAreNone() {
        for (String each :
                List.of("", "alle", "location", "location -1", "number x", "101%", "30", "%")) {
            assertNull(FaultTarget.of(each), each);
        }
    }
}
