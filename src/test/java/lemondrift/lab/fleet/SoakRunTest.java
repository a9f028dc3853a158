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

/** A few days of the soak, of fixed seeds. */
class SoakRunTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void allRulesAreKeptAndAllProcessesEndWithZero(long seed) throws Exception {
        assertAllRulesAreKeptAndAllProcessesEndWithZero(seed);
    }

    /** A process is told to read its configuration again while it still starts. */
    @Test
    void allProcessesEndWithZeroWhereReloadSignalComesDuringTheStart() throws Exception {
        assertAllRulesAreKeptAndAllProcessesEndWithZero(3);
    }

    /** Guards against a process that signals in series end early, late or not with zero. */
    @Test
    void allRulesAreKeptWhereSignalsComeInSeriesAndStartsAreInterrupted() throws Exception {
        assertAllRulesAreKeptAndAllProcessesEndWithZero(SoakRun.planWithSignals(4));
    }

    private static void assertAllRulesAreKeptAndAllProcessesEndWithZero(long seed)
            throws Exception {
        assertAllRulesAreKeptAndAllProcessesEndWithZero(SoakRun.plan(seed));
    }

    private static void assertAllRulesAreKeptAndAllProcessesEndWithZero(SoakRun.Plan plan)
            throws Exception {
        ProcessLauncher launcher =
                Fleets.launcher(Path.of("deploy/peers.json"), Path.of("deploy/recovery.json"));
        SoakRun.Verdict verdict = SoakRun.play(plan, launcher, line -> {});
        assertEquals(List.of(), verdict.wrong(), plan.about());
        assertTrue(verdict.figures().succeeded > 0, plan.about());
    }

    @Test
    void aSeedDrawsTheSameDayEveryTime() {
        for (long seed = 0; seed < 50; seed++) {
            assertEquals(SoakRun.plan(seed).about(), SoakRun.plan(seed).about());
            String withSignals = SoakRun.planWithSignals(seed).about();
            assertEquals(withSignals, SoakRun.planWithSignals(seed).about());
            assertTrue(withSignals.startsWith(SoakRun.plan(seed).about()), withSignals);
        }
        assertNotEquals(SoakRun.plan(1).about(), SoakRun.plan(2).about());
        assertTrue(
                SoakRun.plan(1).experiment().faults().stream()
                        .anyMatch(fault -> fault.kind() == Fault.Kind.TERMINATE));
    }
}
