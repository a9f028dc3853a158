package lemondrift.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.lifecycle.TakeoverLock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Processes of one proxy that find each other through the locked files. */
class TakeoverLockTest {
    /** Another process, which says a line when it has looked, and then lives on. */
    public static final class OtherProcess {
        private OtherProcess() {}

        public static void main(String[] args) throws IOException {
            TakeoverLock takeoverLock = new TakeoverLock(Path.of(args[0]), "n/0");
            takeoverLock.refresh();
            System.out.println(takeoverLock.processCount());
            System.in.read();
        }
    }

    private static Process startOther(Path folder) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        return new ProcessBuilder(
                        java,
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
    void aFollowerMakesThemTwoAndItsEndMakesThemOne(@TempDir Path folder) throws Exception {
        TakeoverLock own = new TakeoverLock(folder, "n/0");
        assertTrue(own.refresh());
        assertEquals(1, own.processCount());
        Process follower = startOther(folder);
        assertEquals(2, reportedCount(follower), "it sees that another one serves");
        assertTrue(own.refresh());
        assertEquals(2, own.processCount());
        follower.destroyForcibly().waitFor();
        assertTrue(own.refresh(), "killed outright it has left nothing behind");
        assertEquals(1, own.processCount());
        own.close();
    }

    @Test
    void aServingProcessThatIsKilledLeavesAllToTheOther(@TempDir Path folder) throws Exception {
        Process serving = startOther(folder);
        assertEquals(1, reportedCount(serving));
        TakeoverLock own = new TakeoverLock(folder, "n/0");
        own.refresh();
        assertEquals(2, own.processCount());
        own.refresh();
        assertEquals(2, own.processCount());
        serving.destroyForcibly().waitFor();
        assertTrue(own.refresh());
        assertEquals(1, own.processCount());
        own.close();
    }

    @Test
    void aProcessOfAnotherNameIsAnotherProxy(@TempDir Path folder) throws Exception {
        Process other = startOther(folder);
        reportedCount(other);
        TakeoverLock own = new TakeoverLock(folder, "n/1");
        own.refresh();
        assertEquals(1, own.processCount());
        own.close();
        other.destroyForcibly().waitFor();
    }

    @Test
    void whereTheFilesCannotBeLockedHalfIsUsed(@TempDir Path folder) throws Exception {
        TakeoverLock own = new TakeoverLock(Files.createFile(folder.resolve("no-folder")), "n/0");
        own.refresh();
        assertEquals(2, own.processCount());
    }

    @Test
    void twoTogetherKeepWithinTheDescriptorsOfOne() {
        for (int sockets : new int[] {256, 384, 1024}) {
            ProxyConfig config =
                    ProxyConfig.read(
                            new LoopbackFixture() {}.config(1, false)
                                    .replace("\"sockets\":64", "\"sockets\":" + sockets));
            double perProcess =
                    40
                            + config.connectionShare(2)
                                    * (config.connectionLimits().acceptLimit()
                                            + 0.33 * config.maxConnections());
            assertTrue(2 * perProcess <= sockets, "two hold " + 2 * perProcess);
            assertEquals(1, config.connectionShare(1));
        }
    }
}
