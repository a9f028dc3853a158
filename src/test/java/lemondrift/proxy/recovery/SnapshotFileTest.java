package lemondrift.proxy.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.function.UnaryOperator;
import lemondrift.proxy.config.RecoverySettings;
import lemondrift.recovery.PeerPollBackoff;
import lemondrift.recovery.Snapshot;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What power, disks and people may do to snapshots. */
class SnapshotFileTest {
    private static final Snapshot OLDER = new Snapshot("n1", "boot", 7, 1000, 0.2, 40);
    private static final Snapshot NEWER = new Snapshot("n1", "boot", 8, 1005, 0.25, 60);

    @TempDir Path folder;

    private Path file() {
        return folder.resolve("n1.snap");
    }

    private static RecoveryCoordinator begins(Path folder, String name) {
        return new RecoveryCoordinator(
                new RecoverySettings(PeerPollBackoff.of(1), folder, 1), name, 0, 3, 0);
    }

    private static long start(RecoveryCoordinator its) {
        return Long.parseLong(its.statusJson(0).replaceAll(".*\"start\":(\\d+).*", "$1"));
    }

    private void writesBoth() throws IOException {
        SnapshotFile.write(file(), OLDER);
        SnapshotFile.write(file(), NEWER);
        assertEquals(NEWER, SnapshotFile.read(file()));
        assertEquals(OLDER, SnapshotFile.read(SnapshotFile.before(file())));
    }

    /** One that is damaged is never believed, and the one before it is. */
    private void damaged(UnaryOperator<byte[]> how) throws IOException {
        writesBoth();
        Files.write(file(), how.apply(Files.readAllBytes(file())));
        assertThrows(IOException.class, () -> SnapshotFile.read(file()));
        try (SnapshotStore keeper = new SnapshotStore(folder, "n1")) {
            assertEquals(7, keeper.trusted().above());
        }
        assertFalse(Files.exists(file()), "set aside");
    }

    @Test
    void oneThatIsTornAtAnyLengthOrHasAnyByteFlippedGivesWayToTheOneBefore() throws IOException {
        int length = SnapshotFile.encoded(NEWER).length;
        for (int i = 0; i < length; i++) {
            int at = i;
            damaged(all -> Arrays.copyOf(all, at));
            damaged(
                    all -> {
                        all[at] ^= 0x41;
                        return all;
                    });
        }
        damaged(all -> Arrays.copyOf(all, all.length + 1));
        damaged(all -> Arrays.copyOf(all, 100_000));
    }

    @Test
    void oneOfAFutureVersionSaysSoAndIsNotUsed() throws IOException {
        writesBoth();
        byte[] all = Files.readAllBytes(file());
        all[5] = SnapshotFile.VERSION + 1;
        Files.write(file(), all);
        String why = assertThrows(IOException.class, () -> SnapshotFile.read(file())).getMessage();
        assertTrue(why.contains("version 2"), why);
    }

    @Test
    void powerThatFailsBetweenTheStepsOfAWriteLeavesOneThatIsWhole() throws IOException {
        writesBoth();
        Files.write(folder.resolve("n1.snap.new"), new byte[] {1, 2, 3});
        assertEquals(NEWER, SnapshotFile.read(file()), "before the new one is synced");
        Files.move(
                file(),
                SnapshotFile.before(file()),
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        try (SnapshotStore keeper = new SnapshotStore(folder, "n1")) {
            assertEquals(8, keeper.trusted().above(), "between its two renames");
            assertTrue(keeper.keepNow(9, 0, 0));
        }
        assertEquals(9, SnapshotFile.read(file()).start());
    }

    @Test
    void startNumbersRiseThoughTheClockGoesBackAndBothFilesAreBadOnlyWithIt() throws IOException {
        long ahead = System.currentTimeMillis() + 3_600_000;
        SnapshotFile.write(file(), new Snapshot("n1", "", ahead, ahead / 1e3, 0.2, 9));
        try (RecoveryCoordinator its = begins(folder, "n1")) {
            assertEquals(ahead + 1, start(its));
            assertEquals(ahead + 1, SnapshotFile.read(file()).start(), "kept before any word");
        }
        try (RecoveryCoordinator its = begins(folder, "n1")) {
            assertEquals(ahead + 2, start(its));
        }
        Files.write(file(), new byte[0]);
        Files.write(SnapshotFile.before(file()), new byte[0]);
        try (RecoveryCoordinator its = begins(folder, "n1")) {
            assertTrue(start(its) <= System.currentTimeMillis());
        }
    }

    @Test
    void oneCopiedFromAnotherProxyIsNotUsed() throws IOException {
        SnapshotFile.write(folder.resolve("n2.snap"), NEWER);
        try (SnapshotStore keeper = new SnapshotStore(folder, "n2")) {
            assertEquals(0, keeper.trusted().above());
            assertTrue(keeper.trusted().why().contains("n1"));
        }
    }

    @Test
    void aFolderThatCantBeWrittenToCostsNoStart() throws IOException {
        Path none = Files.write(folder.resolve("no-folder"), new byte[0]);
        try (SnapshotStore keeper = new SnapshotStore(none, "n1")) {
            assertFalse(keeper.keepNow(1, 0, 0));
        }
        try (RecoveryCoordinator its = begins(none, "n1")) {
            assertTrue(start(its) > 0);
        }
    }
}
