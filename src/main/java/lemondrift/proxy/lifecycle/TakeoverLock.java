package lemondrift.proxy.lifecycle;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import lemondrift.hotrestart.ResourceSplit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;

/**
 * Shows processes of one proxy each other through two locked files: who holds the first one serves,
 * who holds the second one waits to follow. The system releases a lock however its process ends, so
 * that none can be stale. Not thread-safe, and a look blocks on the file system.
 */
public final class TakeoverLock {
    private static final Logger LOG = LoggerFactory.getLogger(TakeoverLock.class);

    private final Path servingFile;
    private final Path waitingFile;
    private final ResourceSplit resourceSplit = new ResourceSplit();

    /** Null until it is opened. */
    private FileChannel servingChannel;

    /** Null until it is opened. */
    private FileChannel waitingChannel;

    /** Null while this process doesn't hold it. */
    private FileLock servingLock;

    /** Null while this process doesn't hold it. */
    private FileLock waitingLock;

    private boolean failureLogged;

    /**
     * A lock in a folder that all processes of the proxy use, under the proxy's name; characters
     * that a file name may not have are replaced.
     */
    public TakeoverLock(Path folder, String proxyName) {
        String fileName = proxyName.replaceAll("[^A-Za-z0-9._-]", "_");
        servingFile = folder.resolve("lemondrift-" + fileName + ".serving");
        waitingFile = folder.resolve("lemondrift-" + fileName + ".waiting");
    }

    /** Among how many processes the proxy's resources are divided, as of the last look. */
    public int processCount() {
        return resourceSplit.processCount();
    }

    /**
     * Looks which processes live, and takes the locks that are free for this one. Where the files
     * can't be locked, another process is assumed to live.
     *
     * @return whether what this process is beside others has changed
     */
    public boolean refresh() {
        try {
            acquireFreeLocks();
            boolean serving = servingLock != null;
            boolean changed = resourceSplit.update(serving, serving && hasFollower());
            if (changed) {
                LOG.info(
                        "resource split among the processes of this proxy: {}",
                        resourceSplit.state());
            }
            return changed;
        } catch (IOException e) {
            if (!failureLogged) {
                LOG.warn(
                        "not known whether another process serves, half of all is used: {}",
                        e.toString());
            }
            failureLogged = true;
            return resourceSplit.update(false, false);
        }
    }

    private void acquireFreeLocks() throws IOException {
        if (servingLock == null) {
            servingChannel = servingChannel == null ? open(servingFile) : servingChannel;
            servingLock = tryLock(servingChannel);
        }
        if (servingLock == null && waitingLock == null) {
            waitingChannel = waitingChannel == null ? open(waitingFile) : waitingChannel;
            waitingLock = tryLock(waitingChannel);
        } else if (servingLock != null && waitingLock != null) {
            waitingLock.release();
            waitingLock = null;
        }
    }

    private boolean hasFollower() throws IOException {
        // Guards against the system releasing all locks of a process on a file when one of its
        // channels is closed: this process holds none on this file.
        waitingChannel = waitingChannel == null ? open(waitingFile) : waitingChannel;
        FileLock free = tryLock(waitingChannel);
        if (free != null) {
            free.release();
        }
        return free == null;
    }

    private static FileChannel open(Path file) throws IOException {
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Null where another process, or another lock of this one, holds it. */
    private static FileLock tryLock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    /** Releases both locks. */
    public void close() {
        IoUtils.safeClose(servingChannel);
        IoUtils.safeClose(waitingChannel);
    }
}
