package lemondrift.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A real process that stands still while requests come; on loopback. */
class ProcessPauseTest extends LoopbackFixture {
    /** Time enough to be noticed as a pause, and for the short request's to pass. */
    private static final long STILL = 900;

    /**
     * Danger: one thread takes the signal and stops the others, which may read a request until
     * then.
     */
    private static void awaitStill(Process child) throws Exception {
        for (boolean still = false; !still; ) {
            try (Stream<Path> threads =
                    Files.list(Path.of("/proc", String.valueOf(child.pid()), "task"))) {
                still = threads.allMatch(ProcessPauseTest::isStill);
            }
        }
    }

    private static boolean isStill(Path thread) {
        try {
            return Files.readString(thread.resolve("stat"))
                    .replaceFirst("(?s).*\\) ", "")
                    .startsWith("T");
        } catch (IOException e) {
            // It has ended.
            return true;
        }
    }

    private static Socket ask(int port, String trace, int milliseconds) throws Exception {
        Socket client = new Socket("127.0.0.1", port);
        client.setSoTimeout(10_000);
        client.getOutputStream()
                .write(
                        ("GET / HTTP/1.1\r\nHost: a\r\nX-Trace-Id: "
                                        + trace
                                        + "\r\nX-Qos: look\r\nX-Expires-In-Ms: "
                                        + milliseconds
                                        + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
        return client;
    }

    @Test
    void whatWaitedInItsSocketsIsSentOnOnlyWhileSomebodyWaitsAndHasTime(@TempDir Path folder)
            throws Exception {
        StandIn backend = backend(OK);
        StandIn agent =
                new StandIn(
                        request ->
                                request.contains("?")
                                        ? SILENCE
                                        : http(list(1, true, member(0, backend.port(), "active"))));
        int port = freePort();
        Path file =
                Files.writeString(
                        folder.resolve("config.json"),
                        config(agent.port(), false)
                                .replace("127.0.0.1:0", "127.0.0.1:" + port)
                                // Else one with less time than the others is taken for a retry.
                                .replace(
                                        "\"siblings\":1,",
                                        "\"siblings\":1,\"clients\":{\"marksRetry\":true},"));
        Process child = process(file);
        try {
            BufferedReader log = child.inputReader();
            awaitLine(log, "serving");
            try (Socket before = ask(port, "before", 4000)) {
                assertTrue(read(before).startsWith("HTTP/1.1 200"));
            }
            signal(child, "STOP");
            awaitStill(child);
            List<Socket> gone = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                gone.add(ask(port, "gone-" + i, 4000));
            }
            for (Socket each : gone) {
                each.close();
            }
            Socket late = ask(port, "late", 300);
            Socket stays = ask(port, "stays", 4000);
            Thread.sleep(STILL);
            signal(child, "CONT");
            assertTrue(read(late).startsWith("HTTP/1.1 503"), "its time has passed");
            assertTrue(read(stays).startsWith("HTTP/1.1 200"));
            late.close();
            stays.close();
            try (Socket after = ask(port, "after", 4000)) {
                assertTrue(read(after).startsWith("HTTP/1.1 200"));
            }
            List<String> sent =
                    backend.requests.stream()
                            .map(each -> each.replaceFirst("(?s).*X-Trace-Id: (\\S+).*", "$1"))
                            .toList();
            assertEquals(List.of("before", "stays", "after"), sent);
            child.destroy();
            assertEquals(0, child.waitFor());
        } finally {
            child.destroyForcibly();
        }
    }
}
