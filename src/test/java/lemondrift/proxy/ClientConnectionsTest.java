package lemondrift.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.zip.ZipEntry;
import java.util.zip.ZipOutputStream;
import lemondrift.connection.ConnectionLimits;
import lemondrift.proxy.config.ConnectionSettingsFile;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.lifecycle.ProxyLauncher;
import lemondrift.settings.InvalidSettingsException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Hard cases of client connections on loopback, with scripted clients. */
class ClientConnectionsTest extends LoopbackFixture {
    private final List<Socket> clients = new ArrayList<>();

    @AfterEach
    void closeClients() throws IOException {
        for (Socket each : clients) {
            each.close();
        }
    }

    private Socket connect(int receiveBufferBytes) throws IOException {
        Socket client = new Socket();
        clients.add(client);
        if (receiveBufferBytes > 0) {
            client.setReceiveBufferSize(receiveBufferBytes);
        }
        client.setSoTimeout(20_000);
        client.connect(new InetSocketAddress("127.0.0.1", proxy.address().getPort()));
        return client;
    }

    private static byte[] look(int id) {
        return ("GET / HTTP/1.1\r\nHost: a\r\nX-Trace-Id: door-"
                        + id
                        + "\r\nX-Qos: look\r\n"
                        + "X-Expires-In-Ms: 4000\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static void write(Socket client, byte[] text) throws IOException {
        client.getOutputStream().write(text);
    }

    @Test
    void aRequestThatCrossesAClosingResponseIsNeverHalfServed() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        StandIn backend = backend(mayRespond);
        start(backend);
        List<Socket> pipelining = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            pipelining.add(connect(0));
            write(pipelining.get(i), look(2 * i));
            write(pipelining.get(i), look(2 * i + 1));
        }
        assertNotNull(backend.requests.poll(5, TimeUnit.SECONDS));
        Thread drain = drains();
        mayRespond.countDown();
        for (Socket each : pipelining) {
            String response = read(each);
            assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("body"), response);
            assertEquals(-1, each.getInputStream().read(), "closed, with no byte for the second");
        }
        drain.join();
        assertEquals(ProxyServer.Phase.STOPPED, proxy.phase());
        assertTrue(
                backend.requests.stream()
                        .noneMatch(
                                request ->
                                        request.matches(
                                                "(?s).*X-Trace-Id: door-\\d*[13579]\r\n.*")),
                "what crossed was not forwarded");
    }

    @Test
    void aPipelinedRequestInPiecesIsAnsweredInOrder() throws Exception {
        start(backend(OK));
        Socket client = connect(0);
        byte[] second = look(2);
        write(client, look(1));
        client.getOutputStream().write(second, 0, 30);
        assertTrue(read(client).startsWith("HTTP/1.1 200"));
        client.getOutputStream().write(second, 30, second.length - 30);
        assertTrue(read(client).startsWith("HTTP/1.1 200"));
    }

    @Test
    void aClientThatPipelinesManyDelaysNoOther() throws Exception {
        start(backend(OK));
        Socket client = connect(0);
        byte[] health =
                "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        ByteArrayOutputStream ahead = new ByteArrayOutputStream();
        for (int i = 0; i < 2000; i++) {
            ahead.writeBytes(health);
        }
        Thread writer =
                new Thread(
                        () -> {
                            try {
                                write(client, ahead.toByteArray());
                            } catch (IOException e) {
                                // It was closed, which fails the count below.
                            }
                        });
        writer.start();
        for (int i = 0; i < 10; i++) {
            assertEquals(200, order("x").statusCode());
        }
        for (int i = 0; i < 2000; i++) {
            assertTrue(read(client).startsWith("HTTP/1.1 200"), "response " + i);
        }
        writer.join();
    }

    @Test
    void announcedKeepAliveStandsInTheResponse() throws Exception {
        changed =
                config -> {
                    ConnectionLimits usual = config.connectionLimits();
                    return config.withConnectionLimits(
                            new ConnectionLimits(
                                    usual.maxConnections(),
                                    usual.acceptLimit(),
                                    5,
                                    4,
                                    usual.sharing(),
                                    true,
                                    usual.minBytesPerSecond(),
                                    usual.usualPriorityWeight()));
                };
        start(backend(OK));
        Socket client = connect(0);
        for (int i = 0; i < 2; i++) {
            write(client, look(i));
            String response = read(client);
            assertTrue(response.contains("\r\nKeep-Alive: timeout=5\r\n"), response);
        }
    }

    @Test
    void responsesThatAreNotReadDelayNoOther() throws Exception {
        start(backend(http("x".repeat(64 * 1024))));
        for (int i = 0; i < 8; i++) {
            Socket slow = connect(1024);
            write(slow, look(i));
            assertEquals(
                    'H',
                    slow.getInputStream().read(),
                    "the response has come, and is read no further");
        }
        for (int i = 0; i < 20; i++) {
            assertEquals(200, order("x").statusCode());
        }
    }

    @Test
    void repeatedRejectionsCloseTheConnection() throws Exception {
        start(backend(OK));
        Socket client = connect(0);
        byte[] malformed = "GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        int rejections = 0;
        try {
            for (String response = ""; response != null; rejections++) {
                write(client, malformed);
                response = read(client);
                assertTrue(response == null || response.startsWith("HTTP/1.1 400"), response);
            }
        } catch (IOException e) {
            // The close crossed the next request.
        }
        assertTrue(rejections >= 6 && rejections <= 7, "after " + rejections);
        assertEquals(200, order("x").statusCode());
    }

    @Test
    void aDrainAmidManyConnectionsAnswersAcceptedRequests() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        StandIn backend = backend(mayRespond);
        start(backend);
        Socket accepted = connect(0);
        write(accepted, look(1));
        assertNotNull(backend.requests.poll(5, TimeUnit.SECONDS));
        for (int i = 0; i < 60; i++) {
            connect(0);
        }
        Thread drain = drains();
        mayRespond.countDown();
        assertTrue(read(accepted).startsWith("HTTP/1.1 200"));
        drain.join();
        assertEquals(ProxyServer.Phase.STOPPED, proxy.phase());
    }

    /**
     * The program as one file, as it is run: a class in a folder can't be loaded without a
     * descriptor.
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
            for (Path each : files.filter(Files::isRegularFile).toList()) {
                out.putNextEntry(new ZipEntry(classes.relativize(each).toString()));
                out.write(Files.readAllBytes(each));
            }
        }
        return jar;
    }

    /** Descriptors run out under the proxy, as it is configured for more than it has. */
    @Test
    void exhaustedDescriptorsLoseNoClientThatWaits(@TempDir Path folder) throws Exception {
        String members = list(1, true, member(0, backend(OK).port(), "active"));
        StandIn list = backend(request -> request.contains("?") ? SILENCE : http(members));
        int port;
        try (var free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        Path file =
                Files.writeString(
                        folder.resolve("config.json"),
                        config(list.port(), false)
                                .replace("127.0.0.1:0", "127.0.0.1:" + port)
                                .replace("\"sockets\":64", "\"sockets\":1024"));
        Process process = startWithFewDescriptors(folder, file);
        try {
            Socket client = connectWhenListening(port);
            clients.add(client);
            // It listens before it has heard the list, and sheds until then.
            String first = "";
            for (int tries = 0; !first.startsWith("HTTP/1.1 200") && tries < 400; tries++) {
                write(client, look(1000 + tries));
                first = read(client);
            }
            assertTrue(first.startsWith("HTTP/1.1 200"), first);
            for (int i = 0; i < 120; i++) {
                clients.add(new Socket("127.0.0.1", port));
            }
            // Those beyond its descriptors wait in the kernel until the silent ones are closed.
            Socket last = clients.get(120);
            last.setSoTimeout(20_000);
            write(last, look(1));
            String response = read(last);
            assertTrue(
                    response.startsWith("HTTP/1.1 200") || response.startsWith("HTTP/1.1 503"),
                    response);
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
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
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

    private static Socket connectWhenListening(int port) throws Exception {
        Socket client = null;
        for (int tries = 0; client == null && tries < 400; tries++) {
            try {
                client = new Socket("127.0.0.1", port);
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        assertNotNull(client, "it listens");
        return client;
    }

    @Test
    void theConnectionSettingsFileIsReadOrRefusedInOneLine(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("door.json");
        ConnectionLimits usual = ProxyConfig.read(config(1, false)).connectionLimits();
        Files.writeString(file, "{\"quiet\": 60, \"sharing\": \"tenant\", \"announces\": true}");
        ConnectionLimits read = ConnectionSettingsFile.read(file, usual);
        assertEquals(60, read.maxIdleSeconds());
        assertEquals(ConnectionLimits.Sharing.TENANT, read.sharing());
        assertEquals(
                usual.minIdleSeconds() / usual.maxIdleSeconds(),
                read.minIdleSeconds() / read.maxIdleSeconds(),
                1e-9);
        Path config = Files.writeString(folder.resolve("config.json"), config(1, false));
        for (String bad :
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
            Files.writeString(file, bad);
            assertThrows(
                    InvalidSettingsException.class,
                    () -> ConnectionSettingsFile.read(file, usual),
                    bad);
            ByteArrayOutputStream err = new ByteArrayOutputStream();
            assertEquals(
                    1,
                    ProxyLauncher.check(
                            Map.of(
                                    "PROXY_CONFIG",
                                    config.toString(),
                                    "PROXY_DOOR",
                                    file.toString()),
                            new PrintStream(err)));
            assertEquals(1, err.toString(UTF_8).lines().count(), err.toString(UTF_8));
            assertTrue(err.toString(UTF_8).contains("door.json"), err.toString(UTF_8));
        }
    }
}
