package lemondrift.proxy.http;

import static lemondrift.proxy.DaemonThreads.startDaemon;
import static lemondrift.proxy.HttpMessages.getRequest;
import static lemondrift.proxy.HttpMessages.postHead;
import static lemondrift.proxy.HttpMessages.readMessage;
import static lemondrift.proxy.HttpMessages.writeText;
import static lemondrift.proxy.TestConfig.TIMEOUT_MILLIS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import lemondrift.connection.ConnectionLimits;
import lemondrift.proxy.LoopbackFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that a body which breaks off never looks complete to its receiver, in either direction,
 * however the receiver is told where the body ends.
 */
class BrokenOffBodiesTest extends LoopbackFixture {
    /** How long a client waits for bytes before the test fails. */
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    /** Longer than the proxy buffers, so that the response is streamed. */
    private static final int RESPONSE_BYTES = 320 * 1024;

    /** Longer than all buffers between a backend and a client that reads nothing. */
    private static final int LONG_RESPONSE_BYTES = 16 << 20;

    private static final int CHUNK_BYTES = 32 * 1024;

    /**
     * Longer than the proxy waits for a client that reads nothing, with the settings of its test.
     */
    private static final int SLOW_READER_MILLIS = 2000;

    /** How a client asks, which decides how the end of the response is marked. */
    private enum Client {
        KEEPS_CONNECTION("HTTP/1.1", ""),
        CLOSES_CONNECTION("HTTP/1.1", "Connection: close\r\n"),
        HTTP_1_0("HTTP/1.0", ""),
        HTTP_1_0_KEEPS_CONNECTION("HTTP/1.0", "Connection: keep-alive\r\n");

        private final String version;
        private final String fields;

        Client(String version, String fields) {
            this.version = version;
            this.fields = fields;
        }

        String request() {
            return getRequest("get", TIMEOUT_MILLIS)
                    .replace("HTTP/1.1\r\n", version + "\r\n" + fields);
        }
    }

    /** How a backend ends its response. */
    private enum BackendEnd {
        COMPLETE,
        RESET_AFTER_HALF,
        CLOSED_AFTER_HALF
    }

    private ServerSocket backend;

    @AfterEach
    void closeBackend() throws IOException {
        if (backend != null) {
            backend.close();
        }
    }

    /** Starts a backend whose responses are chunked, and the proxy in front of it. */
    private void startWithChunkedBackend(int responseBytes, BackendEnd end) throws Exception {
        ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        backend = server;
        startDaemon(
                () -> {
                    while (true) {
                        Socket connection = server.accept();
                        startDaemon(() -> respond(connection, responseBytes, end));
                    }
                });
        startWithPorts(server.getLocalPort());
    }

    private static void respond(Socket connection, int responseBytes, BackendEnd end)
            throws IOException, InterruptedException {
        try (connection) {
            while (readMessage(connection) != null) {
                writeText(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                int sentBytes = end == BackendEnd.COMPLETE ? responseBytes : responseBytes / 2;
                String chunk =
                        Integer.toHexString(CHUNK_BYTES)
                                + "\r\n"
                                + "x".repeat(CHUNK_BYTES)
                                + "\r\n";
                for (int sent = 0; sent < sentBytes; sent += CHUNK_BYTES) {
                    writeText(connection, chunk);
                }
                if (end == BackendEnd.COMPLETE) {
                    writeText(connection, "0\r\n\r\n");
                } else {
                    // The client has part of the response by then.
                    Thread.sleep(100);
                    connection.setSoLinger(end == BackendEnd.RESET_AFTER_HALF, 0);
                    return;
                }
            }
        }
    }

    /**
     * Reads a response as RFC 9112, section 6.3 says, and returns the length of its body.
     *
     * @throws IOException if the response is not complete
     */
    private static int readBodyLength(Socket client) throws IOException {
        InputStream in = new BufferedInputStream(client.getInputStream());
        assertTrue(readLine(in).matches("HTTP/1.[01] 200.*"));
        String head = "";
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            head += line.toLowerCase(Locale.ROOT) + "\n";
        }
        if (head.contains("transfer-encoding: chunked")) {
            int length = 0;
            for (int size = readChunkSize(in); size > 0; size = readChunkSize(in)) {
                require(in.readNBytes(size).length == size && readLine(in).isEmpty());
                length += size;
            }
            require(readLine(in).isEmpty());
            return length;
        }
        assertFalse(head.contains("content-length: "), "the backend states no length");
        return in.readAllBytes().length;
    }

    private static int readChunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in), 16);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            require(next >= 0);
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    private static void require(boolean isComplete) throws IOException {
        if (!isComplete) {
            throw new EOFException("the response is not complete");
        }
    }

    /** Returns the length of the body that a client gets; -1 if it can tell that it is cut. */
    private int fetchedLength(Socket client) {
        try {
            return readBodyLength(client);
        } catch (SocketException | EOFException e) {
            return -1;
        } catch (IOException e) {
            throw new AssertionError("no end within the time to read", e);
        }
    }

    /** Guards against half of a response that its client takes for all of it. */
    @ParameterizedTest
    @EnumSource(Client.class)
    void clientDetectsThatResponseOfUnknownLengthBrokeOff(Client kind) throws Exception {
        for (BackendEnd end : BackendEnd.values()) {
            startWithChunkedBackend(RESPONSE_BYTES, end);
            try (Socket client = connect(READ_TIMEOUT_MILLIS)) {
                writeText(client, kind.request());
                assertEquals(
                        end == BackendEnd.COMPLETE ? RESPONSE_BYTES : -1,
                        fetchedLength(client),
                        end.toString());
            }
            closeBackend();
            stop();
        }
    }

    /** The same where the proxy closes the connection with the response, as in a drain. */
    @ParameterizedTest
    @EnumSource(BackendEnd.class)
    void clientOfQuiescedProxyDetectsThatResponseBrokeOff(BackendEnd end) throws Exception {
        startWithChunkedBackend(RESPONSE_BYTES, end);
        try (Socket client = connect(READ_TIMEOUT_MILLIS)) {
            proxy.adminOperations().quiesce();
            writeText(client, Client.KEEPS_CONNECTION.request());
            assertEquals(end == BackendEnd.COMPLETE ? RESPONSE_BYTES : -1, fetchedLength(client));
        }
    }

    /** Guards against a slow reader that takes what it has got for all of the response. */
    @ParameterizedTest
    @EnumSource(Client.class)
    void clientDetectsThatItsConnectionWasClosedForReadingTooSlowly(Client kind) throws Exception {
        configChange =
                config -> {
                    ConnectionLimits defaults = config.connectionLimits();
                    return config.withConnectionLimits(
                            new ConnectionLimits(
                                    defaults.maxConnections(),
                                    defaults.acceptLimit(),
                                    0.3,
                                    0.2,
                                    defaults.sharing(),
                                    false,
                                    defaults.minBytesPerSecond(),
                                    defaults.typicalPriorityWeight()));
                };
        startWithChunkedBackend(LONG_RESPONSE_BYTES, BackendEnd.COMPLETE);
        try (Socket client = new Socket()) {
            client.setReceiveBufferSize(CHUNK_BYTES);
            client.setSoTimeout(READ_TIMEOUT_MILLIS);
            client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), proxyPort()));
            writeText(client, kind.request());
            Thread.sleep(SLOW_READER_MILLIS);
            assertEquals(-1, fetchedLength(client));
        }
    }

    /** Guards against a backend that executes a request whose client broke off. */
    @ParameterizedTest
    @ValueSource(ints = {1000, 500_000})
    void backendGetsNoCompleteRequestWhenChunkedBodyBreaksOff(int sentBytes) throws Exception {
        try (RecordingBackend backend = new RecordingBackend()) {
            startWithPorts(backend.port());
            try (Socket client = connect(READ_TIMEOUT_MILLIS)) {
                writeText(client, postHead("post", TIMEOUT_MILLIS, "Transfer-Encoding: chunked"));
                writeText(
                        client,
                        Integer.toHexString(sentBytes) + "\r\n" + "x".repeat(sentBytes) + "\r\n");
                client.shutdownOutput();
                byte[] response = client.getInputStream().readAllBytes();
                String text = new String(response, StandardCharsets.ISO_8859_1);
                assertFalse(text.startsWith("HTTP/1.1 200"), text);
            } catch (SocketException e) {
                // The proxy may reset the connection.
            }
            assertEquals(0, backend.completeRequests.get());
            assertEquals(200, sendNotIdempotent("x").statusCode());
            assertEquals(1, backend.completeRequests.get());
        }
    }
}
