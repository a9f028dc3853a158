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
 * Lets processes of one proxy detect each other with two locked files. The process that holds the
 * lock on the first file serves, the one that holds the lock on the second waits to take over. The
 * operating system releases a lock however its process ends, so no lock can become stale. Not
 * thread-safe. {@link #refresh} blocks on the file system.
 */
public final class TakeoverLock {
    private static final Logger LOG = LoggerFactory.getLogger(TakeoverLock.class);

    private final Path servingFile;
    private final Path waitingFile;
    private final ResourceSplit resourceSplit = new ResourceSplit();

    /** Null until the file is opened. */
    private FileChannel servingChannel;

    /** Null until the file is opened. */
    private FileChannel waitingChannel;

    /** Null while this process does not hold the lock. */
    private FileLock servingLock;

    /** Null while this process does not hold the lock. */
    private FileLock waitingLock;

    private boolean failureLogged;

    /**
     * Creates a lock that is not held yet.
     *
     * @param folder the folder of the lock files, shared by all processes of the proxy
     * @param proxyName the name of the proxy, which becomes part of the file names; characters
     *     other than letters, digits, '.', '_' and '-' are replaced
     */
    public TakeoverLock(Path folder, String proxyName) {
        String fileName = proxyName.replaceAll("[^A-Za-z0-9._-]", "_");
        servingFile = folder.resolve("lemondrift-" + fileName + ".serving");
        waitingFile = folder.resolve("lemondrift-" + fileName + ".waiting");
    }

    /**
     * Returns the number of processes among which the proxy's resources are divided, 1 or 2, as of
     * the last refresh.
     */
    public int processCount() {
        return resourceSplit.processCount();
    }

    /**
     * Detects which processes run, and acquires the locks that are free. If the files cannot be
     * locked, assumes that another process runs.
     *
     * @return true if the state of the resource split has changed
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
        // The system releases all locks of a process on a file when one of its channels is closed.
        // This process holds no lock on this file here, so none can be lost.
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

    /** Returns null if another process, or this process through another channel, holds the lock. */
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
