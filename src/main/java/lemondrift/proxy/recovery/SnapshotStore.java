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
 * Stores a proxy's snapshots in a folder, on a thread of its own. A disk that fails leaves a line
 * in the log and costs no request.
 */
final class SnapshotStore implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(SnapshotStore.class);

    /** Linux tells one run of the machine from the next here. */
    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

    /** Seconds that the last write may take at the end. */
    private static final long CLOSE_TIMEOUT_SECONDS = 1;

    private final Path file;
    private final String proxyName;

    /** Empty where the machine does not tell. */
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

    /** What is used of the newest snapshot that can be read; any other is set aside. */
    Snapshot.RestoredValues restoreNewest() {
        for (Path candidate : List.of(file, SnapshotFile.previousFile(file))) {
            if (!Files.exists(candidate)) {
                continue;
            }
            try {
                return SnapshotFile.read(candidate).restore(proxyName, bootId, wallSeconds());
            } catch (IOException | RuntimeException e) {
                // Wide, as whatever a file holds must not keep the proxy from starting.
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
     * Writes a snapshot before it returns.
     *
     * @return whether it was written
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
            // Wide, as the proxy serves on without a snapshot.
            logFirstFailure(e);
            return false;
        }
    }

    /** Guards against a full disk filling the log as well. */
    private void logFirstFailure(Exception cause) {
        if (!lastWriteFailed) {
            LOG.warn("recovery snapshot not kept, {}", cause.toString());
        }
        lastWriteFailed = true;
    }

    /** Has a snapshot written soon, as the decision loop's thread must not wait for a disk. */
    void writeAsync(long startNumber, double serviceTimeSeconds, int samples) {
        writer.execute(() -> writeNow(startNumber, serviceTimeSeconds, samples));
    }

    /** Waits a bounded time until what is to be written is. */
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
