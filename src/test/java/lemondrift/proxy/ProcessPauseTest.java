package lemondrift.proxy;

import static lemondrift.proxy.DiscoveryMessages.activeMembers;
import static lemondrift.proxy.DiscoveryMessages.endpointList;
import static lemondrift.proxy.HttpMessages.OK;
import static lemondrift.proxy.HttpMessages.getRequest;
import static lemondrift.proxy.HttpMessages.readMessage;
import static lemondrift.proxy.HttpMessages.writeText;
import static lemondrift.proxy.TestConfig.TIMEOUT_MILLIS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a proxy process that is stopped by SIGSTOP while requests arrive and then continued. */
class ProcessPauseTest extends LoopbackFixture {
    /** Milliseconds of the pause. Long enough to be detected, and longer than the short timeout. */
    private static final long PAUSE_MILLIS = 900;

    /** Timeout of the request that times out during the pause, in milliseconds. */
    private static final int SHORT_TIMEOUT_MILLIS = 300;

    /** Milliseconds after which a read without a response fails the test. */
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    /** Number of clients that leave during the pause. */
    private static final int LEAVING_CLIENTS = 5;

    /** Waits until all threads are stopped: one still running could read a request. */
    private static void awaitStopped(Process child) throws Exception {
        for (boolean stopped = false; !stopped; ) {
            try (Stream<Path> threads =
                    Files.list(Path.of("/proc", String.valueOf(child.pid()), "task"))) {
                stopped = threads.allMatch(ProcessPauseTest::isStopped);
            }
        }
    }

    private static boolean isStopped(Path thread) {
        try {
            return Files.readString(thread.resolve("stat"))
                    .replaceFirst("(?s).*\\) ", "")
                    .startsWith("T");
        } catch (IOException e) {
            // The thread has ended.
            return true;
        }
    }

    private static Socket sendGet(int port, String traceId, int timeoutMillis) throws Exception {
        Socket client = new Socket("127.0.0.1", port);
        client.setSoTimeout(READ_TIMEOUT_MILLIS);
        writeText(client, getRequest(traceId, timeoutMillis));
        return client;
    }

    @Test
    void forwardsAfterPauseOnlyRequestsWhoseClientsStillWait(@TempDir Path folder)
            throws Exception {
        ScriptedServer backend = backend(OK);
        ScriptedServer fixedDiscovery =
                discoveryWithoutChanges(endpointList(1, true, activeMembers(backend.port())));
        int port = ProxyProcess.freePort();
        Path file =
                Files.writeString(
                        folder.resolve("config.json"),
                        TestConfig.withListenPort(config(fixedDiscovery.port()), port)
                                // Without this setting, a request with a shorter timeout than the
                                // others would be taken for a retry.
                                .replace(
                                        "\"siblings\":1,",
                                        "\"siblings\":1,\"clients\":{\"marksRetry\":true},"));
        Process child = ProxyProcess.start(file);
        try {
            BufferedReader log = child.inputReader();
            ProxyProcess.awaitLine(log, "serving");
            try (Socket before = sendGet(port, "before", TIMEOUT_MILLIS)) {
                assertTrue(readMessage(before).startsWith("HTTP/1.1 200"));
            }
            assertEquals(0, ProxyProcess.signal(child, "STOP"));
            awaitStopped(child);
            List<Socket> leaving = new ArrayList<>();
            for (int i = 0; i < LEAVING_CLIENTS; i++) {
                leaving.add(sendGet(port, "gone-" + i, TIMEOUT_MILLIS));
            }
            closeAll(leaving);
            Socket late = sendGet(port, "late", SHORT_TIMEOUT_MILLIS);
            Socket stays = sendGet(port, "stays", TIMEOUT_MILLIS);
            Thread.sleep(PAUSE_MILLIS);
            assertEquals(0, ProxyProcess.signal(child, "CONT"));
            String lateResponse = readMessage(late);
            assertTrue(
                    lateResponse.startsWith("HTTP/1.1 503"),
                    "expected 503 because the timeout has passed: " + lateResponse);
            assertTrue(readMessage(stays).startsWith("HTTP/1.1 200"));
            late.close();
            stays.close();
            try (Socket after = sendGet(port, "after", TIMEOUT_MILLIS)) {
                assertTrue(readMessage(after).startsWith("HTTP/1.1 200"));
            }
            List<String> forwarded =
                    backend.requests.stream()
                            .map(
                                    request ->
                                            request.replaceFirst(
                                                    "(?s).*X-Trace-Id: (\\S+).*", "$1"))
                            .toList();
            assertEquals(List.of("before", "stays", "after"), forwarded);
            child.destroy();
            assertEquals(0, child.waitFor());
        } finally {
            child.destroyForcibly();
        }
    }
}
