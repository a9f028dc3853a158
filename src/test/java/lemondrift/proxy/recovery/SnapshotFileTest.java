package lemondrift.proxy.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Arrays;
import java.util.function.UnaryOperator;
import lemondrift.proxy.config.RecoverySettings;
import lemondrift.recovery.PeerPollSettings;
import lemondrift.recovery.Snapshot;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests snapshots with power failures, failing disks and manually copied files. */
class SnapshotFileTest {
    private static final Snapshot OLDER = new Snapshot("n1", "boot", 7, 1000, 0.2, 40);
    private static final Snapshot NEWER = new Snapshot("n1", "boot", 8, 1005, 0.25, 60);

    @TempDir Path folder;

    private Path file() {
        return folder.resolve("n1.snap");
    }

    private static RecoveryCoordinator coordinator(Path folder, String proxyName) {
        return new RecoveryCoordinator(
                new RecoverySettings(PeerPollSettings.forLatencyObjective(1), folder, 1),
                proxyName,
                0,
                3,
                0);
    }

    private static long startNumber(RecoveryCoordinator coordinator) {
        return Long.parseLong(coordinator.statusJson(0).replaceAll(".*\"start\":(\\d+).*", "$1"));
    }

    private void writeBoth() throws IOException {
        SnapshotFile.write(file(), OLDER);
        SnapshotFile.write(file(), NEWER);
        assertEquals(NEWER, SnapshotFile.read(file()));
        assertEquals(OLDER, SnapshotFile.read(SnapshotFile.previousFile(file())));
    }

    /** Checks that a damaged snapshot is not used and that the previous one is used instead. */
    private void assertDamagedIsSetAside(UnaryOperator<byte[]> damage) throws IOException {
        writeBoth();
        Files.write(file(), damage.apply(Files.readAllBytes(file())));
        assertThrows(IOException.class, () -> SnapshotFile.read(file()));
        try (SnapshotStore store = new SnapshotStore(folder, "n1")) {
            assertEquals(7, store.restoreNewest().previousStartNumber());
        }
        assertFalse(Files.exists(file()), "the damaged file is set aside");
    }

    @Test
    void usesPreviousSnapshotWhenLatestIsDamaged() throws IOException {
        int length = SnapshotFile.encode(NEWER).length;
        for (int i = 0; i < length; i++) {
            int at = i;
            assertDamagedIsSetAside(all -> Arrays.copyOf(all, at));
            assertDamagedIsSetAside(
                    all -> {
                        all[at] ^= 0x41;
                        return all;
                    });
        }
        assertDamagedIsSetAside(all -> Arrays.copyOf(all, all.length + 1));
        assertDamagedIsSetAside(all -> Arrays.copyOf(all, 100_000));
    }

    @Test
    void rejectsSnapshotOfFutureVersionWithItsNumber() throws IOException {
        writeBoth();
        byte[] all = Files.readAllBytes(file());
        all[5] = SnapshotFile.VERSION + 1;
        Files.write(file(), all);
        String message =
                assertThrows(IOException.class, () -> SnapshotFile.read(file())).getMessage();
        assertTrue(message.contains("version 2"), message);
    }

    @Test
    void keepsWholeSnapshotWhenPowerFailsDuringAWrite() throws IOException {
        writeBoth();
        Files.write(folder.resolve("n1.snap.new"), new byte[] {1, 2, 3});
        assertEquals(NEWER, SnapshotFile.read(file()), "power fails before the new file is synced");
        Files.move(file(), SnapshotFile.previousFile(file()), StandardCopyOption.REPLACE_EXISTING);
        try (SnapshotStore store = new SnapshotStore(folder, "n1")) {
            assertEquals(
                    8,
                    store.restoreNewest().previousStartNumber(),
                    "power fails between the two renames");
            assertTrue(store.writeNow(9, 0, 0));
        }
        assertEquals(9, SnapshotFile.read(file()).startNumber());
    }

    @Test
    void raisesStartNumberWhenClockGoesBackUnlessBothFilesAreDamaged() throws IOException {
        long ahead = System.currentTimeMillis() + 3_600_000;
        SnapshotFile.write(file(), new Snapshot("n1", "", ahead, ahead / 1e3, 0.2, 9));
        try (RecoveryCoordinator coordinator = coordinator(folder, "n1")) {
            assertEquals(ahead + 1, startNumber(coordinator));
            assertEquals(
                    ahead + 1,
                    SnapshotFile.read(file()).startNumber(),
                    "stored before the first datagram is sent");
        }
        try (RecoveryCoordinator coordinator = coordinator(folder, "n1")) {
            assertEquals(ahead + 2, startNumber(coordinator));
        }
        Files.write(file(), new byte[0]);
        Files.write(SnapshotFile.previousFile(file()), new byte[0]);
        try (RecoveryCoordinator coordinator = coordinator(folder, "n1")) {
            assertTrue(startNumber(coordinator) <= System.currentTimeMillis());
        }
    }

    @Test
    void ignoresSnapshotCopiedFromAnotherProxy() throws IOException {
        SnapshotFile.write(folder.resolve("n2.snap"), NEWER);
        try (SnapshotStore store = new SnapshotStore(folder, "n2")) {
            assertEquals(0, store.restoreNewest().previousStartNumber());
            assertTrue(store.restoreNewest().reason().contains("n1"));
        }
    }

    @Test
    void startsWithoutSnapshotsWhenFolderIsNotWritable() throws IOException {
        Path noFolder = Files.write(folder.resolve("no-folder"), new byte[0]);
        try (SnapshotStore store = new SnapshotStore(noFolder, "n1")) {
            assertFalse(store.writeNow(1, 0, 0));
        }
        try (RecoveryCoordinator coordinator = coordinator(noFolder, "n1")) {
            assertTrue(startNumber(coordinator) > 0);
        }
    }
}
