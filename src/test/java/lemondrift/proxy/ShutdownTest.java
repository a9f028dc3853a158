package lemondrift.proxy;

import static lemondrift.proxy.DaemonThreads.startDaemon;
import static lemondrift.proxy.DiscoveryMessages.activeMembers;
import static lemondrift.proxy.DiscoveryMessages.endpointList;
import static lemondrift.proxy.HttpMessages.OK;
import static lemondrift.proxy.HttpMessages.postHead;
import static lemondrift.proxy.HttpMessages.readMessage;
import static lemondrift.proxy.HttpMessages.writeText;
import static lemondrift.proxy.ScriptedServer.SILENCE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests a proxy process at SIGTERM: under load, at each step of its start and without discovery.
 */
class ShutdownTest extends LoopbackFixture {
    private static final int CLIENTS = 8;

    /** Number of responses that the clients receive before the signal. */
    private static final int RESPONSES_BEFORE_SIGNAL = 50;

    /** Time after SIGTERM during which clients still open connections. */
    private static final long CONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

    /** Seconds within which a process must call discovery or end. */
    private static final int STEP_TIMEOUT_SECONDS = 10;

    /** Milliseconds after which a read without a response fails the test. */
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    /** Latency objective of both classes, in milliseconds. */
    private static final int LATENCY_OBJECTIVE_MILLIS = 400;

    /** Timeout of both classes and of the clients, in milliseconds. */
    private static final int TIMEOUT_MILLIS = 1000;

    private final ConcurrentLinkedQueue<String> lost = new ConcurrentLinkedQueue<>();
    private final AtomicInteger responses = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private volatile long signalledAt = Long.MAX_VALUE;
    private int port;

    private Path configFile(Path folder, ScriptedServer discoveryServer) throws IOException {
        port = ProxyProcess.freePort();
        return Files.writeString(
                folder.resolve("config.json"),
                TestConfig.withListenPort(
                        TestConfig.withSockets(
                                TestConfig.withClassTimes(
                                        config(discoveryServer.port()),
                                        LATENCY_OBJECTIVE_MILLIS,
                                        TIMEOUT_MILLIS),
                                512),
                        port));
    }

    /**
     * Sends requests one after another. Uses each connection until it is closed, and opens new ones
     * until the time for that is over.
     */
    private void runClient(int number) throws Exception {
        while (System.nanoTime() - signalledAt < CONNECT_NANOS) {
            try (Socket client = new Socket("127.0.0.1", port)) {
                client.setSoTimeout(READ_TIMEOUT_MILLIS);
                boolean closes = false;
                for (int i = 0; !closes; i++) {
                    String traceId = number + "-" + sent.incrementAndGet();
                    String response = sendPost(client, traceId);
                    if (response == null && i == 0) {
                        lost.add(traceId + " on a new connection");
                    } else if (response == null) {
                        // The connection was closed between requests and nothing of this one was
                        // read, so the client can safely send it elsewhere.
                        break;
                    } else if (!response.matches("(?s)HTTP/1.1 (200|502|503) .*")) {
                        lost.add(traceId + ": " + response);
                    }
                    responses.incrementAndGet();
                    closes =
                            response == null
                                    || response.toLowerCase(Locale.ROOT)
                                            .contains("connection: close");
                }
            } catch (IOException e) {
                // The connection was refused because the process has ended.
                assertTrue(System.nanoTime() > signalledAt, e.toString());
                return;
            }
        }
    }

    /** Sends a request. Returns the response, or null if the connection is closed without one. */
    private static String sendPost(Socket client, String traceId) {
        try {
            writeText(client, postHead(traceId, TIMEOUT_MILLIS, "Content-Length: 1") + "x");
            return readMessage(client);
        } catch (IOException e) {
            return null;
        }
    }

    private ScriptedServer discoveryWith(ScriptedServer... backends) throws IOException {
        return discoveryWithoutChanges(endpointList(1, true, activeMembers(ports(backends))));
    }

    private void assertEnds(Process child) throws Exception {
        assertTrue(
                child.waitFor(STEP_TIMEOUT_SECONDS, TimeUnit.SECONDS), "the process did not end");
        assertEquals(0, child.exitValue());
    }

    /**
     * Guards against losing a request at SIGTERM. The signal is sent twice with SIGHUP in between,
     * while clients send a request after every response and half of the backends hang.
     */
    @Test
    void losesNoRequestUnderLoad(@TempDir Path folder) throws Exception {
        ScriptedServer discoveryServer =
                discoveryWith(backend(OK), backend(OK), backend(SILENCE), backend(SILENCE));
        Process child = ProxyProcess.start(configFile(folder, discoveryServer));
        try {
            BufferedReader log = child.inputReader();
            ProxyProcess.awaitLine(log, "serving");
            startDaemon(() -> log.lines().forEach(line -> {}));
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread thread =
                        new Thread(
                                () -> {
                                    try {
                                        runClient(number);
                                    } catch (Exception | AssertionError e) {
                                        lost.add(e.toString());
                                    }
                                });
                thread.start();
                clients.add(thread);
            }
            while (responses.get() < RESPONSES_BEFORE_SIGNAL) {
                Thread.onSpinWait();
            }
            signalledAt = System.nanoTime();
            assertEquals(0, ProxyProcess.signal(child, "TERM"));
            assertEquals(0, ProxyProcess.signal(child, "HUP"));
            assertEquals(0, ProxyProcess.signal(child, "TERM"));
            for (Thread thread : clients) {
                thread.join();
            }
            assertEnds(child);
            assertEquals(List.of(), List.copyOf(lost));
        } finally {
            child.destroyForcibly();
        }
    }

    @Test
    void exitsWithZeroAtEachStepOfTheStart(@TempDir Path folder) throws Exception {
        ScriptedServer discoveryServer = discoveryWith();
        for (String step : List.of("warm-up-0", "warmed up, ", "starts, listens on", "serving")) {
            Process child = ProxyProcess.start(configFile(folder, discoveryServer));
            try {
                ProxyProcess.awaitLine(child.inputReader(), step);
                assertEquals(0, ProxyProcess.signal(child, "TERM"));
                child.inputReader().lines().forEach(line -> {});
                assertEnds(child);
            } finally {
                child.destroyForcibly();
            }
        }
    }

    @Test
    void exitsWithZeroWhileDiscoveryIsSilent(@TempDir Path folder) throws Exception {
        ScriptedServer discoveryServer = scriptedServer(request -> SILENCE);
        Process child = ProxyProcess.start(configFile(folder, discoveryServer));
        try {
            ProxyProcess.awaitLine(child.inputReader(), "serving");
            assertNotNull(discoveryServer.requests.poll(STEP_TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertEquals(0, ProxyProcess.signal(child, "TERM"));
            child.inputReader().lines().forEach(line -> {});
            assertEnds(child);
        } finally {
            child.destroyForcibly();
        }
    }
}
