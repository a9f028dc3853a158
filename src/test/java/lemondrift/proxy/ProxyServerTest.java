package lemondrift.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static lemondrift.proxy.DiscoveryMessages.endpointList;
import static lemondrift.proxy.DiscoveryMessages.member;
import static lemondrift.proxy.HttpMessages.CUT_SHORT;
import static lemondrift.proxy.HttpMessages.FIRST_CHUNK;
import static lemondrift.proxy.HttpMessages.LAST_CHUNKS;
import static lemondrift.proxy.HttpMessages.NEVER_EXECUTED;
import static lemondrift.proxy.HttpMessages.OK;
import static lemondrift.proxy.HttpMessages.getRequest;
import static lemondrift.proxy.HttpMessages.okResponse;
import static lemondrift.proxy.HttpMessages.postHead;
import static lemondrift.proxy.HttpMessages.readMessage;
import static lemondrift.proxy.HttpMessages.writeText;
import static lemondrift.proxy.ScriptedServer.CLOSE;
import static lemondrift.proxy.ScriptedServer.SILENCE;
import static lemondrift.proxy.TestConfig.IDEMPOTENT_CLASS;
import static lemondrift.proxy.TestConfig.NOT_IDEMPOTENT_CLASS;
import static lemondrift.proxy.TestConfig.UNUSED_PORT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import lemondrift.proxy.backend.ConnectionPool;
import lemondrift.proxy.lifecycle.ProxyLauncher;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.xnio.XnioWorker;

/**
 * Tests the proxy on loopback: forwarding, retries, local replies, validation, client connections,
 * reload and graceful shutdown.
 */
class ProxyServerTest extends LoopbackFixture {
    /** Maximum length of a response that is buffered completely, in bytes. */
    private static final int BUFFERED_RESPONSE_BYTES = 64 * 1024;

    /** Milliseconds within which the proxy must close a connection. */
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    /** Client timeout of the requests that are written on a socket, in milliseconds. */
    private static final int SHORT_TIMEOUT_MILLIS = 900;

    /** Returns the body of a request that a scripted server received, which is its last line. */
    private static String lastLine(String request) {
        return request.replaceAll("(?s).*\r\n", "");
    }

    /** Sends text on a new connection and returns the response. */
    private String responseTo(String sent) throws IOException {
        try (Socket client = connect()) {
            writeText(client, sent);
            return readMessage(client);
        }
    }

    @Test
    void forwardsRequestAndResponseUnchanged() throws Exception {
        ScriptedServer backend = backend(OK);
        start(backend);
        HttpResponse<String> response = sendNotIdempotent("b\u00e4ll".repeat(9000));
        assertEquals(200, response.statusCode());
        assertEquals("body", response.body());
        String received = backend.requests.take();
        assertTrue(
                received.startsWith("POST /api/x%20y?q=1 HTTP/1.1\r\n"),
                received.substring(0, 200));
        assertTrue(received.contains("X-Trace-Id: " + TRACE_ID + "\r\n"));
        assertTrue(
                received.matches("(?s).*X-Expires-In-Ms: 1?\\d?\\d?\\d\r\n.*"),
                "the remaining time must not exceed the latency objective");
        assertTrue(
                received.endsWith(
                        new String(
                                "b\u00e4ll".getBytes(StandardCharsets.UTF_8),
                                StandardCharsets.ISO_8859_1)));
        assertEquals(200, sendIdempotent().statusCode());
        assertTrue(backend.requests.take().startsWith("GET /api/x%20y?q=1 "));
    }

    @Test
    void retriesIdempotentRequestWhenResponseIsCutShort() throws Exception {
        ScriptedServer cutsShort = backend(CUT_SHORT);
        start(cutsShort, backend(OK));
        for (int i = 0; i < 4; i++) {
            assertEquals("body", sendIdempotent().body());
        }
    }

    @Test
    void failsNonIdempotentRequestWithoutRetryWhenItMayHaveBeenExecuted() throws Exception {
        ScriptedServer closes = backend(CLOSE);
        ScriptedServer cutsShort = backend(CUT_SHORT);
        start(closes, cutsShort);
        HttpResponse<String> response = sendNotIdempotent("x");
        assertEquals(502, response.statusCode());
        assertTrue(response.headers().firstValue("Retry-After").isEmpty());
        assertEquals(1, closes.requests.size() + cutsShort.requests.size());
    }

    @Test
    void readsResponsesInEachFraming() throws Exception {
        ScriptedServer backend =
                backend(
                        request ->
                                switch (lastLine(request)) {
                                    case "chunked" -> FIRST_CHUNK + LAST_CHUNKS;
                                    case "chunked, cut" -> FIRST_CHUNK;
                                    case "closed" ->
                                            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody";
                                    case "empty" -> OK.replace("4\r\n\r\nbody", "0\r\n\r\n");
                                    default -> "HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n";
                                });
        start(backend);
        assertEquals("body", sendNotIdempotent("chunked").body());
        assertEquals("body", sendNotIdempotent("closed").body());
        assertEquals("", sendNotIdempotent("empty").body());
        assertEquals(502, sendNotIdempotent("chunked, cut").statusCode());
        assertEquals(
                502,
                sendNotIdempotent("unmarked").statusCode(),
                "a request whose 504 is not marked as never executed may have been executed");
        assertEquals(5, backend.requests.size());
    }

    /** Guards against a retry that executes a request twice after a reused connection closes. */
    @Test
    void doesNotRetryNonIdempotentRequestWhenReusedConnectionCloses() throws Exception {
        int[] count = {0};
        ScriptedServer backend = backend(request -> ++count[0] == 2 ? CLOSE : OK);
        start(backend);
        assertEquals(200, sendNotIdempotent("x").statusCode());
        assertEquals(502, sendNotIdempotent("x").statusCode());
        assertEquals(2, backend.requests.size());
        assertEquals(200, sendNotIdempotent("x").statusCode());
    }

    @Test
    void retriesElsewhereWhenConnectionIsRefusedOrRequestWasNeverExecuted() throws Exception {
        ScriptedServer overloaded = backend(NEVER_EXECUTED);
        ScriptedServer healthy = backend(OK);
        ScriptedServer closed = backend(OK);
        closed.close();
        start(overloaded, closed, healthy);
        for (int i = 0; i < 2; i++) {
            assertEquals(200, sendNotIdempotent("x").statusCode());
        }
        assertEquals(2, healthy.requests.size());
    }

    @Test
    void timesOutSilentBackendAndRepliesLocally() throws Exception {
        ScriptedServer silent = backend(SILENCE);
        start(silent);
        assertEquals(
                503, sendIdempotent().statusCode(), "a retry of an idempotent request is harmless");
        assertEquals(
                502,
                sendNotIdempotent("x").statusCode(),
                "a retry may execute the request a second time");
        assertTrue(
                silent.awaitConnectionEnd(),
                "the connection of the attempt that timed out was not closed");
    }

    @Test
    void rejectsRequestWhenThereIsNoBackend() throws Exception {
        start();
        assertEquals(503, sendNotIdempotent("x").statusCode());
    }

    @Test
    void cancelsAttemptWhenClientCloses() throws Exception {
        ScriptedServer silent = backend(SILENCE);
        start(silent);
        try (Socket client = connect()) {
            writeText(client, getRequest("a", 600_000));
            assertNotNull(silent.nextRequest());
        }
        assertTrue(silent.awaitConnectionEnd());
    }

    @Test
    void evictsIdleConnectionsForNewClients() throws Exception {
        start(backend(OK));
        List<Socket> idle = openSilentConnections(80);
        for (int i = 0; i < 3; i++) {
            assertEquals(200, sendNotIdempotent("x").statusCode());
        }
        assertEquals(
                -1,
                idle.get(0).getInputStream().read(),
                "the connection that is idle longest must be closed");
        closeAll(idle);
    }

    @Test
    void closesConnectionsOfClientsThatSendOnceAndStay() throws Exception {
        start(backend(OK));
        List<Socket> connections = new ArrayList<>();
        int closed = 0;
        for (int i = 0; i < 20; i++) {
            String response = sendOnNewConnection(i, connections);
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            closed += response.toLowerCase(Locale.ROOT).contains("connection: close") ? 1 : 0;
        }
        // A quarter of the 24 connections may stay idle. Beyond that, only a few connections are
        // kept, to sample idle times.
        assertTrue(closed >= 10, "only " + closed + " connections were closed");
        closeAll(connections);
    }

    @Test
    void keepsConnectionWithPartialRequestWhenIdleOnesAreEvicted() throws Exception {
        start(backend(OK));
        String request = getRequest("a", SHORT_TIMEOUT_MILLIS);
        int cut = request.indexOf("X-Expires-In-Ms");
        try (Socket client = connect()) {
            writeText(client, request.substring(0, cut));
            List<Socket> idle = openSilentConnections(40);
            assertEquals(
                    -1,
                    idle.get(0).getInputStream().read(),
                    "the connection that is idle longest must be closed");
            writeText(client, request.substring(cut));
            assertTrue(readMessage(client).startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    void closesConnectionWhoseRequestStaysIncomplete() throws Exception {
        start(backend(OK));
        for (String incomplete :
                List.of(
                        "",
                        "POST / HTTP/1.1\r\nHost: a\r\nX-",
                        postHead("a", SHORT_TIMEOUT_MILLIS, "Content-Length: 9") + "x")) {
            try (Socket client = connect(READ_TIMEOUT_MILLIS)) {
                writeText(client, incomplete);
                assertEquals(-1, client.getInputStream().read(), incomplete);
            }
        }
    }

    @Test
    void rejectsTraceIdOfOpenRequest() throws Exception {
        ScriptedServer silent = backend(SILENCE);
        start(silent);
        var openRequest = sendAsync(request(IDEMPOTENT_CLASS));
        assertNotNull(silent.nextRequest());
        assertEquals(400, sendIdempotent().statusCode());
        assertEquals(503, openRequest.get().statusCode());
        assertEquals(503, sendIdempotent().statusCode(), "the trace id must be free again");
    }

    @Test
    void reloadMovesDiscoveryWatchUnlessFileIsInvalid(@TempDir Path folder) throws Exception {
        ScriptedServer first = discoveryWithoutChanges(endpointList(7, true));
        ScriptedServer second = discoveryWithoutChanges(endpointList(3, true));
        Path file = Files.writeString(folder.resolve("config.json"), config(first.port()));
        Process child = ProxyProcess.start(file);
        try {
            BufferedReader log = child.inputReader();
            discovery = first;
            awaitDiscoveryRequest("from=7");
            Files.writeString(file, "nonsense");
            assertEquals(0, ProxyProcess.signal(child, "HUP"));
            ProxyProcess.awaitLine(log, "new configuration not used");
            for (ScriptedServer next : List.of(second, first)) {
                Files.writeString(file, config(next.port()));
                assertEquals(0, ProxyProcess.signal(child, "HUP"));
                discovery = next;
                next.requests.clear();
                awaitDiscoveryRequest("from=");
            }
            assertTrue(
                    first.awaitConnectionEnd(), "the watch at the previous address was not closed");
            child.destroy();
            assertEquals(0, child.waitFor());
        } finally {
            child.destroyForcibly();
        }
    }

    @Test
    void answersPipelinedRequestsInOrder() throws Exception {
        start(backend(OK));
        try (Socket client = connect()) {
            writeText(client, getRequest("a", SHORT_TIMEOUT_MILLIS).repeat(3));
            for (int i = 0; i < 3; i++) {
                assertTrue(readMessage(client).startsWith("HTTP/1.1 200"));
            }
        }
    }

    @Test
    void rejectsInvalidRequestsWithoutForwarding() throws Exception {
        ScriptedServer backend = backend(OK);
        start(backend);
        HttpRequest.Builder withoutFields =
                HttpRequest.newBuilder(request(IDEMPOTENT_CLASS).build().uri());
        assertEquals(400, send(withoutFields).statusCode());
        assertEquals(400, send(request("unheard-of")).statusCode());
        for (String timeout : List.of("", "-5", "1e3", "99999999999999999999")) {
            assertEquals(
                    400,
                    send(request(IDEMPOTENT_CLASS).setHeader("X-Expires-In-Ms", timeout))
                            .statusCode(),
                    timeout);
        }
        assertEquals(
                400,
                send(request(IDEMPOTENT_CLASS).header("X-Qos", NOT_IDEMPOTENT_CLASS)).statusCode(),
                "two classes");
        assertEquals(400, send(request(IDEMPOTENT_CLASS).setHeader("X-Trace-Id", "")).statusCode());
        for (String malformed :
                List.of(
                        "GARBAGE\r\n\r\n",
                        post("Transfer-Encoding: gzip"),
                        post("Content-Length : 1\r\nContent-Length: 1") + "x",
                        post("Content-Length: 4\r\nTransfer-Encoding: chunked") + "0\r\n\r\n")) {
            assertTrue(responseTo(malformed).startsWith("HTTP/1.1 400"), malformed);
        }
        assertTrue(
                responseTo("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n")
                        .startsWith("HTTP/1.1 413"));
        assertTrue(backend.requests.isEmpty());
        HttpRequest.BodyPublisher chunked =
                HttpRequest.BodyPublishers.ofByteArrays(
                        IntStream.range(0, 40)
                                .mapToObj(i -> new byte[4096])
                                .collect(Collectors.toList()));
        assertEquals(200, send(request(NOT_IDEMPOTENT_CLASS).POST(chunked)).statusCode());
        assertEquals(200, sendNotIdempotent("x".repeat(64 * 1024)).statusCode());
    }

    private static String post(String framing) {
        return postHead("a", SHORT_TIMEOUT_MILLIS, framing);
    }

    @Test
    void failsRequestWhenErrorResponseExceedsBuffer() throws Exception {
        String body = "x".repeat(BUFFERED_RESPONSE_BYTES + 1);
        start(backend(okResponse(body).replace("200 OK", "500 Error")));
        assertEquals(502, sendNotIdempotent("x").statusCode());
    }

    @Test
    void relaysResponseOneByteLongerThanBuffer() throws Exception {
        String body = "x".repeat(BUFFERED_RESPONSE_BYTES + 1);
        start(backend(okResponse(body)));
        assertEquals(body, sendNotIdempotent("x").body());
    }

    /** Guards against delivering surplus bytes to the next request on the same connection. */
    @Test
    void discardsBytesAfterTheEndOfAResponse() throws Exception {
        start(backend(OK + okResponse("evil")));
        for (int i = 0; i < 6; i++) {
            assertEquals("body", sendIdempotent().body());
        }
    }

    @Test
    void skipsInterimResponses() throws Exception {
        start(
                backend(
                        "HTTP/1.1 103 Early Hints\r\nLink: a\r\nContent-Length: 9\r\n\r\n"
                                + "HTTP/1.1 100 Continue\r\n\r\n"
                                + OK));
        assertEquals("body", sendNotIdempotent("x").body());
    }

    @Test
    void failsRequestWhenResponseIsAmbiguousOrMalformed() throws Exception {
        String head = "HTTP/1.1 200 OK\r\n";
        List<String> malformed =
                List.of(
                        head + "Content-Length: 4\r\nContent-Length: 2\r\n\r\nbody",
                        head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                        head + "Content-Length: -4\r\n\r\nbody",
                        head + "Content-Length: 3000000000\r\n\r\nbody",
                        head + "Content-Length : 4\r\n\r\nbody",
                        head + "\r\nbody",
                        "HTTP/1.1 200 OK\n\nbody",
                        "\u0001\u0002noise\r\n\r\n",
                        head + "X: " + "x".repeat(20_000));
        start(backend(request -> malformed.get(Integer.parseInt(lastLine(request)))));
        for (int i = 0; i < malformed.size(); i++) {
            assertEquals(502, sendNotIdempotent(String.valueOf(i)).statusCode(), malformed.get(i));
        }
    }

    private static ConnectionPool pool(XnioWorker worker, ConnectionPool.ConnectionBudget budget) {
        return new ConnectionPool(
                null,
                worker.getIoThread(),
                null,
                null,
                () -> 0,
                budget,
                4,
                ConnectionPool.Quarantine.NONE);
    }

    @Test
    void closesOldestIdleConnectionOfAnotherPoolWhenBudgetIsExhausted() throws Exception {
        XnioWorker worker = ProxyServer.createWorker();
        ConnectionPool.ConnectionBudget budget = new ConnectionPool.ConnectionBudget(1);
        ConnectionPool firstPool = pool(worker, budget);
        ConnectionPool secondPool = pool(worker, budget);
        assertTrue(firstPool.tryReserveSlot());
        ConnectionPool.PooledConnection pooled =
                firstPool.addConnection(worker.createFullDuplexPipeConnection().getLeftSide());
        assertFalse(secondPool.tryReserveSlot(), "the only connection is in use");
        firstPool.releaseReusable(pooled);
        assertTrue(secondPool.tryReserveSlot());
        assertFalse(pooled.connection.isOpen());
        worker.shutdown();
    }

    @Test
    void choosesBackendByLoadReports() throws Exception {
        String idleReport = "TEXT queue=0, util=0.1";
        ScriptedServer busy =
                backend(
                        request ->
                                request.startsWith("GET /load")
                                        ? okResponse("TEXT queue=9, util=1.0")
                                        : OK);
        ScriptedServer idle =
                backend(
                        request ->
                                request.startsWith("GET /load")
                                        ? okResponse(idleReport)
                                        : OK.replace(
                                                "\r\nC",
                                                "\r\nEndpoint-Load-Metrics: "
                                                        + idleReport
                                                        + "\r\nC"));
        probes = true;
        start(busy, idle);
        for (int i = 0; i < 10; i++) {
            assertEquals(200, sendNotIdempotent("x").statusCode());
        }
        assertEquals(10, idle.requests.size());
    }

    @Test
    void appliesDrainingBackendAndIgnoresMalformedLists() throws Exception {
        ScriptedServer draining = backend(OK);
        ScriptedServer ready = backend(OK);
        start(draining, ready);
        while (draining.requests.isEmpty()) {
            assertEquals(200, sendIdempotent().statusCode());
        }
        ready.requests.clear();
        discoveryUpdates.add(okResponse("{\"revision\":2}"));
        discoveryUpdates.add(okResponse("nonsense"));
        discoveryUpdates.add(
                okResponse(
                        endpointList(
                                3,
                                false,
                                "{\"id\":\"s-9\",\"phase\":\"active\"}",
                                member(0, draining.port(), "leaving"))));
        discoveryUpdates.add(SILENCE);
        awaitDiscoveryRequest("from=3");
        for (int i = 0; i < 6; i++) {
            assertEquals(200, sendNotIdempotent("x").statusCode());
        }
        assertEquals(6, ready.requests.size());
        assertTrue(
                draining.awaitConnectionEnd(),
                "the idle connections to the draining backend were not closed");
    }

    @Test
    void pollsEndpointListWhenNoneIsKnown() throws Exception {
        membershipMode = "on_request";
        start(backend(OK));
        assertEquals(200, sendNotIdempotent("x").statusCode());
    }

    @Test
    void drainAcceptsClientsAnswersAllRequestsAndStops() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        ScriptedServer backend = backend(mayRespond);
        start(backend);
        var openRequest = sendAsync(request(IDEMPOTENT_CLASS));
        assertNotNull(backend.nextRequest());
        int port = proxyPort();
        Thread drain = startDrain();
        var lateRequest = sendAsync(request(IDEMPOTENT_CLASS).setHeader("X-Trace-Id", "late"));
        mayRespond.countDown();
        assertEquals(200, openRequest.get().statusCode());
        assertEquals(200, lateRequest.get().statusCode());
        assertEquals("close", lateRequest.get().headers().firstValue("Connection").orElse(""));
        drain.join();
        assertEquals(ProxyServer.Phase.STOPPED, proxy.phase());
        assertThrows(IOException.class, () -> new Socket("127.0.0.1", port).close());
    }

    @Test
    void invalidConfigurationPrintsOneLineAndExitsWithOne(@TempDir Path folder) throws Exception {
        List<String> invalid =
                List.of(
                        "",
                        "[]",
                        "{",
                        "{\"listen\":\"nowhere\"}",
                        "{\"listen\":3,\"settings\":{}}",
                        config(UNUSED_PORT).replace("retryable", "dubious"),
                        config(UNUSED_PORT).replace("8c1f", "wxyz"));
        for (String text : invalid) {
            Path file = Files.writeString(folder.resolve("config.json"), text);
            ByteArrayOutputStream errorOutput = new ByteArrayOutputStream();
            assertEquals(
                    1,
                    ProxyLauncher.run(
                            Map.of("PROXY_CONFIG", file.toString()), new PrintStream(errorOutput)),
                    text);
            assertEquals(
                    1,
                    ProxyLauncher.check(Map.of("PROXY_CONFIG", file.toString()), System.err),
                    text);
            assertEquals(
                    1, errorOutput.toString(UTF_8).lines().count(), errorOutput.toString(UTF_8));
        }
        assertEquals(1, ProxyLauncher.run(Map.of(), new PrintStream(new ByteArrayOutputStream())));
    }
}
