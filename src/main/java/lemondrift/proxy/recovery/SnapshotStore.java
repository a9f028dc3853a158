package lemondrift.proxy.recovery;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import lemondrift.recovery.Snapshot;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the snapshots of a proxy in a folder, on a separate thread. A disk failure is logged and
 * does not affect requests.
 */
final class SnapshotStore implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(SnapshotStore.class);

    /** The file in which Linux provides an id of the current boot. */
    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

    /** Seconds for which {@link #close} waits for pending writes. */
    private static final long CLOSE_TIMEOUT_SECONDS = 1;

    private final Path file;
    private final String proxyName;

    /** Identifies the current boot of the machine; empty if it is not known. */
    private final String bootId;

    private final ExecutorService writer =
            Executors.newSingleThreadExecutor(
                    task -> {
                        Thread thread = new Thread(task, "keeper");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** Whether the last write failed. */
    private volatile boolean lastWriteFailed;

    SnapshotStore(Path folder, String proxyName) {
        file = folder.resolve(proxyName + ".snap");
        this.proxyName = proxyName;
        bootId = readBootId();
    }

    private static String readBootId() {
        try {
            return Files.readString(BOOT_ID_FILE).strip();
        } catch (IOException | SecurityException e) {
            return "";
        }
    }

    private static double wallSeconds() {
        return System.currentTimeMillis() / 1e3;
    }

    /**
     * Returns the values restored from the newest readable snapshot, or {@link
     * Snapshot.RestoredValues#NONE}. Unreadable snapshots are set aside under another name.
     */
    Snapshot.RestoredValues restoreNewest() {
        for (Path candidate : List.of(file, SnapshotFile.previousFile(file))) {
            if (!Files.exists(candidate)) {
                continue;
            }
            try {
                return SnapshotFile.read(candidate).restore(proxyName, bootId, wallSeconds());
            } catch (IOException | RuntimeException e) {
                // Catches every exception: no content of a file may keep the proxy from starting.
                LOG.warn("recovery snapshot set aside: {}", e.toString().replace('\n', ' '));
                setAside(candidate);
            }
        }
        return Snapshot.RestoredValues.NONE;
    }

    private static void setAside(Path file) {
        try {
            Files.move(
                    file,
                    file.resolveSibling(file.getFileName() + ".bad"),
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            LOG.warn("recovery snapshot stays where it is: {}", e.toString());
        }
    }

    /**
     * Writes a snapshot on the calling thread.
     *
     * @return whether the snapshot was written
     */
    boolean writeNow(long startNumber, double serviceTimeSeconds, int samples) {
        try {
            Snapshot snapshot =
                    new Snapshot(
                            proxyName,
                            bootId,
                            startNumber,
                            wallSeconds(),
                            serviceTimeSeconds,
                            samples);
            SnapshotFile.write(file, snapshot);
            lastWriteFailed = false;
            return true;
        } catch (IOException | RuntimeException e) {
            // Catches every exception: the proxy continues to serve without a snapshot.
            logFirstFailure(e);
            return false;
        }
    }

    /** Logs the first of several failures in a row. Guards against a full disk filling the log. */
    private void logFirstFailure(Exception cause) {
        if (!lastWriteFailed) {
            LOG.warn("recovery snapshot not kept, {}", cause.toString());
        }
        lastWriteFailed = true;
    }

    /**
     * Writes a snapshot on the writer thread, because the decision thread must not wait for a disk.
     */
    void writeAsync(long startNumber, double serviceTimeSeconds, int samples) {
        writer.execute(() -> writeNow(startNumber, serviceTimeSeconds, samples));
    }

    /** Waits for pending writes for a limited time. */
    @Override
    public void close() {
        writer.shutdown();
        try {
            writer.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
