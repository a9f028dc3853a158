package lemondrift.proxy.http;

import static lemondrift.proxy.DaemonThreads.startDaemon;
import static lemondrift.proxy.HttpMessages.postHead;
import static lemondrift.proxy.HttpMessages.readMessage;
import static lemondrift.proxy.HttpMessages.writeText;
import static lemondrift.proxy.ScriptedServer.SILENCE;
import static lemondrift.proxy.TestConfig.NOT_IDEMPOTENT_CLASS;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import lemondrift.metrics.ProxyMetrics;
import lemondrift.proxy.LoopbackFixture;
import lemondrift.proxy.config.ProxyConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests long requests whose backend stops reading in the middle of the body. */
class StalledUploadTest extends LoopbackFixture {
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    /** The idle time from which all timeouts of clients' connections follow, in seconds. */
    private static final double IDLE_SECONDS = 0.3;

    /** Longer than a client may pause in the middle of a body, in milliseconds. */
    private static final int PAUSE_MILLIS = 900;

    private static final int PAUSE_AFTER_BYTES = 300_000;

    /** How long a client waits for its response, in milliseconds. */
    private static final int CLIENT_TIMEOUT_MILLIS = 1200;

    /** How much later a response may come, in milliseconds. */
    private static final int LATE_MILLIS = 50;

    /** Longer than the buffers of both sides while a backend reads nothing, in bytes. */
    private static final int LONG_BODY_BYTES = 12_000_000;

    /**
     * Longer than the buffers between the proxy and a backend that reads nothing, and short enough
     * that a client can write all of it meanwhile, in bytes.
     */
    private static final int WRITABLE_BODY_BYTES = 5_000_000;

    /** Just longer than what is buffered, in bytes. */
    private static final int SHORT_BODY_BYTES = 600_000;

    /** The forms of a request's framing. */
    private enum Framing {
        LENGTH,
        CHUNKED,
        CONTINUE;

        private String fields(byte[] body) {
            String length = "Content-Length: " + body.length;
            return switch (this) {
                case LENGTH -> length;
                case CHUNKED -> "Transfer-Encoding: chunked";
                case CONTINUE -> "Expect: 100-continue\r\n" + length;
            };
        }
    }

    @TempDir private Path folder;

    private static byte[] randomBody(int bytes) {
        byte[] body = new byte[bytes];
        new Random(bytes).nextBytes(body);
        return body;
    }

    private void shortenClientTimeouts() throws IOException {
        Path limits =
                Files.writeString(folder.resolve("door.json"), "{\"quiet\":" + IDLE_SECONDS + "}");
        configChange =
                config -> {
                    try {
                        Path file =
                                Files.writeString(
                                        folder.resolve("config.json"), config(discovery.port()));
                        return ProxyConfig.read(
                                Map.of(
                                        "PROXY_CONFIG",
                                        file.toString(),
                                        "PROXY_DOOR",
                                        limits.toString()));
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                };
    }

    private Socket sendHead(Framing framing, byte[] body, int timeoutMillis) throws IOException {
        Socket client = connect(READ_TIMEOUT_MILLIS);
        writeText(client, postHead("upload", timeoutMillis, framing.fields(body)));
        if (framing == Framing.CONTINUE) {
            assertTrue(readMessage(client).startsWith("HTTP/1.1 100 "));
        }
        return client;
    }

    /** Sends a body. Returns the time at which its last byte was written. */
    private static long sendBody(Socket client, Framing framing, byte[] body) throws IOException {
        if (framing == Framing.CHUNKED) {
            writeText(client, Integer.toHexString(body.length) + "\r\n");
        }
        client.getOutputStream().write(body);
        if (framing == Framing.CHUNKED) {
            writeText(client, "\r\n0\r\n\r\n");
        }
        return System.nanoTime();
    }

    private static void awaitPause(RecordingBackend backend) {
        while (backend.bodyBytes.get() < PAUSE_AFTER_BYTES) {
            Thread.onSpinWait();
        }
    }

    private void assertRepliesAre(ProxyMetrics.Reply reply, int count) throws Exception {
        long[] counts = replyCounts(NOT_IDEMPOTENT_CLASS).get();
        assertEquals(count, counts[reply.ordinal()]);
    }

    /**
     * Guards against counting the time that a backend takes against the client, whose connection
     * was closed as slow without a response.
     */
    @Test
    void forwardsCompleteBodyAfterBackendHasPaused() throws Exception {
        byte[] body = randomBody(LONG_BODY_BYTES);
        shortenClientTimeouts();
        for (Framing framing : Framing.values()) {
            try (RecordingBackend backend = new RecordingBackend()) {
                backend.pauseAfterBytes = PAUSE_AFTER_BYTES;
                startWithPorts(backend.port());
                try (Socket client = sendHead(framing, body, 4000)) {
                    startDaemon(
                            () -> {
                                awaitPause(backend);
                                Thread.sleep(PAUSE_MILLIS);
                                backend.resume();
                            });
                    sendBody(client, framing, body);
                    String response = readMessage(client);
                    assertNotNull(response, framing + ": the connection ended");
                    assertTrue(response.startsWith("HTTP/1.1 200 "), response);
                    assertTrue(response.endsWith("\r\n\r\nbody"), response);
                }
                assertArrayEquals(body, backend.body.toByteArray());
                proxy.drain();
            }
        }
    }

    /**
     * Guards against a request that is never answered while its backend reads nothing, against a
     * reset that destroys the response, and against a backend that gets the rest afterwards.
     */
    @Test
    void answersRequestInTimeWhileBackendReadsNothing() throws Exception {
        byte[] body = randomBody(LONG_BODY_BYTES);
        shortenClientTimeouts();
        for (Framing framing : Framing.values()) {
            try (RecordingBackend backend = new RecordingBackend()) {
                backend.pauseAfterBytes = PAUSE_AFTER_BYTES;
                startWithPorts(backend.port());
                try (Socket client = sendHead(framing, body, CLIENT_TIMEOUT_MILLIS)) {
                    long sentAt = sendBody(client, framing, body);
                    String response = readMessage(client);
                    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
                    assertNotNull(response, framing + ": the connection ended");
                    assertTrue(response.startsWith("HTTP/1.1 503 "), response);
                    assertTrue(response.endsWith("Service Unavailable"), response);
                    assertTrue(millis <= CLIENT_TIMEOUT_MILLIS + LATE_MILLIS, millis + " ms");
                    assertEquals(-1, client.getInputStream().read(), "closed without a reset");
                }
                backend.resume();
                assertTrue(backend.connectionEnded.await(5, TimeUnit.SECONDS));
                assertEquals(0, backend.completeRequests.get());
                assertRepliesAre(ProxyMetrics.Reply.OVERLOAD, 1);
                proxy.drain();
            }
        }
    }

    /**
     * Guards against a backend that is never at fault for long requests, because their attempts are
     * cancelled when the client stops waiting.
     */
    @Test
    void timesAttemptOutBeforeClientStopsWaiting() throws Exception {
        byte[] body = randomBody(SHORT_BODY_BYTES);
        start(backend(SILENCE));
        try (Socket client = sendHead(Framing.LENGTH, body, CLIENT_TIMEOUT_MILLIS)) {
            sendBody(client, Framing.LENGTH, body);
            String response = readMessage(client);
            assertTrue(response.startsWith("HTTP/1.1 502 "), response);
        }
        String reasons = proxy.adminOperations().notServedJson();
        assertTrue(reasons.contains("\"OVERDUE\":0"), reasons);
    }

    /** Guards against executing a request whose client closed while its backend read nothing. */
    @Test
    void doesNotCompleteRequestOfClientThatClosedDuringThePause() throws Exception {
        byte[] body = randomBody(WRITABLE_BODY_BYTES);
        for (Framing framing : Framing.values()) {
            try (RecordingBackend backend = new RecordingBackend()) {
                backend.pauseAfterBytes = PAUSE_AFTER_BYTES;
                startWithPorts(backend.port());
                try (Socket client = sendHead(framing, body, 4000)) {
                    sendBody(client, framing, body);
                }
                Thread.sleep(PAUSE_MILLIS);
                backend.resume();
                assertTrue(backend.connectionEnded.await(5, TimeUnit.SECONDS));
                assertEquals(0, backend.completeRequests.get(), framing.toString());
                proxy.drain();
            }
        }
    }

    /** Guards against a shutdown that resets a request whose backend reads nothing. */
    @Test
    void answersRequestWhenProxyShutsDownDuringThePause() throws Exception {
        byte[] body = randomBody(LONG_BODY_BYTES);
        shortenClientTimeouts();
        try (RecordingBackend backend = new RecordingBackend()) {
            backend.pauseAfterBytes = PAUSE_AFTER_BYTES;
            startWithPorts(backend.port());
            try (Socket client = sendHead(Framing.LENGTH, body, CLIENT_TIMEOUT_MILLIS)) {
                startDaemon(
                        () -> {
                            awaitPause(backend);
                            startDrain();
                        });
                sendBody(client, Framing.LENGTH, body);
                String response = readMessage(client);
                assertNotNull(response, "the connection ended");
                assertTrue(response.startsWith("HTTP/1.1 503 "), response);
                assertTrue(response.contains("Connection: close"), response);
            }
            assertEquals(0, backend.completeRequests.get());
        }
    }
}
