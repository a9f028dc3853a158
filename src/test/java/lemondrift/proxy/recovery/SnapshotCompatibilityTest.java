package lemondrift.proxy.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import lemondrift.GoldenFiles;
import lemondrift.recovery.Snapshot;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A snapshot that the landed program wrote is read, and written byte for byte the same. */
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
