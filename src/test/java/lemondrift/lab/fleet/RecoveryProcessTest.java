package lemondrift.lab.fleet;

import static lemondrift.lab.fleet.Fleets.cut;
import static lemondrift.lab.fleet.Fleets.fault;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import lemondrift.lab.simulation.BackendFault;
import lemondrift.lab.simulation.Fault;
import lemondrift.lab.simulation.Fault.Kind;
import lemondrift.lab.simulation.RunResult;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Four real processes that lose their power, with snapshots on a disk that lasts. */
class RecoveryProcessTest {
    private static final int TRIES = 12;
    private static final BackendFault COLD =
            new BackendFault(BackendFault.Kind.CRASH, 1, 0.5, 1, 1);
    private static FleetTestbed stand;
    @TempDir static Path disk;

    @BeforeAll
    static void starts() throws Exception {
        Path file = disk.resolve("recovery.json");
        Files.writeString(file, "{\"enough\": 30, \"period\": 0.5, \"folder\": \"" + disk + "\"}");
        stand = Fleets.start(0.3, Path.of("deploy/peers.json"), file);
    }

    @AfterAll
    static void allDrainAndEndWithZero() throws Exception {
        Fleets.ends(stand);
    }

    private static RunResult play(List<BackendFault> troubles, Fault... faults) throws Exception {
        RunResult day = Fleets.play(stand, troubles, faults);
        assertEquals(
                0,
                day.overloadedColdBackends,
                "no cold backend is pushed over by all of them together");
        return day;
    }

    /**
     * Reached at last: all that is asked for is had, and each proxy goes by what it has found
     * itself.
     */
    private static void comesBack() throws Exception {
        RunResult last = null;
        for (int i = 0; i < TRIES; i++) {
            last = play(List.of());
            if (last.succeeded == last.clientRequests
                    && last.rejected == 0
                    && IntStream.range(0, Fleets.PROXIES).allMatch(p -> isSettled(log(p)))) {
                return;
            }
        }
        fail("not as before after " + TRIES + " calm days: " + last);
    }

    private static List<String> log(int p) {
        try {
            return Files.readAllLines(stand.folder().resolve("n" + p + ".log"));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static boolean isSettled(List<String> log) {
        return log.stream()
                .filter(line -> line.matches(".*recovery (begins|settled).*"))
                .reduce("", (one, next) -> next)
                .contains("settled");
    }

    private static long lines(int p, String with) {
        return log(p).stream().filter(line -> line.contains(with)).count();
    }

    private static String last(int p, String with) {
        return log(p).stream().filter(line -> line.contains(with)).reduce("", (one, next) -> next);
    }

    @Test
    void allKilledAtOnceAndTheBackendsAsTheyWere() throws Exception {
        play(List.of(), fault(Kind.KILL, "all", "all", 1, 0.3, 1));
        comesBack();
    }

    @Test
    void allKilledAtOnceAndAllBackendsBackColdTwiceInARow() throws Exception {
        BackendFault again = new BackendFault(BackendFault.Kind.CRASH, 3.5, 0.5, 1, 1);
        play(
                List.of(COLD, again),
                fault(Kind.KILL, "all", "all", 1, 0.3, 1),
                fault(Kind.KILL, "all", "all", 3.5, 0.3, 1));
        comesBack();
    }

    @Test
    void allKilledAtOnceWithDiscoverySilentAndTheBackendsReplacedMeanwhile() throws Exception {
        play(
                List.of(COLD, new BackendFault(BackendFault.Kind.DEPLOY, 1.5, 2, 0.3, 1)),
                fault(Kind.KILL, "all", "all", 1, 0.3, 1),
                cut(Fault.Channel.DISCOVERY, "all", "all", 1, 3));
        comesBack();
    }

    @Test
    void halfBackAtOnceAndHalfIntoTheHalfWarmFleetTheTwoCutOffFromEachOther() throws Exception {
        play(
                List.of(COLD),
                fault(Kind.KILL, "location 0", "all", 1, 0.3, 1),
                fault(Kind.KILL, "location 1", "all", 1, 2.5, 1),
                cut(Fault.Channel.DATAGRAMS, "location 0", "location 1", 0, 4),
                cut(Fault.Channel.DATAGRAMS, "location 1", "location 0", 0, 4));
        comesBack();
    }

    @Test
    void oneAloneLearnsFromTheOthersThoughItsSnapshotIsBadAndItsOldDatagramsComeLate()
            throws Exception {
        comesBack();
        long begun = lines(2, "recovery begins");
        long aside = lines(2, "set aside");
        // A folder in the place of the file can be neither read nor written over.
        for (Path file = disk.resolve("n2.snap"); !Files.isDirectory(file); ) {
            Files.deleteIfExists(file);
            try {
                Files.createDirectory(file);
            } catch (FileAlreadyExistsException e) {
                // The proxy has just written another one.
            }
        }
        play(
                List.of(),
                fault(Kind.LATE, "number 2", "all", 0, 5, 1),
                fault(Kind.KILL, "number 2", "all", 1, 0.5, 1));
        comesBack();
        assertEquals(begun + 1, lines(2, "recovery begins"));
        assertEquals(aside + 1, lines(2, "set aside"));
        List<String> all = log(2);
        int from = all.indexOf(last(2, "recovery begins"));
        assertTrue(
                all.subList(from, all.size()).stream()
                        .anyMatch(line -> line.contains("standing=ALONE")),
                "it was alone among others that know");
    }

    @Test
    void startNumbersRiseWithEachStart() throws Exception {
        play(List.of(), fault(Kind.STOP, "number 1", "all", 0.5, 1, 1));
        comesBack();
        long[] starts =
                log(1).stream()
                        .filter(line -> line.contains("recovery begins"))
                        .mapToLong(
                                line -> Long.parseLong(line.replaceAll(".* start=(\\d+) .*", "$1")))
                        .toArray();
        assertTrue(
                starts.length > 1
                        && IntStream.range(1, starts.length)
                                .allMatch(i -> starts[i] > starts[i - 1]),
                List.of(starts).toString());
        assertTrue(last(1, "recovery begins").contains("this run of the machine"), "believed");
    }
}
