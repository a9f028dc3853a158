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
import java.util.Arrays;
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

/**
 * Tests the recovery of four real processes that are killed, with snapshots on a disk that is kept.
 */
class RecoveryProcessTest {
    private static final int MAX_RUNS_TO_RECOVER = 12;
    private static final BackendFault CRASH_OF_ALL_BACKENDS =
            new BackendFault(BackendFault.Kind.CRASH, 1, 0.5, 1, 1);
    private static FleetTestbed testbed;
    @TempDir static Path disk;

    @BeforeAll
    static void start() throws Exception {
        Path file = disk.resolve("recovery.json");
        Files.writeString(file, "{\"enough\": 30, \"period\": 0.5, \"folder\": \"" + disk + "\"}");
        testbed = Fleets.start(0.3, Path.of("deploy/peers.json"), file);
    }

    @AfterAll
    static void stop() throws Exception {
        Fleets.stop(testbed);
    }

    private static RunResult run(List<BackendFault> backendFaults, Fault... faults)
            throws Exception {
        RunResult result = Fleets.run(testbed, backendFaults, faults);
        assertEquals(
                0,
                result.overloadedColdBackends,
                "the proxies together must not overload a cold backend");
        return result;
    }

    /**
     * Executes runs without faults until one of them serves all requests and the recovery of each
     * proxy has settled.
     */
    private static void assertRecovers() throws Exception {
        RunResult last = null;
        for (int i = 0; i < MAX_RUNS_TO_RECOVER; i++) {
            last = run(List.of());
            if (last.succeeded == last.clientRequests
                    && last.rejected == 0
                    && IntStream.range(0, Fleets.PROXIES)
                            .allMatch(proxy -> isSettled(log(proxy)))) {
                return;
            }
        }
        fail("not recovered after " + MAX_RUNS_TO_RECOVER + " runs without faults: " + last);
    }

    private static List<String> log(int proxy) {
        try {
            return Files.readAllLines(testbed.folder().resolve("n" + proxy + ".log"));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static boolean isSettled(List<String> log) {
        return log.stream()
                .filter(line -> line.matches(".*recovery (begins|settled).*"))
                .reduce("", (earlier, later) -> later)
                .contains("settled");
    }

    private static long countLines(int proxy, String text) {
        return log(proxy).stream().filter(line -> line.contains(text)).count();
    }

    private static String lastLine(int proxy, String text) {
        return log(proxy).stream()
                .filter(line -> line.contains(text))
                .reduce("", (earlier, later) -> later);
    }

    @Test
    void recoversWhenAllProxiesAreKilledAndTheBackendsStayWarm() throws Exception {
        run(List.of(), fault(Kind.KILL, "all", "all", 1, 0.3, 1));
        assertRecovers();
    }

    @Test
    void recoversWhenAllProxiesAreKilledAndAllBackendsRestartTwice() throws Exception {
        BackendFault secondCrash = new BackendFault(BackendFault.Kind.CRASH, 3.5, 0.5, 1, 1);
        run(
                List.of(CRASH_OF_ALL_BACKENDS, secondCrash),
                fault(Kind.KILL, "all", "all", 1, 0.3, 1),
                fault(Kind.KILL, "all", "all", 3.5, 0.3, 1));
        assertRecovers();
    }

    @Test
    void recoversWhenAllProxiesAreKilledDuringADeployWithDiscoveryCut() throws Exception {
        run(
                List.of(
                        CRASH_OF_ALL_BACKENDS,
                        new BackendFault(BackendFault.Kind.DEPLOY, 1.5, 2, 0.3, 1)),
                fault(Kind.KILL, "all", "all", 1, 0.3, 1),
                cut(Fault.Channel.DISCOVERY, "all", "all", 1, 3));
        assertRecovers();
    }

    @Test
    void recoversWhenHalfTheProxiesStartLaterAndTheHalvesCannotReachEachOther() throws Exception {
        run(
                List.of(CRASH_OF_ALL_BACKENDS),
                fault(Kind.KILL, "location 0", "all", 1, 0.3, 1),
                fault(Kind.KILL, "location 1", "all", 1, 2.5, 1),
                cut(Fault.Channel.DATAGRAMS, "location 0", "location 1", 0, 4),
                cut(Fault.Channel.DATAGRAMS, "location 1", "location 0", 0, 4));
        assertRecovers();
    }

    @Test
    void proxyRecoversFromPeersWhenItsSnapshotIsUnreadableAndOldDatagramsArriveLate()
            throws Exception {
        assertRecovers();
        long recoveriesBefore = countLines(2, "recovery begins");
        long setAsideBefore = countLines(2, "set aside");
        // A folder in place of the snapshot file can be neither read nor overwritten.
        for (Path file = disk.resolve("n2.snap"); !Files.isDirectory(file); ) {
            Files.deleteIfExists(file);
            try {
                Files.createDirectory(file);
            } catch (FileAlreadyExistsException e) {
                // The proxy has just written another snapshot file.
            }
        }
        run(
                List.of(),
                fault(Kind.LATE, "number 2", "all", 0, 5, 1),
                fault(Kind.KILL, "number 2", "all", 1, 0.5, 1));
        assertRecovers();
        assertEquals(recoveriesBefore + 1, countLines(2, "recovery begins"));
        assertEquals(setAsideBefore + 1, countLines(2, "set aside"));
        List<String> lines = log(2);
        int from = lines.indexOf(lastLine(2, "recovery begins"));
        assertTrue(
                lines.subList(from, lines.size()).stream()
                        .anyMatch(line -> line.contains("phase=ALONE")),
                "the recovery must enter phase ALONE: only this proxy is new");
    }

    @Test
    void startNumberIncreasesWithEachStart() throws Exception {
        run(List.of(), fault(Kind.STOP, "number 1", "all", 0.5, 1, 1));
        assertRecovers();
        long[] startNumbers =
                log(1).stream()
                        .filter(line -> line.contains("recovery begins"))
                        .mapToLong(
                                line ->
                                        Long.parseLong(
                                                line.replaceAll(".* start_number=(\\d+) .*", "$1")))
                        .toArray();
        assertTrue(
                startNumbers.length > 1
                        && IntStream.range(1, startNumbers.length)
                                .allMatch(i -> startNumbers[i] > startNumbers[i - 1]),
                Arrays.toString(startNumbers));
        assertTrue(
                lastLine(1, "recovery begins").contains("this run of the machine"),
                "the snapshot must be recognized as written in this run of the machine");
    }
}
