package lemondrift.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import lemondrift.proxy.ProxyProcess;
import lemondrift.proxy.TestConfig;
import lemondrift.proxy.config.ProxyConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests how processes of one proxy detect each other by locked files and share descriptors. */
class TakeoverLockTest {
    /** Number of descriptors of a process that are used neither for clients nor for backends. */
    private static final int RESERVED_DESCRIPTORS = 40;

    /** Share of the other descriptors that connections to backends may use, 0 to 1. */
    private static final double BACKEND_SHARE = 0.33;

    /** Another process. Prints the process count after its first refresh and keeps running. */
    public static final class OtherProcess {
        private OtherProcess() {}

        public static void main(String[] args) throws IOException {
            TakeoverLock takeoverLock = new TakeoverLock(Path.of(args[0]), "n/0");
            takeoverLock.refresh();
            System.out.println(takeoverLock.processCount());
            System.in.read();
        }
    }

    private static Process startOtherProcess(Path folder) throws IOException {
        return new ProcessBuilder(
                        ProxyProcess.javaCommand(),
                        "-Xmx32m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        OtherProcess.class.getName(),
                        folder.toString())
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    private static int reportedCount(Process process) throws IOException {
        for (String line; (line = process.inputReader().readLine()) != null; ) {
            if (line.length() == 1) {
                return Integer.parseInt(line);
            }
        }
        return -1;
    }

    @Test
    void countsTwoProcessesWhileFollowerLives(@TempDir Path folder) throws Exception {
        TakeoverLock ownLock = new TakeoverLock(folder, "n/0");
        assertTrue(ownLock.refresh());
        assertEquals(1, ownLock.processCount());
        Process follower = startOtherProcess(folder);
        assertEquals(
                2, reportedCount(follower), "the follower must detect that another process serves");
        assertTrue(ownLock.refresh());
        assertEquals(2, ownLock.processCount());
        follower.destroyForcibly().waitFor();
        assertTrue(ownLock.refresh(), "the lock of a killed process must be released");
        assertEquals(1, ownLock.processCount());
        ownLock.close();
    }

    @Test
    void countsOneProcessAfterServingProcessIsKilled(@TempDir Path folder) throws Exception {
        Process serving = startOtherProcess(folder);
        assertEquals(1, reportedCount(serving));
        TakeoverLock ownLock = new TakeoverLock(folder, "n/0");
        ownLock.refresh();
        assertEquals(2, ownLock.processCount());
        ownLock.refresh();
        assertEquals(2, ownLock.processCount());
        serving.destroyForcibly().waitFor();
        assertTrue(ownLock.refresh());
        assertEquals(1, ownLock.processCount());
        ownLock.close();
    }

    @Test
    void doesNotCountProcessOfAnotherProxy(@TempDir Path folder) throws Exception {
        Process other = startOtherProcess(folder);
        reportedCount(other);
        TakeoverLock ownLock = new TakeoverLock(folder, "n/1");
        ownLock.refresh();
        assertEquals(1, ownLock.processCount());
        ownLock.close();
        other.destroyForcibly().waitFor();
    }

    @Test
    void assumesTwoProcessesWhenFilesCannotBeLocked(@TempDir Path folder) throws Exception {
        TakeoverLock ownLock =
                new TakeoverLock(Files.createFile(folder.resolve("no-folder")), "n/0");
        ownLock.refresh();
        assertEquals(2, ownLock.processCount());
    }

    @Test
    void twoProcessesKeepWithinDescriptorsOfOne() {
        for (int sockets : new int[] {256, 384, 1024}) {
            ProxyConfig config =
                    ProxyConfig.read(
                            TestConfig.withSockets(
                                    TestConfig.json(TestConfig.UNUSED_PORT), sockets));
            double perProcess =
                    RESERVED_DESCRIPTORS
                            + config.connectionShare(2)
                                    * (config.connectionLimits().acceptLimit()
                                            + BACKEND_SHARE * config.maxConnections());
            assertTrue(2 * perProcess <= sockets, "two processes hold " + 2 * perProcess);
            assertEquals(1, config.connectionShare(1));
        }
    }
}
