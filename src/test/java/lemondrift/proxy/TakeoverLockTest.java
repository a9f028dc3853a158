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

/** Processes of one proxy that find out about one another. */
class TakeoverLockTest {
    /** Another process, which says a line when it has looked and then stays. */
    public static final class Other {
        private Other() {}

        public static void main(String[] args) throws IOException {
            TakeoverLock takeoverLock = new TakeoverLock(Path.of(args[0]), "n/0");
            takeoverLock.look();
            System.out.println(takeoverLock.processes());
            System.in.read();
        }
    }

    private static Process other(Path folder) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        return new ProcessBuilder(
                        java,
                        "-Xmx32m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Other.class.getName(),
                        folder.toString())
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    private static int said(Process process) throws IOException {
        for (String line; (line = process.inputReader().readLine()) != null; ) {
            if (line.length() == 1) {
                return Integer.parseInt(line);
            }
        }
        return -1;
    }

    @Test
    void aSuccessorMakesThemTwoAndAnEndMakesThemOne(@TempDir Path folder) throws Exception {
        TakeoverLock own = new TakeoverLock(folder, "n/0");
        assertTrue(own.look());
        assertEquals(1, own.processes());
        Process next = other(folder);
        assertEquals(2, said(next), "it knows that somebody serves");
        assertTrue(own.look());
        assertEquals(2, own.processes());
        next.destroyForcibly().waitFor();
        assertTrue(own.look(), "killed outright it has left nothing behind");
        assertEquals(1, own.processes());
        own.leave();
    }

    @Test
    void aPredecessorThatIsKilledLeavesAll(@TempDir Path folder) throws Exception {
        Process old = other(folder);
        assertEquals(1, said(old));
        TakeoverLock own = new TakeoverLock(folder, "n/0");
        own.look();
        assertEquals(2, own.processes());
        own.look();
        assertEquals(2, own.processes());
        old.destroyForcibly().waitFor();
        assertTrue(own.look());
        assertEquals(1, own.processes());
        own.leave();
    }

    @Test
    void oneOfAnotherNameIsAnotherProxy(@TempDir Path folder) throws Exception {
        Process other = other(folder);
        said(other);
        TakeoverLock own = new TakeoverLock(folder, "n/1");
        own.look();
        assertEquals(1, own.processes());
        own.leave();
        other.destroyForcibly().waitFor();
    }

    @Test
    void whereNothingCanBeSeenHalfIsUsed(@TempDir Path folder) throws Exception {
        TakeoverLock own = new TakeoverLock(Files.createFile(folder.resolve("no-folder")), "n/0");
        own.look();
        assertEquals(2, own.processes());
    }

    @Test
    void twoTogetherKeepWithinTheDescriptorsOfOne() {
        for (int sockets : new int[] {256, 384, 1024}) {
            ProxyConfig config =
                    ProxyConfig.read(
                            new LoopbackFixture() {}.config(1, false)
                                    .replace("\"sockets\":64", "\"sockets\":" + sockets));
            double each =
                    40
                            + config.connectionShare(2)
                                    * (config.connectionLimits().last()
                                            + 0.33 * config.maxConnections());
            assertTrue(2 * each <= sockets, "two hold " + 2 * each);
            assertEquals(1, config.connectionShare(1));
        }
    }
}
