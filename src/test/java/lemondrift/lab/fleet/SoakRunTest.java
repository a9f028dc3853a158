package lemondrift.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import lemondrift.lab.simulation.Fault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a few soak runs with fixed seeds. */
class SoakRunTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void allRulesHoldAndAllProcessesExitWithZero(long seed) throws Exception {
        assertAllRulesHoldAndAllProcessesExitWithZero(seed);
    }

    /** In the run of seed 3, a process gets SIGHUP while it is still starting. */
    @Test
    void allProcessesExitWithZeroWhenAReloadSignalArrivesDuringTheStart() throws Exception {
        assertAllRulesHoldAndAllProcessesExitWithZero(3);
    }

    /**
     * Guards against a process that exits early, late or with a nonzero code after signals in
     * series.
     */
    @Test
    void allRulesHoldWhenSignalsArriveInSeriesAndStartsAreInterrupted() throws Exception {
        assertAllRulesHoldAndAllProcessesExitWithZero(SoakRun.planWithSignals(4));
    }

    private static void assertAllRulesHoldAndAllProcessesExitWithZero(long seed) throws Exception {
        assertAllRulesHoldAndAllProcessesExitWithZero(SoakRun.plan(seed));
    }

    private static void assertAllRulesHoldAndAllProcessesExitWithZero(SoakRun.Plan plan)
            throws Exception {
        ProcessLauncher launcher =
                Fleets.launcher(Path.of("deploy/peers.json"), Path.of("deploy/recovery.json"));
        SoakRun.Outcome outcome = SoakRun.run(plan, launcher, line -> {});
        assertEquals(List.of(), outcome.violations(), plan.describe());
        assertTrue(outcome.result().succeeded > 0, plan.describe());
    }

    @Test
    void sameSeedDrawsTheSameRunEveryTime() {
        for (long seed = 0; seed < 50; seed++) {
            assertEquals(SoakRun.plan(seed).describe(), SoakRun.plan(seed).describe());
            String withSignals = SoakRun.planWithSignals(seed).describe();
            assertEquals(withSignals, SoakRun.planWithSignals(seed).describe());
            assertTrue(withSignals.startsWith(SoakRun.plan(seed).describe()), withSignals);
        }
        assertNotEquals(SoakRun.plan(1).describe(), SoakRun.plan(2).describe());
        assertTrue(
                SoakRun.plan(1).experiment().faults().stream()
                        .anyMatch(fault -> fault.kind() == Fault.Kind.TERMINATE));
    }
}
