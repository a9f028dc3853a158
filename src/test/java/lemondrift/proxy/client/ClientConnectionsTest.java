package lemondrift.proxy.client;

import static java.nio.charset.StandardCharsets.UTF_8;
import static lemondrift.proxy.DiscoveryMessages.activeMembers;
import static lemondrift.proxy.DiscoveryMessages.endpointList;
import static lemondrift.proxy.HttpMessages.OK;
import static lemondrift.proxy.HttpMessages.getRequest;
import static lemondrift.proxy.HttpMessages.okResponse;
import static lemondrift.proxy.HttpMessages.readMessage;
import static lemondrift.proxy.HttpMessages.writeText;
import static lemondrift.proxy.TestConfig.TIMEOUT_MILLIS;
import static lemondrift.proxy.TestConfig.UNUSED_PORT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.zip.ZipEntry;
import java.util.zip.ZipOutputStream;
import lemondrift.connection.ConnectionLimits;
import lemondrift.proxy.LoopbackFixture;
import lemondrift.proxy.ProxyProcess;
import lemondrift.proxy.ScriptedServer;
import lemondrift.proxy.TestConfig;
import lemondrift.proxy.config.ConnectionSettingsFile;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.lifecycle.ProxyLauncher;
import lemondrift.settings.InvalidSettingsException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests client connections that pipeline requests, read slowly, send nothing, send invalid requests
 * or exceed the number of descriptors, and the file with the connection settings.
 */
class ClientConnectionsTest extends LoopbackFixture {
    /** How long a client waits for a response before the test fails. */
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    /** How many requests a client pipelines at once. */
    private static final int PIPELINED_REQUESTS = 2000;

    /** How many connections are opened to a process that has fewer descriptors. */
    private static final int SILENT_CONNECTIONS = 120;

    /** How many times a starting process is tried before the test fails. */
    private static final int STARTUP_TRIES = 400;

    /** The time between two tries to connect to a process. */
    private static final int CONNECT_INTERVAL_MILLIS = 50;

    private final List<Socket> clients = new ArrayList<>();

    @AfterEach
    void closeClients() throws IOException {
        closeAll(clients);
    }

    private Socket connectClient() throws IOException {
        Socket client = connect(READ_TIMEOUT_MILLIS);
        clients.add(client);
        return client;
    }

    /** Connects a client whose socket buffers only a few bytes that it has not read. */
    private Socket connectSlowClient(int receiveBufferBytes) throws IOException {
        Socket client = new Socket();
        clients.add(client);
        client.setReceiveBufferSize(receiveBufferBytes);
        client.setSoTimeout(READ_TIMEOUT_MILLIS);
        client.connect(new InetSocketAddress("127.0.0.1", proxyPort()));
        return client;
    }

    private static String get(int number) {
        return getRequest("client-" + number, TIMEOUT_MILLIS);
    }

    /**
     * Guards against forwarding a pipelined request although the response to the first one closes
     * the connection.
     */
    @Test
    void doesNotForwardPipelinedRequestWhenResponseClosesConnection() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        ScriptedServer backend = backend(mayRespond);
        start(backend);
        List<Socket> pipelining = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            pipelining.add(connectClient());
            writeText(pipelining.get(i), get(2 * i));
            writeText(pipelining.get(i), get(2 * i + 1));
        }
        assertNotNull(backend.nextRequest());
        Thread drain = startDrain();
        mayRespond.countDown();
        for (Socket client : pipelining) {
            String response = readMessage(client);
            assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("body"), response);
            assertEquals(
                    -1,
                    client.getInputStream().read(),
                    "closed without a byte for the second request");
        }
        drain.join();
        assertEquals("STOPPED", phase());
        assertTrue(
                backend.requests.stream()
                        .noneMatch(
                                request ->
                                        request.matches(
                                                "(?s).*X-Trace-Id: client-\\d*[13579]\r\n.*")),
                "no second request was forwarded");
    }

    @Test
    void answersPipelinedRequestThatArrivesInPieces() throws Exception {
        start(backend(OK));
        Socket client = connectClient();
        String second = get(2);
        int splitIndex = 30;
        writeText(client, get(1));
        writeText(client, second.substring(0, splitIndex));
        assertTrue(readMessage(client).startsWith("HTTP/1.1 200"));
        writeText(client, second.substring(splitIndex));
        assertTrue(readMessage(client).startsWith("HTTP/1.1 200"));
    }

    @Test
    void servesOtherClientsWhileOnePipelinesManyRequests() throws Exception {
        start(backend(OK));
        Socket client = connectClient();
        String pipelined = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n".repeat(PIPELINED_REQUESTS);
        Thread writer =
                new Thread(
                        () -> {
                            try {
                                writeText(client, pipelined);
                            } catch (IOException e) {
                                // The connection was closed, so the loop below fails.
                            }
                        });
        writer.start();
        for (int i = 0; i < 10; i++) {
            assertEquals(200, sendNotIdempotent("x").statusCode());
        }
        for (int i = 0; i < PIPELINED_REQUESTS; i++) {
            assertTrue(readMessage(client).startsWith("HTTP/1.1 200"), "response " + i);
        }
        writer.join();
    }

    @Test
    void sendsKeepAliveTimeoutWhenConfigured() throws Exception {
        configChange =
                config -> {
                    ConnectionLimits defaults = config.connectionLimits();
                    return config.withConnectionLimits(
                            new ConnectionLimits(
                                    defaults.maxConnections(),
                                    defaults.acceptLimit(),
                                    5,
                                    4,
                                    defaults.sharing(),
                                    true,
                                    defaults.minBytesPerSecond(),
                                    defaults.typicalPriorityWeight()));
                };
        start(backend(OK));
        Socket client = connectClient();
        for (int i = 0; i < 2; i++) {
            writeText(client, get(i));
            String response = readMessage(client);
            assertTrue(response.contains("\r\nKeep-Alive: timeout=5\r\n"), response);
        }
    }

    @Test
    void servesOtherClientsWhileResponsesAreNotRead() throws Exception {
        start(backend(okResponse("x".repeat(64 * 1024))));
        for (int i = 0; i < 8; i++) {
            Socket slow = connectSlowClient(1024);
            writeText(slow, get(i));
            assertEquals(
                    'H',
                    slow.getInputStream().read(),
                    "the response has arrived, and the rest of it is not read");
        }
        for (int i = 0; i < 20; i++) {
            assertEquals(200, sendNotIdempotent("x").statusCode());
        }
    }

    @Test
    void closesConnectionAfterRepeatedRefusals() throws Exception {
        start(backend(OK));
        Socket client = connectClient();
        int refusals = 0;
        try {
            for (String response = ""; response != null; refusals++) {
                writeText(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
                response = readMessage(client);
                assertTrue(response == null || response.startsWith("HTTP/1.1 400"), response);
            }
        } catch (IOException e) {
            // The connection was closed while the next request was being sent.
        }
        assertTrue(refusals >= 6 && refusals <= 7, "closed after refusals: " + refusals);
        assertEquals(200, sendNotIdempotent("x").statusCode());
    }

    @Test
    void drainAnswersAcceptedRequestAmongManyConnections() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        ScriptedServer backend = backend(mayRespond);
        start(backend);
        Socket accepted = connectClient();
        writeText(accepted, get(1));
        assertNotNull(backend.nextRequest());
        for (int i = 0; i < 60; i++) {
            connectClient();
        }
        Thread drain = startDrain();
        mayRespond.countDown();
        assertTrue(readMessage(accepted).startsWith("HTTP/1.1 200"));
        drain.join();
        assertEquals("STOPPED", phase());
    }

    /**
     * Guards against a proxy that stops accepting when it runs out of descriptors, because it is
     * configured for more of them than it has.
     */
    @Test
    void servesWaitingClientAfterDescriptorsRunOut(@TempDir Path folder) throws Exception {
        ScriptedServer fixedDiscovery =
                discoveryWithoutChanges(endpointList(1, true, activeMembers(backend(OK).port())));
        int port = ProxyProcess.freePort();
        String config = TestConfig.withSockets(config(fixedDiscovery.port()), 1024);
        Path file =
                Files.writeString(
                        folder.resolve("config.json"), TestConfig.withListenPort(config, port));
        Process process = startWithFewDescriptors(folder, file);
        try {
            Socket client = connectWhenListening(port);
            clients.add(client);
            // The process may listen before it has received the list, and rejects until then.
            String response = "";
            for (int tries = 0;
                    !response.startsWith("HTTP/1.1 200") && tries < STARTUP_TRIES;
                    tries++) {
                writeText(client, get(1000 + tries));
                response = readMessage(client);
            }
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            for (int i = 0; i < SILENT_CONNECTIONS; i++) {
                clients.add(new Socket("127.0.0.1", port));
            }
            // Connections beyond its descriptors wait in the kernel until silent ones are closed.
            Socket last = clients.get(SILENT_CONNECTIONS);
            last.setSoTimeout(READ_TIMEOUT_MILLIS);
            writeText(last, get(1));
            String lastResponse = readMessage(last);
            assertTrue(
                    lastResponse.startsWith("HTTP/1.1 200")
                            || lastResponse.startsWith("HTTP/1.1 503"),
                    lastResponse);
            assertTrue(process.isAlive());
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    private static Process startWithFewDescriptors(Path folder, Path config) throws Exception {
        ProcessBuilder builder =
                new ProcessBuilder(
                        "/bin/sh",
                        "-c",
                        "ulimit -n 100; exec \"$0\" \"$@\"",
                        ProxyProcess.javaCommand(),
                        "-Xmx64m",
                        "-XX:-MaxFDLimit",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        jar(folder) + File.pathSeparator + System.getProperty("java.class.path"),
                        "lemondrift.Main",
                        "serve");
        builder.environment().put("PROXY_CONFIG", config.toString());
        return builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    /**
     * Packs the program into one jar file, as in production: loading a class from a folder would
     * need a descriptor.
     */
    private static Path jar(Path folder) throws Exception {
        Path classes =
                Path.of(
                        ProxyLauncher.class
                                .getProtectionDomain()
                                .getCodeSource()
                                .getLocation()
                                .toURI());
        Path jar = folder.resolve("lemondrift.jar");
        try (var out = new ZipOutputStream(Files.newOutputStream(jar));
                var files = Files.walk(classes)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                out.putNextEntry(new ZipEntry(classes.relativize(file).toString()));
                out.write(Files.readAllBytes(file));
            }
        }
        return jar;
    }

    private static Socket connectWhenListening(int port) throws Exception {
        Socket client = null;
        for (int tries = 0; client == null && tries < STARTUP_TRIES; tries++) {
            try {
                client = new Socket("127.0.0.1", port);
            } catch (IOException e) {
                Thread.sleep(CONNECT_INTERVAL_MILLIS);
            }
        }
        assertNotNull(client, "the process listens on port " + port);
        return client;
    }

    @Test
    void readsConnectionSettingsFileOrRejectsItInOneLine(@TempDir Path folder) throws Exception {
        Path settingsFile = folder.resolve("door.json");
        ConnectionLimits defaults = ProxyConfig.read(config(UNUSED_PORT)).connectionLimits();
        Files.writeString(
                settingsFile, "{\"quiet\": 60, \"sharing\": \"tenant\", \"announces\": true}");
        ConnectionLimits limits = ConnectionSettingsFile.read(settingsFile, defaults);
        assertEquals(60, limits.maxIdleSeconds());
        assertEquals(ConnectionLimits.Sharing.TENANT, limits.sharing());
        assertEquals(
                defaults.minIdleSeconds() / defaults.maxIdleSeconds(),
                limits.minIdleSeconds() / limits.maxIdleSeconds(),
                1e-9);
        Path config = Files.writeString(folder.resolve("config.json"), config(UNUSED_PORT));
        for (String invalid :
                List.of(
                        "",
                        "[]",
                        "{\"quiet\": \"soon\"}",
                        "{\"quiet\": 0}",
                        "{\"quite\": 2}",
                        "{\"quiet\": 2, \"earliest\": 3}",
                        "{\"sharing\": \"all\"}",
                        "{\"announces\": 1}",
                        "{\"leastRate\": []}",
                        "{\"quiet\": null}")) {
            Files.writeString(settingsFile, invalid);
            assertThrows(
                    InvalidSettingsException.class,
                    () -> ConnectionSettingsFile.read(settingsFile, defaults),
                    invalid);
            ByteArrayOutputStream errorOutput = new ByteArrayOutputStream();
            assertEquals(
                    1,
                    ProxyLauncher.check(
                            Map.of(
                                    "PROXY_CONFIG",
                                    config.toString(),
                                    "PROXY_DOOR",
                                    settingsFile.toString()),
                            new PrintStream(errorOutput)));
            String message = errorOutput.toString(UTF_8);
            assertEquals(1, message.lines().count(), message);
            assertTrue(message.contains("door.json"), message);
        }
    }
}
