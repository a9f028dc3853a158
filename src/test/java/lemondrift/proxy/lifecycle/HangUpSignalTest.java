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

/** Real processes that get SIGHUP while they start. */
class HangUpSignalTest extends LoopbackFixture {
    /** Milliseconds between the delays after which the processes get the signals. */
    private static final int DELAY_STEP_MILLIS = 25;

    /** The longest delay, by which a process serves on a quiet machine. */
    private static final int MAX_DELAY_MILLIS = 300;

    /** How many signals a process gets. */
    private static final int SIGNALS = 3;

    /** Milliseconds after which a response counts as missing. */
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    /** Seconds in which the shell has to run its first command. */
    private static final int IGNORE_TIMEOUT_SECONDS = 5;

    /** Seconds in which a process has to end. */
    private static final int END_TIMEOUT_SECONDS = 20;

    /** Seconds in which the new configuration has to hold once the process serves. */
    private static final int RELOAD_TIMEOUT_SECONDS = 10;

    private static final String NEW_CLASS = "fresh";

    /** The signal's bit among the ignored ones in /proc. */
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
            assertTrue(System.nanoTime() < deadline, "SIGHUP is not ignored from the start");
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
                    "signalled after " + delayMillis + " ms, still answers " + status);
            status = statusOfNewClass(number);
        }
    }

    /** Guards against a process that a reload signal ends during its start, or that forgets it. */
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
                assertEquals(0, process.exitValue(), "signalled after " + delay + " ms");
            } finally {
                process.destroyForcibly();
            }
        }
    }
}
