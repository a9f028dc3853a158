package lemondrift.proxy;

import static lemondrift.proxy.DaemonThreads.startDaemon;
import static lemondrift.proxy.DiscoveryMessages.activeMembers;
import static lemondrift.proxy.DiscoveryMessages.endpointList;
import static lemondrift.proxy.HttpMessages.getRequest;
import static lemondrift.proxy.HttpMessages.readMessage;
import static lemondrift.proxy.HttpMessages.writeText;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lemondrift.proxy.lifecycle.ProxyLauncher;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a proxy at SIGTERM, and when it is quiesced, while clients take long responses. */
class LongResponseShutdownTest extends LoopbackFixture {
    /** Latency objective of both classes, in milliseconds. */
    private static final int LATENCY_OBJECTIVE_MILLIS = 300;

    /** Timeout of both classes, in milliseconds. */
    private static final int TIMEOUT_MILLIS = 400;

    /** Time from SIGTERM at which everything but long responses has ended, in milliseconds. */
    private static final int SERVICE_ENDS_MILLIS = TIMEOUT_MILLIS + 600;

    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final int END_TIMEOUT_MILLIS = 10_000;

    /** Time that a process may take from its last response to its end, in milliseconds. */
    private static final int EXIT_MILLIS = 1500;

    /** Time within which a connection closes after its last response, in milliseconds. */
    private static final int CLOSE_TIMEOUT_MILLIS = 500;

    /** A response of 4 MB within 4 s. */
    private static final int PIECES = 80;

    private static final int PIECE_BYTES = 50_000;
    private static final int PIECE_INTERVAL_MILLIS = 50;

    @TempDir private Path folder;
    private PacedBackend backend;
    private int port;
    private Process child;

    @BeforeEach
    void startBackend() throws IOException {
        backend = new PacedBackend(PIECES, PIECE_BYTES, PIECE_INTERVAL_MILLIS);
    }

    @AfterEach
    void stopProcess() throws IOException {
        if (child != null) {
            child.destroyForcibly();
        }
        backend.close();
    }

    private void startProcess(Map<String, String> environment) throws IOException {
        ScriptedServer discoveryServer =
                discoveryWithoutChanges(endpointList(1, true, activeMembers(backend.port())));
        port = ProxyProcess.freePort();
        String json =
                TestConfig.withListenPort(
                        TestConfig.withClassTimes(
                                config(discoveryServer.port()),
                                LATENCY_OBJECTIVE_MILLIS,
                                TIMEOUT_MILLIS),
                        port);
        child =
                ProxyProcess.start(
                        Files.writeString(folder.resolve("config.json"), json), environment);
        BufferedReader log = child.inputReader();
        ProxyProcess.awaitLine(log, "serving");
        startDaemon(() -> log.lines().forEach(line -> {}));
    }

    private Socket connectToProcess() throws IOException {
        Socket client = new Socket("127.0.0.1", port);
        client.setSoTimeout(READ_TIMEOUT_MILLIS);
        return client;
    }

    /** Sends a request and reads the head of its long response. */
    private Socket startLongResponse(String traceId) throws IOException {
        Socket client = connectToProcess();
        writeText(client, getRequest(traceId, TIMEOUT_MILLIS));
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) client.getInputStream().read());
        }
        assertTrue(head.toString().startsWith("HTTP/1.1 200 "), head.toString());
        return client;
    }

    /** Reads until the connection ends. Returns the number of bytes. */
    private static int receivedBytes(Socket client) throws IOException {
        int count = 0;
        try {
            while (client.getInputStream().read() >= 0) {
                count++;
            }
        } catch (SocketException e) {
            // The connection was reset.
        }
        return count;
    }

    private void assertEndsWithin(int millis) throws InterruptedException {
        assertTrue(child.waitFor(millis, TimeUnit.MILLISECONDS), "the process did not end");
        assertEquals(0, child.exitValue());
    }

    /**
     * Guards against a shutdown that cuts off responses that have begun and that their backends
     * still send. A second SIGTERM and a SIGHUP change nothing.
     */
    @Test
    void sendsLongResponseToItsEnd() throws Exception {
        startProcess(Map.of());
        try (Socket client = startLongResponse("long");
                Socket idle = connectToProcess()) {
            assertEquals(0, ProxyProcess.signal(child, "TERM"));
            Thread.sleep(SERVICE_ENDS_MILLIS + 300);
            assertEquals(-1, idle.getInputStream().read(), "a connection without a request");
            assertThrows(ConnectException.class, this::connectToProcess);
            assertEquals(0, ProxyProcess.signal(child, "HUP"));
            assertEquals(0, ProxyProcess.signal(child, "TERM"));
            InputStream in = client.getInputStream();
            assertArrayEquals(backend.body, in.readNBytes(backend.body.length));
            assertEquals(-1, in.read(), "the connection closes after the response");
        }
        assertEndsWithin(EXIT_MILLIS);
    }

    /**
     * Guards against losing a request that follows a long response on a connection whose response
     * promised before SIGTERM that it stays open.
     */
    @Test
    void answersRequestThatFollowsLongResponse() throws Exception {
        startProcess(Map.of());
        try (Socket client = startLongResponse("long")) {
            assertEquals(0, ProxyProcess.signal(child, "TERM"));
            Thread.sleep(SERVICE_ENDS_MILLIS + 300);
            writeText(client, getRequest("next", TIMEOUT_MILLIS));
            InputStream in = client.getInputStream();
            assertArrayEquals(backend.body, in.readNBytes(backend.body.length));
            String response = readMessage(client);
            assertTrue(response.startsWith("HTTP/1.1 503 "), response);
            assertTrue(response.contains("Connection: close"), response);
        }
        assertEndsWithin(EXIT_MILLIS);
    }

    /**
     * Guards against a quiesced proxy that keeps a connection open, because its long response began
     * before and promised so.
     */
    @Test
    void closesConnectionAfterLongResponseOfQuiescedProxy() throws Exception {
        startWithPorts(backend.port());
        port = proxyPort();
        try (Socket client = startLongResponse("long")) {
            proxy.runOnIoThread(() -> proxy.adminOperations().quiesce());
            InputStream in = client.getInputStream();
            assertArrayEquals(backend.body, in.readNBytes(backend.body.length));
            client.setSoTimeout(CLOSE_TIMEOUT_MILLIS);
            assertEquals(-1, in.read(), "the connection closes after the response");
        }
    }

    @Test
    void cutsLongResponseOffAtDrainTimeout() throws Exception {
        startProcess(Map.of("PROXY_DRAIN_TIMEOUT", "1.8"));
        try (Socket client = startLongResponse("long")) {
            long signalledAt = System.nanoTime();
            assertEquals(0, ProxyProcess.signal(child, "TERM"));
            assertEndsWithin(END_TIMEOUT_MILLIS);
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledAt);
            assertTrue(millis >= 1750 && millis < 1800 + EXIT_MILLIS, millis + " ms");
            assertTrue(receivedBytes(client) < backend.body.length);
        }
    }

    /** Guards against a client that reads nothing and holds the process until the timeout. */
    @Test
    void doesNotWaitForClientThatReadsNothing() throws Exception {
        backend.close();
        backend = new PacedBackend(2000, PIECE_BYTES / 4, 0);
        Path limits = Files.writeString(folder.resolve("door.json"), "{\"quiet\":0.5}");
        startProcess(Map.of("PROXY_DOOR", limits.toString()));
        try (Socket client = startLongResponse("long")) {
            assertEquals(0, ProxyProcess.signal(child, "TERM"));
            assertEndsWithin(END_TIMEOUT_MILLIS);
            assertTrue(receivedBytes(client) < backend.body.length);
        }
    }

    @Test
    void reportsInvalidDrainTimeoutOnOneLine() throws Exception {
        startProcess(Map.of());
        for (String value : new String[] {"", "x", "NaN", "-1", "3601"}) {
            ByteArrayOutputStream err = new ByteArrayOutputStream();
            Map<String, String> environment =
                    Map.of(
                            "PROXY_CONFIG",
                            folder.resolve("config.json").toString(),
                            "PROXY_DRAIN_TIMEOUT",
                            value);
            assertEquals(
                    1,
                    ProxyLauncher.check(
                            environment, new PrintStream(err, true, StandardCharsets.UTF_8)));
            String line = err.toString(StandardCharsets.UTF_8);
            assertTrue(line.contains("PROXY_DRAIN_TIMEOUT: "), line);
            assertEquals(1, line.lines().count(), line);
        }
    }
}
