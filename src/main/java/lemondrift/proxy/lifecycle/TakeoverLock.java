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
 * Where two processes of one proxy find out about one another: two files that they lock. The system
 * lets go of a lock however its process ends, so that nothing here can be stale. Its looks are for
 * a thread that may wait.
 */
public final class TakeoverLock {
    private static final Logger LOG = LoggerFactory.getLogger(TakeoverLock.class);

    private final Path serving;
    private final Path waiting;
    private final ResourceSplit succession = new ResourceSplit();
    private FileChannel servingFile;
    private FileChannel waitingFile;
    private FileLock serves;
    private FileLock waits;
    private boolean failed;

    /** In a folder that both have, under a name that is the proxy's. */
    public TakeoverLock(Path folder, String name) {
        String plain = name.replaceAll("[^A-Za-z0-9._-]", "_");
        serving = folder.resolve("lemondrift-" + plain + ".serving");
        waiting = folder.resolve("lemondrift-" + plain + ".waiting");
    }

    /** Among how many processes all is shared now. */
    public int processes() {
        return succession.processes();
    }

    /**
     * Looks who is there; whether that has changed anything. Where it can't see, it does as with
     * another.
     */
    public boolean look() {
        try {
            if (serves == null) {
                servingFile = servingFile == null ? open(serving) : servingFile;
                serves = lock(servingFile);
            }
            if (serves == null && waits == null) {
                waitingFile = waitingFile == null ? open(waiting) : waitingFile;
                waits = lock(waitingFile);
            } else if (serves != null && waits != null) {
                waits.release();
                waits = null;
            }
            boolean changed = succession.looked(serves != null, serves != null && isFollowed());
            if (changed) {
                LOG.info("of the processes of this proxy this one is {}", succession.state());
            }
            return changed;
        } catch (IOException e) {
            if (!failed) {
                LOG.warn(
                        "not known whether another process serves, half of all is used: {}",
                        e.toString());
            }
            failed = true;
            return succession.looked(false, false);
        }
    }

    private boolean isFollowed() throws IOException {
        // Danger: the system lets go of all a process has locked of a file when it closes that file
        // once; of
        // this one it has nothing locked.
        waitingFile = waitingFile == null ? open(waiting) : waitingFile;
        FileLock free = lock(waitingFile);
        if (free != null) {
            free.release();
        }
        return free == null;
    }

    private static FileChannel open(Path file) throws IOException {
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    /** Null where somebody else has it. */
    private static FileLock lock(FileChannel file) throws IOException {
        try {
            return file.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    public void leave() {
        IoUtils.safeClose(servingFile);
        IoUtils.safeClose(waitingFile);
    }
}
