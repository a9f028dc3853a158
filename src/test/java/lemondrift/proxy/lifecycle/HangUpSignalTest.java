package lemondrift.proxy.lifecycle;

import static lemondrift.proxy.DiscoveryMessages.activeMembers;
import static lemondrift.proxy.DiscoveryMessages.endpointList;
import static lemondrift.proxy.HttpMessages.OK;
import static lemondrift.proxy.HttpMessages.getRequest;
import static lemondrift.proxy.HttpMessages.readMessage;
import static lemondrift.proxy.HttpMessages.writeText;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;
import lemondrift.proxy.LoopbackFixture;
import lemondrift.proxy.ProxyProcess;
import lemondrift.proxy.ScriptedServer;
import lemondrift.proxy.TestConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests proxy processes that receive SIGHUP during their start. */
class HangUpSignalTest extends LoopbackFixture {
    /** Step between the delays after which the processes receive the signals, in milliseconds. */
    private static final int DELAY_STEP_MILLIS = 25;

    /** Longest delay, in milliseconds. On an idle machine a process serves by then. */
    private static final int MAX_DELAY_MILLIS = 300;

    /** Number of signals that each process receives. */
    private static final int SIGNALS = 3;

    /** Milliseconds after which a read without a response fails the test. */
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    /** Seconds within which the shell must run its first command. */
    private static final int IGNORE_TIMEOUT_SECONDS = 5;

    /** Seconds within which a process must end. */
    private static final int END_TIMEOUT_SECONDS = 20;

    /** Seconds within which a process that serves must apply the new configuration. */
    private static final int RELOAD_TIMEOUT_SECONDS = 10;

    private static final String NEW_CLASS = "fresh";

    /** Bit of SIGHUP in the mask of ignored signals in /proc. */
    private static final long HANG_UP_BIT = 1;

    private static final int HEXADECIMAL = 16;

    private int port;

    private String configuration(ScriptedServer discoveryServer) {
        return TestConfig.withListenPort(config(discoveryServer.port()), port);
    }

    private static String withNewClass(String configuration) {
        String name = "\"name\":\"" + TestConfig.IDEMPOTENT_CLASS + "\"";
        int start = configuration.indexOf("{" + name);
        int end = configuration.indexOf('}', start) + 1;
        String requestClass =
                configuration.substring(start, end).replace(name, "\"name\":\"" + NEW_CLASS + "\"");
        return new StringBuilder(configuration).insert(end, "," + requestClass).toString();
    }

    /** Waits until the shell has run the first command of the deploy file. */
    private static void awaitHangUpIgnored(Process process) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(IGNORE_TIMEOUT_SECONDS);
        while (!ignoresHangUp(process)) {
            assertTrue(System.nanoTime() < deadline, "the process does not ignore SIGHUP");
        }
    }

    private static boolean ignoresHangUp(Process process) throws Exception {
        Path status = Path.of("/proc", String.valueOf(process.pid()), "status");
        long ignored =
                Files.readAllLines(status).stream()
                        .filter(line -> line.startsWith("SigIgn:"))
                        .map(line -> line.substring("SigIgn:".length()).trim())
                        .mapToLong(mask -> Long.parseLong(mask, HEXADECIMAL))
                        .sum();
        return (ignored & HANG_UP_BIT) != 0;
    }

    private String statusOfNewClass(int number) throws Exception {
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(READ_TIMEOUT_MILLIS);
            writeText(client, getRequest("r" + number, NEW_CLASS, TestConfig.TIMEOUT_MILLIS));
            return readMessage(client).substring("HTTP/1.1 ".length()).substring(0, 3);
        }
    }

    private void awaitNewClass(int delayMillis) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(RELOAD_TIMEOUT_SECONDS);
        String status = "";
        for (int number = 0; !status.equals("200"); number++) {
            assertTrue(
                    System.nanoTime() < deadline,
                    "signal sent after " + delayMillis + " ms, last response status: " + status);
            status = statusOfNewClass(number);
        }
    }

    /** Guards against a reload signal during the start that ends the process or is lost. */
    @Test
    void readsTheNewFileWheneverSignalledDuringTheStart(@TempDir Path folder) throws Exception {
        ScriptedServer backend = backend(OK);
        ScriptedServer discoveryServer =
                discoveryWithoutChanges(endpointList(1, true, activeMembers(backend.port())));
        Path file = folder.resolve("config.json");
        for (int delay = 0; delay <= MAX_DELAY_MILLIS; delay += DELAY_STEP_MILLIS) {
            port = ProxyProcess.freePort();
            Files.writeString(file, configuration(discoveryServer));
            Process process = ProxyProcess.startAsDeployed(file);
            try {
                awaitHangUpIgnored(process);
                Thread.sleep(delay);
                Path next = folder.resolve("next.json");
                Files.writeString(next, withNewClass(configuration(discoveryServer)));
                Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
                for (int i = 0; i < SIGNALS; i++) {
                    assertEquals(0, ProxyProcess.signal(process, "HUP"));
                }
                BufferedReader log = process.inputReader();
                ProxyProcess.awaitLine(log, "serving");
                awaitNewClass(delay);
                assertEquals(0, ProxyProcess.signal(process, "TERM"));
                log.lines().forEach(line -> {});
                assertTrue(process.waitFor(END_TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue(), "signal sent after " + delay + " ms");
            } finally {
                process.destroyForcibly();
            }
        }
    }
}
