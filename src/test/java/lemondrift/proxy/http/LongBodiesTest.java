package lemondrift.proxy.http;

import static lemondrift.proxy.DaemonThreads.startDaemon;
import static lemondrift.proxy.HttpMessages.FIRST_CHUNK;
import static lemondrift.proxy.HttpMessages.LAST_CHUNKS;
import static lemondrift.proxy.HttpMessages.NEVER_EXECUTED;
import static lemondrift.proxy.HttpMessages.OK;
import static lemondrift.proxy.HttpMessages.getRequest;
import static lemondrift.proxy.HttpMessages.postHead;
import static lemondrift.proxy.HttpMessages.readMessage;
import static lemondrift.proxy.HttpMessages.writeText;
import static lemondrift.proxy.TestConfig.IDEMPOTENT_CLASS;
import static lemondrift.proxy.TestConfig.NOT_IDEMPOTENT_CLASS;
import static lemondrift.proxy.TestConfig.TIMEOUT_MILLIS;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import lemondrift.metrics.ProxyMetrics;
import lemondrift.proxy.LoopbackFixture;
import lemondrift.proxy.ScriptedServer;
import lemondrift.proxy.backend.ResponseReader;
import lemondrift.proxy.config.ProxyConfig;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Tests bodies that are too long to be buffered, in both directions, with clients and backends that
 * are slow or close in the middle of a body.
 */
class LongBodiesTest extends LoopbackFixture {
    /** How long a client waits for a response before the test fails. */
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    /** How long a test waits for a state before it fails. */
    private static final long STATE_TIMEOUT_SECONDS = 20;

    /** The length of bodies that are streamed in either direction, in bytes. */
    private static final int LONG_BODY_BYTES = 3_000_000;

    /** The length of a response that exceeds all buffers between backend and client, in bytes. */
    private static final int FLOOD_BYTES = 512 * FloodingBackend.PIECE_BYTES;

    /** The longest body that the reader in the property test buffers, in bytes. */
    private static final int MAX_BUFFERED_BYTES = 1000;

    private static byte[] randomBytes(int count) {
        byte[] bytes = new byte[count];
        new Random(count).nextBytes(bytes);
        return bytes;
    }

    private static String latin1Text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private static String responseWithLength(byte[] body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n" + latin1Text(body);
    }

    private static String chunkedResponse(byte[] body, int chunkBytes) {
        StringBuilder response =
                new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int offset = 0; offset < body.length; offset += chunkBytes) {
            byte[] chunk =
                    Arrays.copyOfRange(body, offset, Math.min(body.length, offset + chunkBytes));
            response.append(Integer.toHexString(chunk.length))
                    .append(";x=y\r\n")
                    .append(latin1Text(chunk))
                    .append("\r\n");
        }
        return response.append("0\r\nTrailer: x\r\n\r\n").toString();
    }

    /** Sends a request without a body and returns its connection. */
    private Socket sendGet(String traceId) throws IOException {
        Socket client = connect(READ_TIMEOUT_MILLIS);
        writeText(client, getRequest(traceId, TIMEOUT_MILLIS));
        return client;
    }

    /** Sends the head of a request with a body and returns its connection. */
    private Socket sendPostHead(String traceId, String framing) throws IOException {
        Socket client = connect(READ_TIMEOUT_MILLIS);
        writeText(client, postHead(traceId, TIMEOUT_MILLIS, framing));
        return client;
    }

    private byte[] fetchBody(String traceId) throws Exception {
        var response =
                httpClient.send(
                        request(IDEMPOTENT_CLASS).setHeader("X-Trace-Id", traceId).build(),
                        BodyHandlers.ofByteArray());
        assertEquals(200, response.statusCode());
        return response.body();
    }

    /**
     * Waits for a number of replies of one kind to requests of a class, and checks that there are
     * none of another kind.
     */
    private void awaitReplies(String requestClass, ProxyMetrics.Reply reply, int count)
            throws Exception {
        long[] counts = {};
        for (long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(STATE_TIMEOUT_SECONDS);
                System.nanoTime() < deadline; ) {
            counts = replyCounts(requestClass).get();
            if (counts[reply.ordinal()] == count) {
                break;
            }
        }
        assertEquals(count, counts[reply.ordinal()]);
        assertEquals(count, Arrays.stream(counts).sum(), "replies of all kinds");
    }

    @Test
    void relaysCompleteLongResponsesInAnyFraming() throws Exception {
        byte[] body = randomBytes(LONG_BODY_BYTES);
        AtomicInteger requests = new AtomicInteger();
        String[] responses = {
            responseWithLength(body),
            chunkedResponse(body, 50_000),
            chunkedResponse(body, 7000),
            OK,
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + latin1Text(body)
        };
        ScriptedServer backend =
                backend(request -> responses[requests.getAndIncrement() % responses.length]);
        start(backend);
        for (int i = 0; i < responses.length; i++) {
            byte[] expected =
                    responses[i].equals(OK) ? "body".getBytes(StandardCharsets.US_ASCII) : body;
            assertArrayEquals(expected, fetchBody("long-" + i), "response " + i);
        }
        assertEquals(responses.length, backend.requests.size());
    }

    @Test
    void closesClientWithoutRetryWhenLongResponseIsCutShort() throws Exception {
        int declaredBytes = 300_000;
        String cutShort =
                "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
                        + declaredBytes
                        + "\r\n\r\n"
                        + "x".repeat(100_000);
        ScriptedServer first = backend(cutShort);
        ScriptedServer second = backend(cutShort);
        start(first, second);
        try (Socket client = sendGet("half")) {
            byte[] received = client.getInputStream().readAllBytes();
            assertTrue(
                    latin1Text(received).startsWith("HTTP/1.1 200 OK\r\n")
                            && received.length < declaredBytes,
                    "received " + received.length + " bytes");
        }
        assertEquals(1, first.requests.size() + second.requests.size());
        awaitReplies(IDEMPOTENT_CLASS, ProxyMetrics.Reply.ERROR, 1);
    }

    @Test
    void stopsReadingFromBackendWhenClientDoesNotRead() throws Exception {
        try (FloodingBackend backend = new FloodingBackend(FLOOD_BYTES)) {
            startWithPorts(backend.port());
            try (Socket client = sendGet("slow")) {
                InputStream in = client.getInputStream();
                String endOfHead = "\r\n\r\n";
                for (int matched = 0; matched < endOfHead.length(); ) {
                    matched = in.read() == endOfHead.charAt(matched) ? matched + 1 : 0;
                }
                int writtenBefore = -1;
                while (writtenBefore != backend.writtenBytes.get()) {
                    writtenBefore = backend.writtenBytes.get();
                    Thread.sleep(300);
                }
                assertTrue(writtenBefore < FLOOD_BYTES, "the entire response was buffered");
                assertEquals(FLOOD_BYTES, in.readNBytes(FLOOD_BYTES).length);
            }
        }
    }

    @Test
    void closesBackendConnectionWhenClientClosesMidResponse() throws Exception {
        try (FloodingBackend backend = new FloodingBackend(FLOOD_BYTES)) {
            startWithPorts(backend.port());
            try (Socket client = sendGet("leaves")) {
                assertEquals('H', client.getInputStream().read());
            }
            assertTrue(backend.connectionEnded.await(STATE_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    @Test
    void relaysSlowResponseOfUnknownLengthAsItArrives() throws Exception {
        CountDownLatch mayContinue = new CountDownLatch(1);
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            startDaemon(
                    () -> {
                        try (Socket connection = server.accept()) {
                            readMessage(connection);
                            writeText(connection, FIRST_CHUNK);
                            mayContinue.await(STATE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
                            writeText(connection, LAST_CHUNKS);
                            connection.getInputStream().read();
                        }
                    });
            startWithPorts(server.getLocalPort());
            try (Socket client = sendGet("drip")) {
                InputStream in = client.getInputStream();
                StringBuilder received = new StringBuilder();
                readUntil("bo", in, received);
                mayContinue.countDown();
                readUntil("\r\n0\r\n\r\n", in, received);
                assertTrue(received.toString().contains("dy"), received.toString());
            }
        }
    }

    private static void readUntil(String end, InputStream in, StringBuilder received)
            throws IOException {
        while (!received.toString().endsWith(end)) {
            received.append((char) in.read());
        }
    }

    @Test
    void failsRequestWhenResponseExceedsLengthLimit() throws Exception {
        start(
                backend(
                        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"
                                + "x".repeat(100_000)));
        assertEquals(502, sendNotIdempotent("x").statusCode());
    }

    @Test
    void streamsCompleteLongRequestBodiesInAnyFraming() throws Exception {
        byte[] body = randomBytes(LONG_BODY_BYTES);
        for (boolean chunked : new boolean[] {false, true}) {
            try (RecordingBackend backend = new RecordingBackend()) {
                startWithPorts(backend.port());
                var publisher =
                        chunked
                                ? BodyPublishers.fromPublisher(BodyPublishers.ofByteArray(body))
                                : BodyPublishers.ofByteArray(body);
                assertEquals(200, send(request(NOT_IDEMPOTENT_CLASS).POST(publisher)).statusCode());
                assertArrayEquals(body, backend.body.toByteArray());
                assertEquals(chunked, backend.head.contains("Transfer-Encoding: chunked\r\n"));
                proxy.drain();
            }
        }
    }

    @Test
    void retriesBufferedBodyWhenRequestWasNeverExecuted() throws Exception {
        ScriptedServer overloaded = backend(NEVER_EXECUTED);
        ScriptedServer healthy = backend(OK);
        start(overloaded, healthy);
        String body = "x".repeat(200_000);
        for (int i = 0; i < 3; i++) {
            assertEquals(200, sendNotIdempotent(body).statusCode());
            assertTrue(healthy.requests.take().endsWith("\r\n\r\n" + body));
        }
    }

    @Test
    void retriesStreamedBodyWhileItIsFullyBuffered() throws Exception {
        try (RecordingBackend backend = new RecordingBackend()) {
            ScriptedServer closed = backend(OK);
            closed.close();
            startWithPorts(closed.port(), backend.port());
            byte[] body = randomBytes(700_000);
            for (int i = 0; i < 3; i++) {
                backend.body.reset();
                assertEquals(
                        200,
                        send(request(NOT_IDEMPOTENT_CLASS)
                                        .setHeader("X-Trace-Id", "u" + i)
                                        .POST(BodyPublishers.ofByteArray(body)))
                                .statusCode());
                assertArrayEquals(body, backend.body.toByteArray());
            }
        }
    }

    /**
     * Guards against a response timeout that includes the upload; it starts at the end of the body.
     */
    @Test
    void doesNotTimeOutSlowRequestBody() throws Exception {
        int pieceBytes = 250_000;
        try (RecordingBackend backend = new RecordingBackend()) {
            startWithPorts(backend.port());
            byte[] body = randomBytes(1_000_000);
            try (Socket client = sendPostHead("slow", "Content-Length: " + body.length)) {
                for (int offset = 0; offset < body.length; offset += pieceBytes) {
                    client.getOutputStream().write(body, offset, pieceBytes);
                    Thread.sleep(600);
                }
                assertTrue(readMessage(client).startsWith("HTTP/1.1 200 "));
            }
            assertArrayEquals(body, backend.body.toByteArray());
        }
    }

    @Test
    void failsAtOnceWithoutRetryWhenBackendClosesMidUpload() throws Exception {
        int closeAfterBytes = 400_000;
        try (RecordingBackend first = new RecordingBackend(closeAfterBytes);
                RecordingBackend second = new RecordingBackend(closeAfterBytes)) {
            startWithPorts(first.port(), second.port());
            try (Socket client = sendPostHead("broken", "Content-Length: 30000000")) {
                try {
                    for (int i = 0; i < 300; i++) {
                        client.getOutputStream().write(new byte[100_000]);
                    }
                } catch (IOException e) {
                    // The response has been sent, and the proxy does not read the rest of the body.
                }
                assertEquals(
                        0,
                        Math.min(first.bodyBytes.get(), second.bodyBytes.get()),
                        "only one backend received a part of the body");
            }
            awaitReplies(NOT_IDEMPOTENT_CLASS, ProxyMetrics.Reply.OVERLOAD, 1);
            assertEquals(0, first.completeRequests.get() + second.completeRequests.get());
        }
    }

    @Test
    void endsRequestWhenClientClosesMidUpload() throws Exception {
        try (RecordingBackend backend = new RecordingBackend()) {
            startWithPorts(backend.port());
            try (Socket client = sendPostHead("left", "Transfer-Encoding: chunked")) {
                writeText(client, "f4240\r\n" + "x".repeat(500_000));
                awaitBodyBytes(400_000, backend);
            }
            assertTrue(backend.connectionEnded.await(STATE_TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertEquals(0, backend.completeRequests.get());
            assertEquals(200, sendNotIdempotent("x").statusCode());
        }
    }

    private static void awaitBodyBytes(int count, RecordingBackend backend) {
        while (backend.bodyBytes.get() < count) {
            Thread.onSpinWait();
        }
    }

    @Test
    void rejectsEndlessAndMalformedChunks() throws Exception {
        try (RecordingBackend backend = new RecordingBackend()) {
            startWithPorts(backend.port());
            try (Socket client = sendPostHead("odd", "Transfer-Encoding: chunked")) {
                writeText(client, "zz\r\n");
                String response = readMessage(client);
                assertTrue(response == null || response.startsWith("HTTP/1.1 400 "), response);
            }
            try (Socket client = sendPostHead("endless", "Transfer-Encoding: chunked")) {
                String chunk = "40000\r\n" + "x".repeat(0x40000) + "\r\n";
                assertThrows(
                        IOException.class,
                        () -> {
                            for (int i = 0; i < 400; i++) {
                                writeText(client, chunk);
                            }
                        });
            }
            assertEquals(0, backend.completeRequests.get());
            awaitReplies(NOT_IDEMPOTENT_CLASS, ProxyMetrics.Reply.ERROR, 1);
        }
    }

    @Test
    void streamsShorterBodiesWhenMemoryIsSmall() throws Exception {
        configChange =
                config ->
                        ProxyConfig.read(
                                config(discovery.port())
                                        .replace(
                                                "\"sockets\":64",
                                                "\"sockets\":64,\"memory_mb\":0.1"));
        try (RecordingBackend backend = new RecordingBackend()) {
            startWithPorts(backend.port());
            byte[] body = randomBytes(60_000);
            int halfBytes = body.length / 2;
            try (Socket client = sendPostHead("little", "Content-Length: " + body.length)) {
                client.getOutputStream().write(body, 0, halfBytes);
                awaitBodyBytes(8192, backend);
                client.getOutputStream().write(body, halfBytes, halfBytes);
                assertTrue(readMessage(client).startsWith("HTTP/1.1 200 "));
            }
            assertArrayEquals(body, backend.body.toByteArray());
        }
    }

    @Property(tries = 300, seed = "48")
    void readsSameResponseForAnySplitOfItsBytes(
            @ForAll @IntRange(min = 0, max = 3000) int length,
            @ForAll @IntRange(min = 1, max = 700) int chunkBytes,
            @ForAll boolean chunked,
            @ForAll boolean atOnce,
            @ForAll @IntRange(min = 1, max = 400) int maxPieceBytes,
            @ForAll long seed)
            throws IOException {
        byte[] body = randomBytes(length);
        byte[] response =
                ("HTTP/1.1 100 Continue\r\n\r\n"
                                + (chunked
                                        ? chunkedResponse(body, chunkBytes)
                                        : responseWithLength(body)))
                        .getBytes(StandardCharsets.ISO_8859_1);
        Random random = new Random(seed);
        ResponseReader reader = new ResponseReader(MAX_BUFFERED_BYTES, true);
        ByteArrayOutputStream streamed = new ByteArrayOutputStream();
        boolean isStreamed = false;
        for (int offset = 0; offset < response.length; ) {
            int pieceBytes = atOnce ? response.length : 1 + random.nextInt(maxPieceBytes);
            int end = Math.min(response.length, offset + pieceBytes);
            ByteBuffer piece = ByteBuffer.wrap(response, offset, end - offset).slice();
            offset = end;
            if (!isStreamed) {
                reader.read(piece);
                isStreamed = reader.isTooLongToBuffer();
                if (isStreamed) {
                    streamed.writeBytes(reader.streamedResponse(null).body());
                }
            }
            if (isStreamed) {
                readBodyPieces(reader, piece, streamed);
            }
            assertFalse(piece.hasRemaining());
        }
        assertEquals(length > MAX_BUFFERED_BYTES, isStreamed);
        assertTrue(reader.isComplete());
        assertArrayEquals(
                body, isStreamed ? streamed.toByteArray() : reader.bufferedResponse().body());
    }

    private static void readBodyPieces(
            ResponseReader reader, ByteBuffer received, ByteArrayOutputStream body)
            throws IOException {
        for (ByteBuffer piece = reader.nextPiece(received);
                piece != null;
                piece = reader.nextPiece(received)) {
            byte[] bytes = new byte[piece.remaining()];
            piece.get(bytes);
            body.writeBytes(bytes);
        }
    }
}
