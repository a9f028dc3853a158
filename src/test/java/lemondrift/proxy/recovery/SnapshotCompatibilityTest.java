package lemondrift.proxy.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import lemondrift.GoldenFiles;
import lemondrift.recovery.Snapshot;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that a snapshot of the released version can be read and is written with the same bytes.
 */
class SnapshotCompatibilityTest {
    @TempDir Path folder;

    @Test
    void readsAndWritesStoredSnapshotUnchanged() throws IOException {
        Snapshot snapshot =
                new Snapshot("n1", "3f1c9b1e-boot", 1764756000123L, 1764756000.5, 0.21875, 40);
        GoldenFiles.assertHex("snapshot.hex", SnapshotFile.encode(snapshot));
        Path file = Files.write(folder.resolve("n1.snap"), GoldenFiles.readHex("snapshot.hex"));
        assertEquals(snapshot, SnapshotFile.read(file));
    }
}
