package lemondrift.lab.fleet;

import static lemondrift.lab.fleet.Fleets.cut;
import static lemondrift.lab.fleet.Fleets.fault;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.nio.file.Path;
import java.util.List;
import lemondrift.lab.Baseline;
import lemondrift.lab.simulation.BackendFault;
import lemondrift.lab.simulation.Fault;
import lemondrift.lab.simulation.Fault.Kind;
import lemondrift.lab.simulation.RunResult;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Four real processes with faults between them; the same ones over all days. */
class FleetTestbedTest {
    private static final int TRIES = 10;
    private static FleetTestbed stand;

    @BeforeAll
    static void starts() throws Exception {
        stand = Fleets.start(0.4, Path.of("deploy/peers.json"));
    }

    @AfterAll
    static void allDrainAndEndWithZero() throws Exception {
        Fleets.ends(stand);
    }

    private static RunResult play(List<BackendFault> troubles, Fault... faults) throws Exception {
        return Fleets.play(stand, troubles, faults);
    }

    /**
     * Reached at last: a day on which all that is asked for is had. Each day before that keeps the
     * rules.
     */
    private static void comesBack() throws Exception {
        RunResult last = null;
        for (int i = 0; i < TRIES; i++) {
            last = play(List.of());
            if (last.succeeded == last.clientRequests && last.rejected == 0) {
                return;
            }
        }
        fail("not as before after " + TRIES + " calm days: " + last);
    }

    private static void allAreAnswered(RunResult day) {
        assertEquals(0, day.unanswered, day.toString());
        assertEquals(0, day.unreached, day.toString());
        assertTrue(day.clientRequests > 0 && day.succeeded > 0, day.toString());
    }

    @Test
    void datagramsThatAreCutLostDoubledLateOrHostileCostNoAnswer() throws Exception {
        allAreAnswered(
                play(
                        List.of(),
                        fault(Kind.CUT, "location 0", "location 1", 0, 3, 1),
                        fault(Kind.LOSE, "all", "all", 1, 4, 0.3),
                        fault(Kind.TWICE, "all", "all", 1, 4, 1),
                        fault(Kind.DISORDER, "all", "all", 2, 3, 1),
                        fault(Kind.LATE, "number 3", "all", 0, 5, 1),
                        fault(Kind.JUNK, "all", "all", 0, 5, 1)));
        comesBack();
    }

    @Test
    void allDeafAndBack() throws Exception {
        RunResult day = play(List.of(), fault(Kind.CUT, "all", "all", 0, 4, 1));
        allAreAnswered(day);
        assertTrue(day.gossipMessages > 0, "they go on telling");
        comesBack();
    }

    @Test
    void oneKilledWithMuchOutAndStartedAgainUnderItsNumberWithOldDatagramsOnTheWay()
            throws Exception {
        RunResult day =
                play(
                        List.of(),
                        fault(Kind.LATE, "all", "all", 0, 5, 1),
                        fault(Kind.KILL, "number 1", "all", 1, 0.5, 1));
        assertEquals(0, day.overloadedColdBackends);
        comesBack();
    }

    @Test
    void onePausedThatWakesWithOldKnowledge() throws Exception {
        play(List.of(), fault(Kind.PAUSE, "number 2", "all", 1, 3, 1));
        comesBack();
    }

    @Test
    void allRestartedInTurnWhileBackendsAreReplacedAndDiscoveryIsSilent() throws Exception {
        RunResult day =
                play(
                        List.of(new BackendFault(BackendFault.Kind.DEPLOY, 0.5, 3, 0.5, 1)),
                        fault(Kind.ROLL, "all", "all", 0.5, 4, 1),
                        cut(Fault.Channel.DISCOVERY, "30%", "all", 1, 2));
        assertEquals(
                0,
                day.overloadedColdBackends,
                "no cold backend is pushed over by all of them together");
        comesBack();
    }

    @Test
    void wayToABackendThatIsCutForOneProxyAlone() throws Exception {
        allAreAnswered(
                play(
                        List.of(),
                        cut(Fault.Channel.BACKENDS, "number 0", "number 3", 0.5, 3),
                        cut(Fault.Channel.BACKENDS, "location 1", "number 2", 1, 3)));
        comesBack();
    }

    /** The baselines play the same file, and there is no process that its faults could fall on. */
    @Test
    void aPolicyWithoutProxiesPlaysTheSameDay() throws Exception {
        try (FleetTestbed direct =
                new FleetTestbed(
                        Fleets.experiment(0.4), 1, null, Baseline.Kind.ORACLE, line -> {})) {
            direct.start();
            FleetTestbed.Played day =
                    direct.play(List.of(), List.of(fault(Kind.KILL, "all", "all", 0, 1, 1)), 1);
            assertNull(day.broken());
            assertEquals(
                    day.figures().clientRequests,
                    day.figures().succeeded,
                    day.figures().toString());
            assertEquals(List.of(), direct.stop());
        }
    }

    @Test
    void backendsThatCrashAreSilentOrErrAllAtOnce() throws Exception {
        RunResult day =
                play(
                        List.of(
                                new BackendFault(BackendFault.Kind.CRASH, 0.5, 2, 0.2, 1),
                                new BackendFault(BackendFault.Kind.VANISH, 1, 2, 0.2, 1),
                                new BackendFault(BackendFault.Kind.ERRORS, 1, 3, 0.2, 0.8),
                                new BackendFault(BackendFault.Kind.BURST, 1, 2, 1, 1.5)));
        allAreAnswered(day);
        comesBack();
    }
}
