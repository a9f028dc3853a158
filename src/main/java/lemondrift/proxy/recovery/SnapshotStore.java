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
 * Keeps a proxy's snapshots in a folder, on a thread of its own. A disk that fails costs no
 * exchange.
 */
final class SnapshotStore implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(SnapshotStore.class);
    private static final Path BOOT = Path.of("/proc/sys/kernel/random/boot_id");

    private final Path file;
    private final String name;
    private final String boot;
    private final ExecutorService thread =
            Executors.newSingleThreadExecutor(
                    task -> {
                        Thread its = new Thread(task, "keeper");
                        its.setDaemon(true);
                        return its;
                    });
    private volatile boolean failed;

    SnapshotStore(Path folder, String name) {
        file = folder.resolve(name + ".snap");
        this.name = name;
        boot = boot();
    }

    /** What tells one run of the machine from the next; empty where it does not say. */
    private static String boot() {
        try {
            return Files.readString(BOOT).strip();
        } catch (IOException | SecurityException e) {
            return "";
        }
    }

    private static double wall() {
        return System.currentTimeMillis() / 1e3;
    }

    /**
     * What is believed of the newest snapshot that can be read; any other is set aside with a line.
     */
    Snapshot.Trusted trusted() {
        for (Path each : List.of(file, SnapshotFile.before(file))) {
            if (!Files.exists(each)) {
                continue;
            }
            try {
                return SnapshotFile.read(each).trusted(name, boot, wall());
            } catch (IOException | RuntimeException e) {
                LOG.warn("recovery snapshot set aside: {}", e.toString().replace('\n', ' '));
                setAside(each);
            }
        }
        return Snapshot.Trusted.NOTHING;
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

    /** Writes before it returns; says whether that went well. */
    boolean keepNow(long start, double work, int answers) {
        try {
            SnapshotFile.write(file, new Snapshot(name, boot, start, wall(), work, answers));
            failed = false;
            return true;
        } catch (IOException | RuntimeException e) {
            // Danger: a full disk would fill the log as well.
            if (!failed) {
                LOG.warn("recovery snapshot not kept, {}", e.toString());
            }
            failed = true;
            return false;
        }
    }

    /** Writes soon. Danger: the owner's thread must not wait for a disk. */
    void keep(long start, double work, int answers) {
        thread.execute(() -> keepNow(start, work, answers));
    }

    @Override
    public void close() {
        thread.shutdown();
        try {
            thread.awaitTermination(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
