package lemondrift.proxy;

import static lemondrift.proxy.DaemonThreads.startDaemon;
import static lemondrift.proxy.DiscoveryMessages.endpointList;
import static lemondrift.proxy.DiscoveryMessages.member;
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
import static lemondrift.proxy.TestConfig.LATENCY_OBJECTIVE_MILLIS;
import static lemondrift.proxy.TestConfig.NOT_IDEMPOTENT_CLASS;
import static lemondrift.proxy.TestConfig.TIMEOUT_MILLIS;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import lemondrift.proxy.config.ProxyConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.StreamConnection;

/**
 * Tests pairs of concurrent events in the order that causes failures.
 * docs/incidents/narrow-moments.md lists them.
 */
class RaceConditionsTest extends LoopbackFixture {
    /** Milliseconds after which a read without a response fails the test. */
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    /** A client timeout longer than the timeout of any request class, in milliseconds. */
    private static final int CLIENT_TIMEOUT_MILLIS = 60_000;

    /** Nanoseconds within which an expected state must be reached. */
    private static final long STATE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Milliseconds between checks of the state. */
    private static final long STATE_POLL_MILLIS = 2;

    /** Seconds within which a thread must report its state. */
    private static final long THREAD_TIMEOUT_SECONDS = 5;

    /** Seconds after which a thread that a test blocks continues even if it is not released. */
    private static final long BLOCK_TIMEOUT_SECONDS = 20;

    /** Seconds within which the HTTP client must receive a response. */
    private static final long RESPONSE_TIMEOUT_SECONDS = 10;

    /** Declared length of a body that is streamed to the backend, in bytes. */
    private static final int STREAMED_BODY_BYTES = 1_000_000;

    /** Number of bytes of a streamed body that are sent. */
    private static final int SENT_BODY_BYTES = 400_000;

    /** Milliseconds of a drain during which the I/O thread reads nothing. */
    private static final int UNREAD_MILLIS = 1500;

    /** Milliseconds for which a request stays incomplete during a drain. */
    private static final int INCOMPLETE_MILLIS = 1000;

    /** Milliseconds for which a request that is accepted late in a drain stays incomplete. */
    private static final int LATE_IN_DRAIN_MILLIS = 900;

    /** How many connections are open to be evicted. */
    private static final int CLOSING_CLIENTS = 300;

    /** Milliseconds between two sweeps of the client connections. */
    private static final int SWEEP_INTERVAL_MILLIS = 200;

    /** Milliseconds between a client's close and the moment in which a connection comes up. */
    private static final int CONNECT_DELAY_MILLIS = 300;

    /** How many clients pipeline requests, and how many each of them. */
    private static final int PIPELINING_CLIENTS = 40;

    private static final int PIPELINED_REQUESTS = 200;

    private boolean mayCancel = true;
    private int latencyObjectiveMillis = LATENCY_OBJECTIVE_MILLIS;
    private int timeoutMillis = TIMEOUT_MILLIS;

    @Override
    protected String config(int discoveryPort) {
        String json =
                super.config(discoveryPort)
                        .replace("\"mayCancel\":true", "\"mayCancel\":" + mayCancel)
                        .replace("\"connectTimeout\":250", "\"connectTimeout\":5000");
        return TestConfig.withClassTimes(
                TestConfig.withSockets(json, 1024), latencyObjectiveMillis, timeoutMillis);
    }

    private Socket connectClient() throws IOException {
        return connect(READ_TIMEOUT_MILLIS);
    }

    private static String getRequestWithLongTimeout(String traceId) {
        return getRequest(traceId, CLIENT_TIMEOUT_MILLIS);
    }

    /** Returns a request whose body is incomplete. */
    private static String partialPost(
            String traceId, int clientTimeoutMillis, int declaredBytes, int sentBytes) {
        return postHead(traceId, clientTimeoutMillis, "Content-Length: " + declaredBytes)
                + "x".repeat(sentBytes);
    }

    private static void assertResponseStartsWith(String start, Socket client) throws IOException {
        String response = readMessage(client);
        assertTrue(response != null && response.startsWith(start), String.valueOf(response));
    }

    private ProxyServer.InFlightCounts countInFlight() throws Exception {
        return proxy.countInFlight().get(THREAD_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Waits until the counts reach an expected state. */
    private void awaitInFlight(Predicate<ProxyServer.InFlightCounts> state) throws Exception {
        ProxyServer.InFlightCounts current = countInFlight();
        for (long deadline = System.nanoTime() + STATE_TIMEOUT_NANOS;
                !state.test(current);
                Thread.sleep(STATE_POLL_MILLIS)) {
            assertTrue(System.nanoTime() < deadline, "expected state not reached: " + current);
            current = countInFlight();
        }
    }

    private void awaitNothingInFlight() throws Exception {
        awaitInFlight(new ProxyServer.InFlightCounts(0, 0, 0, 0)::equals);
    }

    /** Waits until both threads have handled the tasks that are queued now. */
    private void awaitQueuedTasks() throws Exception {
        awaitInFlight(counts -> true);
    }

    private long requestsOnIoThread() throws Exception {
        CompletableFuture<Long> requests = new CompletableFuture<>();
        proxy.runOnIoThread(
                () -> requests.complete(proxy.adminOperations().metrics().requestsInFlight()));
        return requests.get(THREAD_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Waits until the I/O thread has a number of open requests. Works with a blocked decision loop.
     */
    private void awaitRequestsOnIoThread(int count) throws Exception {
        long deadline = System.nanoTime() + STATE_TIMEOUT_NANOS;
        while (requestsOnIoThread() != count) {
            assertTrue(System.nanoTime() < deadline);
        }
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            assertTrue(latch.await(BLOCK_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Blocks the decision loop until the latch is released. */
    private CountDownLatch blockDecisionLoop() {
        CountDownLatch release = new CountDownLatch(1);
        proxy.runOnLoop(() -> awaitLatch(release));
        return release;
    }

    private void holdConnections() throws IOException {
        heldConnector = new HeldConnector(ProxyServer.createWorker());
    }

    private void release(HeldConnector.HeldConnection connection) {
        assertNotNull(connection, "no connection is held");
        proxy.runOnIoThread(connection.release());
    }

    /** Asserts that the only connection to a backend is closed and that nothing was sent on it. */
    private static void assertReceivedNothing(ScriptedServer backend) throws Exception {
        assertTrue(backend.awaitConnectionEnd(), "the connection was not closed");
        assertTrue(backend.requests.isEmpty(), backend.requests.toString());
    }

    /** Opens a connection to a backend that the next request reuses. */
    private void openReusableConnection(ScriptedServer backend) throws Exception {
        assertEquals(
                200,
                sendIdempotent().statusCode(),
                "status of the request that opens the connection");
        backend.requests.clear();
    }

    // Clients that leave while their request waits.

    /**
     * Guards against an attempt for a client that left while a connection to the backend came up
     * late, also if its close waits behind many bytes that it had sent ahead.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 4_000, 400_000, 3_000_000})
    void doesNotSendWhenClientLeavesDuringConnectAndCancellationIsOff(int bytesAhead)
            throws Exception {
        mayCancel = false;
        // No timeout ends the request before its client has left.
        setClassTimes(60_000);
        holdConnections();
        ScriptedServer backend = backend(SILENCE);
        start(backend);
        HeldConnector.HeldConnection connection;
        try (Socket client = connectClient()) {
            writeText(client, getRequestWithLongTimeout("a"));
            if (bytesAhead > 0) {
                writeText(client, partialPost("b", TIMEOUT_MILLIS, bytesAhead, bytesAhead));
            }
            connection = heldConnector.nextConnection();
        }
        Thread.sleep(CONNECT_DELAY_MILLIS);
        release(connection);
        assertReceivedNothing(backend);
        awaitNothingInFlight();
    }

    /** Guards against an attempt that runs on for a client that has left, after a body was read. */
    @ParameterizedTest
    @ValueSource(ints = {0, 4_000, 3_000_000})
    void cancelsAttemptWhenClientLeavesAfterRequestWithBody(int bytesAhead) throws Exception {
        setClassTimes(60_000);
        ScriptedServer backend = backend(SILENCE);
        start(backend);
        try (Socket client = connectClient()) {
            writeText(client, partialPost("a", CLIENT_TIMEOUT_MILLIS, 10, 10));
            assertNotNull(backend.nextRequest());
            if (bytesAhead > 0) {
                writeText(client, partialPost("b", CLIENT_TIMEOUT_MILLIS, bytesAhead, bytesAhead));
            }
        }
        assertTrue(backend.awaitConnectionEnd(), "the attempt runs on");
        awaitNothingInFlight();
    }

    @Test
    void doesNotSendWhenClientLeavesBeforeTheDecision() throws Exception {
        mayCancel = false;
        ScriptedServer backend = backend(OK);
        start(backend);
        openReusableConnection(backend);
        CountDownLatch mayDecide = blockDecisionLoop();
        try (Socket client = connectClient()) {
            writeText(client, getRequestWithLongTimeout("b"));
            awaitRequestsOnIoThread(1);
        }
        awaitRequestsOnIoThread(0);
        mayDecide.countDown();
        awaitNothingInFlight();
        assertEquals(200, sendIdempotent().statusCode());
        assertFalse(backend.requests.take().contains("X-Trace-Id: b"));
        assertTrue(backend.requests.isEmpty());
    }

    @Test
    void endsRequestWhenClientLeavesAfterPipeliningMore() throws Exception {
        setClassTimes(60_000);
        ScriptedServer backend = backend(SILENCE);
        start(backend);
        for (String pipelined :
                new String[] {
                    "G",
                    getRequestWithLongTimeout("next").substring(0, 60),
                    getRequestWithLongTimeout("next") + getRequestWithLongTimeout("third")
                }) {
            try (Socket client = connectClient()) {
                writeText(client, getRequestWithLongTimeout("a"));
                assertNotNull(backend.nextRequest());
                writeText(client, pipelined);
            }
            awaitNothingInFlight();
        }
        try (Socket client = connectClient()) {
            writeText(
                    client,
                    getRequestWithLongTimeout("a") + getRequestWithLongTimeout("in one piece"));
            assertNotNull(backend.nextRequest());
        }
        awaitNothingInFlight();
        Socket reset = connectClient();
        writeText(reset, getRequestWithLongTimeout("a"));
        assertNotNull(backend.nextRequest());
        writeText(reset, "GE");
        reset.setSoLinger(true, 0);
        reset.close();
        awaitNothingInFlight();
        assertTrue(
                backend.requests.isEmpty(),
                "a pipelined request was forwarded: " + backend.requests);
    }

    private void setClassTimes(int millis) {
        latencyObjectiveMillis = millis;
        timeoutMillis = millis;
    }

    @Test
    void answersPipelinedRequestsInOrderWhenTheyArriveInPieces() throws Exception {
        int pieceBytes = 37;
        CountDownLatch mayRespond = new CountDownLatch(1);
        ScriptedServer backend = backend(mayRespond);
        start(backend);
        try (Socket client = connectClient()) {
            writeText(client, getRequestWithLongTimeout("a"));
            assertNotNull(backend.nextRequest());
            String pipelined = getRequestWithLongTimeout("b") + getRequestWithLongTimeout("c");
            for (int at = 0; at < pipelined.length(); at += pieceBytes) {
                writeText(
                        client,
                        pipelined.substring(at, Math.min(pipelined.length(), at + pieceBytes)));
            }
            mayRespond.countDown();
            for (int i = 0; i < 3; i++) {
                assertTrue(readMessage(client).startsWith("HTTP/1.1 200"));
            }
        }
        awaitNothingInFlight();
    }

    @Test
    void closesBackendConnectionWhenClientLeavesDuringUpload() throws Exception {
        mayCancel = false;
        ScriptedServer backend = backend(SILENCE);
        start(backend);
        try (Socket client = connectClient()) {
            writeText(
                    client, partialPost("a", TIMEOUT_MILLIS, STREAMED_BODY_BYTES, SENT_BODY_BYTES));
            awaitInFlight(counts -> counts.calls() == 1);
        }
        awaitNothingInFlight();
        assertTrue(backend.awaitConnectionEnd(), "the connection was not closed");
        assertTrue(
                backend.requests.take().length() < STREAMED_BODY_BYTES,
                "the backend received the whole request and may execute it");
    }

    /** Guards against a trace id or other state that is kept after its client has left. */
    @Test
    void releasesAllStateWhenClientsLeaveAtRandomSteps() throws Exception {
        start(backend(OK), backend(CLOSE), backend(NEVER_EXECUTED));
        List<Thread> clients = new ArrayList<>();
        Queue<Exception> failures = new ConcurrentLinkedQueue<>();
        for (int clientNumber = 0; clientNumber < 6; clientNumber++) {
            Random random = new Random(clientNumber);
            String traceId = "same-" + clientNumber / 2;
            clients.add(
                    new Thread(
                            () -> {
                                try {
                                    for (int i = 0; i < 40; i++) {
                                        closeAtRandomStep(random, traceId);
                                    }
                                } catch (Exception e) {
                                    failures.add(e);
                                }
                            }));
        }
        clients.forEach(Thread::start);
        for (Thread client : clients) {
            client.join();
        }
        assertEquals(List.of(), List.copyOf(failures));
        awaitNothingInFlight();
        // A request that a client sent before it left may be read after the check above, so this
        // waits once more. State that is wrongly kept never goes away.
        awaitRequestsOnIoThread(0);
        for (int i = 0; i < 3; i++) {
            int status =
                    send(request(IDEMPOTENT_CLASS).setHeader("X-Trace-Id", "same-" + i))
                            .statusCode();
            assertNotEquals(400, status, "the trace id is still in use");
        }
    }

    private void closeAtRandomStep(Random random, String traceId) throws IOException {
        try (Socket client = connectClient()) {
            switch (random.nextInt(6)) {
                case 0 -> writeText(client, getRequestWithLongTimeout(traceId));
                case 1 ->
                        writeText(
                                client,
                                getRequestWithLongTimeout(traceId)
                                        + getRequestWithLongTimeout(traceId + "-ahead"));
                case 2 -> writeText(client, partialPost(traceId, TIMEOUT_MILLIS, 300_000, 290_000));
                case 3 -> {
                    writeText(client, getRequestWithLongTimeout(traceId));
                    readMessage(client);
                }
                case 4 -> writeText(client, getRequestWithLongTimeout(traceId).substring(0, 50));
                default -> {
                    writeText(client, getRequestWithLongTimeout(traceId));
                    client.setSoLinger(true, 0);
                }
            }
        }
    }

    // Deadlines that pass and endpoint lists that arrive while an attempt waits.

    @Test
    void doesNotSendWhenConnectionOpensAfterAttemptDeadline() throws Exception {
        latencyObjectiveMillis = 300;
        holdConnections();
        ScriptedServer backend = backend(SILENCE);
        start(backend);
        var response = sendAsync(request(NOT_IDEMPOTENT_CLASS));
        HeldConnector.HeldConnection connection = heldConnector.nextConnection();
        proxy.runOnIoThread(
                () -> {
                    // Blocks the I/O thread until the deadline has passed, so that no timer runs
                    // before the connection is open.
                    try {
                        Thread.sleep(400);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    connection.release().run();
                });
        assertReceivedNothing(backend);
        assertEquals(
                503,
                response.get(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS).statusCode(),
                "the request was never executed, so it must be rejected");
        awaitNothingInFlight();
    }

    /** Guards against sending an attempt before the I/O thread has read its client's close. */
    @Test
    void doesNotSendWhenClientLeavesWhileIoThreadIsBlocked() throws Exception {
        mayCancel = false;
        ScriptedServer backend = backend(OK);
        start(backend);
        openReusableConnection(backend);
        CountDownLatch mayDecide = blockDecisionLoop();
        CountDownLatch clientLeft = new CountDownLatch(1);
        try (Socket client = connectClient()) {
            writeText(client, getRequestWithLongTimeout("b"));
            awaitRequestsOnIoThread(1);
            proxy.runOnIoThread(
                    () -> {
                        awaitLatch(clientLeft);
                        mayDecide.countDown();
                        // Nothing is read until the decision to send the attempt is made.
                        CountDownLatch decided = new CountDownLatch(1);
                        proxy.runOnLoop(decided::countDown);
                        awaitLatch(decided);
                    });
        }
        clientLeft.countDown();
        awaitNothingInFlight();
        assertTrue(backend.requests.isEmpty(), "sent although the client had left");
    }

    /**
     * Guards against a proxy that accepts and answers nobody any more, because an eviction failed
     * on connections whose clients had closed them unnoticed.
     */
    @Test
    void servesAfterEvictingConnectionsThatClientsHaveClosedUnnoticed() throws Exception {
        start(backend(OK));
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CLOSING_CLIENTS; i++) {
            Socket client = connectClient();
            clients.add(client);
            String request = getRequestWithLongTimeout("closing-" + i);
            writeText(client, request.replace("Host: a\r\n", "Host: a\r\nConnection: close\r\n"));
            assertResponseStartsWith("HTTP/1.1 200", client);
            assertEquals(-1, client.getInputStream().read(), "the proxy has shut down its side");
        }
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch clientsLeft = new CountDownLatch(1);
        proxy.runOnIoThread(
                () -> {
                    blocked.countDown();
                    awaitLatch(clientsLeft);
                });
        awaitLatch(blocked);
        closeAll(clients);
        // Lowers the limit below the number of open connections. The next sweep, which is due by
        // then, runs before anything is read.
        proxy.setProcessCount(CLOSING_CLIENTS);
        Thread.sleep(2 * SWEEP_INTERVAL_MILLIS);
        clientsLeft.countDown();
        awaitQueuedTasks();
        proxy.setProcessCount(1);
        assertEquals(200, sendIdempotent().statusCode());
        String taskCounts = proxy.adminOperations().tasksJson();
        assertFalse(taskCounts.matches(".*:[1-9].*"), taskCounts);
        try (Socket silent = connectClient()) {
            assertEquals(-1, silent.getInputStream().read(), "connections still time out");
        }
    }

    /**
     * Guards against late answers: while tasks of the I/O thread follow one another, as for
     * pipelined requests that the proxy answers by itself, it runs no timer and reads no socket.
     */
    @Test
    void runsTimersWhileClientsPipelineHealthChecks() throws Exception {
        holdConnections();
        start(backend(OK));
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < PIPELINING_CLIENTS; i++) {
            clients.add(connectClient());
        }
        awaitQueuedTasks();
        proxy.runOnIoThread(
                () -> {
                    blocked.countDown();
                    awaitLatch(release);
                });
        awaitLatch(blocked);
        for (Socket client : clients) {
            writeText(
                    client, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n".repeat(PIPELINED_REQUESTS));
        }
        release.countDown();
        awaitReceivedBytes(clients);
        CompletableFuture<Integer> bytesAtTimer = new CompletableFuture<>();
        heldConnector
                .worker()
                .getIoThread()
                .executeAfter(
                        () -> bytesAtTimer.complete(availableBytes(clients)),
                        1,
                        TimeUnit.MILLISECONDS);
        int bytesUntilTimer = bytesAtTimer.get(THREAD_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        int allBytes = 0;
        for (Socket client : clients) {
            for (int i = 0; i < PIPELINED_REQUESTS; i++) {
                allBytes += readMessage(client).length();
            }
            client.close();
        }
        assertTrue(
                bytesUntilTimer < allBytes / 2,
                "bytes of responses before a timer of 1 ms: "
                        + bytesUntilTimer
                        + " of "
                        + allBytes);
    }

    private static void awaitReceivedBytes(List<Socket> clients) {
        while (availableBytes(clients) == 0) {
            Thread.onSpinWait();
        }
    }

    private static int availableBytes(List<Socket> clients) {
        try {
            int bytes = 0;
            for (Socket client : clients) {
                bytes += client.getInputStream().available();
            }
            return bytes;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Guards against a backend that works past the deadline by the duration of the handshake. */
    @Test
    void sendsRemainingTimeWhenConnectionOpensLate() throws Exception {
        int handshakeMillis = 600;
        holdConnections();
        ScriptedServer backend = backend(OK);
        start(backend);
        var response = sendAsync(request(IDEMPOTENT_CLASS));
        HeldConnector.HeldConnection connection = heldConnector.nextConnection();
        Thread.sleep(handshakeMillis);
        release(connection);
        assertEquals(200, response.get(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS).statusCode());
        String remainingMillis =
                backend.requests.take().replaceFirst("(?s).*X-Expires-In-Ms: (\\d+)\r\n.*", "$1");
        assertTrue(
                Integer.parseInt(remainingMillis) <= latencyObjectiveMillis - handshakeMillis,
                remainingMillis);
    }

    /**
     * Guards against 502, "may have been executed", for a request that was never sent (OVERDUE).
     */
    @ParameterizedTest
    @ValueSource(strings = {IDEMPOTENT_CLASS, NOT_IDEMPOTENT_CLASS})
    void rejectsUnsentRequestAtDeadlineWhenDecisionLoopIsBlocked(String requestClass)
            throws Exception {
        timeoutMillis = 500;
        latencyObjectiveMillis = 400;
        ScriptedServer backend = backend(OK);
        start(backend);
        CountDownLatch mayDecide = blockDecisionLoop();
        try (Socket client = connectClient()) {
            writeText(client, getRequest("a", requestClass, 300));
            assertResponseStartsWith("HTTP/1.1 503", client);
            mayDecide.countDown();
            awaitNothingInFlight();
            assertTrue(backend.requests.isEmpty());
        }
    }

    /** Runs a task and returns the lines with a text that are logged in the meantime. */
    private static List<String> captureLogLines(String text, Callable<Void> task) throws Exception {
        PrintStream standardError = System.err;
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
        try {
            task.call();
        } finally {
            System.setErr(standardError);
        }
        return log.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains(text))
                .toList();
    }

    /** Guards against a log line with the values of the next request on the connection. */
    @Test
    void logsWhyARequestIsNotServedOnceAndWithItsOwnFigures() throws Exception {
        timeoutMillis = 500;
        latencyObjectiveMillis = 400;
        start(backend(SILENCE));
        CountDownLatch mayDecide = blockDecisionLoop();
        List<String> notServed =
                captureLogLines(
                        "not served",
                        () -> {
                            try (Socket client = connectClient()) {
                                writeText(client, getRequest("a", 300));
                                assertResponseStartsWith("HTTP/1.1 503", client);
                                writeText(client, getRequest("b", 300));
                                awaitRequestsOnIoThread(1);
                                mayDecide.countDown();
                                assertResponseStartsWith("HTTP/1.1 503", client);
                                awaitNothingInFlight();
                            }
                            return null;
                        });
        assertEquals(2, notServed.size(), notServed.toString());
        assertTrue(
                notServed.get(0).contains("trace=a class=look rejected=OVERDUE attempts=0"),
                notServed.toString());
        assertTrue(
                notServed.get(1).matches(".*trace=b class=look rejected=[A-Z_]+ attempts=1.*"),
                notServed.toString());
    }

    /** Guards against a 4xx response that is not logged. */
    @Test
    void logsWhyARequestIsRefused() throws Exception {
        start(backend(OK));
        List<String> refused =
                captureLogLines(
                        "refused",
                        () -> {
                            try (Socket client = connectClient()) {
                                writeText(client, getRequest("a", "nothing-known", 300));
                                assertResponseStartsWith("HTTP/1.1 400", client);
                            }
                            try (Socket client = connectClient()) {
                                writeText(
                                        client,
                                        postHead("b", 300, "Content-Length: " + (41 << 20)));
                                assertResponseStartsWith("HTTP/1.1 413", client);
                            }
                            return null;
                        });
        assertEquals(2, refused.size(), refused.toString());
        assertTrue(
                refused.get(0).endsWith("refused status=400 why=BAD_FIELD_OR_OPEN_ID trace=a"),
                refused.toString());
        assertTrue(
                refused.get(1).endsWith("refused status=413 why=BODY_TOO_LONG trace=b"),
                refused.toString());
    }

    /**
     * Guards against 503, "a retry is harmless", for a non-idempotent request that a backend may
     * have executed.
     */
    @ParameterizedTest
    @CsvSource({IDEMPOTENT_CLASS + ",503", NOT_IDEMPOTENT_CLASS + ",502"})
    void endsSentRequestAtDeadlineByItsIdempotencyWhenDecisionLoopIsBlocked(
            String requestClass, int status) throws Exception {
        timeoutMillis = 500;
        latencyObjectiveMillis = 400;
        ScriptedServer backend = backend(SILENCE);
        start(backend);
        try (Socket client = connectClient()) {
            writeText(client, getRequest("a", requestClass, 300));
            assertNotNull(backend.nextRequest());
            CountDownLatch mayDecide = blockDecisionLoop();
            assertResponseStartsWith("HTTP/1.1 " + status, client);
            mayDecide.countDown();
            awaitNothingInFlight();
        }
    }

    @Test
    void sendsElsewhereWhenBackendDrainsDuringConnect() throws Exception {
        assertSentElsewhereAfterListDuringConnect(port -> port, "leaving");
    }

    @Test
    void doesNotSendToFormerAddressWhenBackendMovesDuringConnect() throws Exception {
        int newPort = backend(OK).port();
        assertSentElsewhereAfterListDuringConnect(port -> newPort, "active");
    }

    /**
     * Applies a list that changes a backend while an attempt waits for its connection, and asserts
     * that the attempt goes to the other backend.
     */
    private void assertSentElsewhereAfterListDuringConnect(
            IntUnaryOperator newPort, String newPhase) throws Exception {
        holdConnections();
        ScriptedServer first = backend(OK);
        ScriptedServer second = backend(OK);
        start(first, second);
        var response = sendAsync(request(NOT_IDEMPOTENT_CLASS));
        HeldConnector.HeldConnection connection = heldConnector.nextConnection();
        ScriptedServer changed = connection.address().getPort() == first.port() ? first : second;
        discoveryUpdates.add(
                okResponse(
                        endpointList(
                                2,
                                false,
                                member(
                                        changed == first ? 0 : 1,
                                        newPort.applyAsInt(changed.port()),
                                        newPhase))));
        awaitDiscoveryRequest("from=2");
        awaitQueuedTasks();
        release(connection);
        release(heldConnector.nextConnection());
        assertEquals(200, response.get(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS).statusCode());
        assertTrue(changed.requests.isEmpty(), "sent to the backend after the list had changed it");
        awaitNothingInFlight();
    }

    // Completion of attempts.

    @Test
    void endsAttemptOnceWhenConnectorThrows() throws Exception {
        heldConnector =
                new HeldConnector(ProxyServer.createWorker()) {
                    @Override
                    public IoFuture<StreamConnection> open(
                            InetSocketAddress address, ChannelListener<StreamConnection> opened) {
                        throw new IllegalStateException("thrown by the test");
                    }
                };
        start(backend(OK));
        assertEquals(503, sendIdempotent().statusCode());
        assertEquals(0, countInFlight().calls(), "attempts still in flight");
        awaitNothingInFlight();
    }

    // Graceful shutdown.

    @Test
    void answersUnreadRequestWhenDrainEnds() throws Exception {
        setClassTimes(60_000);
        start(backend(OK));
        assertEquals(200, sendIdempotent().statusCode());
        CountDownLatch mayRead = new CountDownLatch(1);
        proxy.runOnIoThread(() -> awaitLatch(mayRead));
        try (Socket client = connectClient()) {
            writeText(client, getRequestWithLongTimeout("a"));
            Thread drain = startDrain();
            drain.join(UNREAD_MILLIS);
            mayRead.countDown();
            assertResponseStartsWith("HTTP/1.1 200", client);
            drain.join();
        }
    }

    @Test
    void answersPartialRequestThatIsCompletedDuringDrain() throws Exception {
        start(backend(OK));
        String whole = postHead("a", TIMEOUT_MILLIS, "Content-Length: 4") + "body";
        for (int cut : new int[] {whole.length() - 2, whole.length() - 30}) {
            if (proxy.phase() == ProxyServer.Phase.STOPPED) {
                start(backend(OK));
            }
            try (Socket client = connectClient()) {
                writeText(client, whole.substring(0, cut));
                Thread drain = startDrain();
                client.setSoTimeout(INCOMPLETE_MILLIS);
                assertThrows(
                        SocketTimeoutException.class,
                        () -> client.getInputStream().read(),
                        "the connection was closed or received a response");
                client.setSoTimeout(READ_TIMEOUT_MILLIS);
                writeText(client, whole.substring(cut));
                assertResponseStartsWith("HTTP/1.1 200", client);
                drain.join();
            }
        }
    }

    @Test
    void answersRequestThatIsAcceptedLateInDrain() throws Exception {
        setClassTimes(1500);
        start(backend(SILENCE));
        try (Socket client = connectClient()) {
            writeText(client, getRequestWithLongTimeout("a").substring(0, 40));
            Thread drain = startDrain();
            client.setSoTimeout(LATE_IN_DRAIN_MILLIS);
            assertThrows(SocketTimeoutException.class, () -> client.getInputStream().read());
            client.setSoTimeout(READ_TIMEOUT_MILLIS);
            writeText(client, getRequestWithLongTimeout("a").substring(40));
            assertResponseStartsWith("HTTP/1.1 50", client);
            drain.join();
        }
    }

    @Test
    void answersOpenUploadWhenDrainEnds() throws Exception {
        setClassTimes(1000);
        start(backend(SILENCE));
        try (Socket client = connectClient()) {
            writeText(client, partialPost("a", 1000, STREAMED_BODY_BYTES, SENT_BODY_BYTES));
            awaitInFlight(counts -> counts.calls() == 1);
            Thread drain = startDrain();
            assertResponseStartsWith("HTTP/1.1 50", client);
            drain.join();
        }
    }

    @Test
    void deliversResponseWhenConnectionClosesWithUnreadInput() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        ScriptedServer backend = backend(mayRespond);
        start(backend);
        try (Socket client = connectClient()) {
            writeText(client, getRequestWithLongTimeout("a"));
            assertNotNull(backend.nextRequest());
            writeText(client, partialPost("b", TIMEOUT_MILLIS, 100_000, 50_000));
            Thread drain = startDrain();
            mayRespond.countDown();
            drain.join();
            assertResponseStartsWith("HTTP/1.1 200", client);
        }
    }

    // Idle connections.

    /** Guards against delivering a late second response to the next request. */
    @Test
    void discardsSecondResponseThatArrivesAfterTheNextRequest() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            startDaemon(
                    () -> {
                        for (boolean first = true; ; first = false) {
                            Socket connection = server.accept();
                            String excess = first ? okResponse("evil") : "";
                            startDaemon(
                                    () -> {
                                        readMessage(connection);
                                        writeText(connection, OK + excess);
                                        // Sends another response only after a second request, if
                                        // one arrives on this connection.
                                        readMessage(connection);
                                        writeText(connection, okResponse("evil") + OK);
                                    });
                        }
                    });
            startWithPorts(server.getLocalPort());
            for (int i = 0; i < 5; i++) {
                assertEquals("body", sendIdempotent().body());
            }
        }
    }

    // Settings.

    @Test
    void doesNotReuseIndexOfRemovedClassWhileClientSideUsesIt() throws Exception {
        ScriptedServer backend = backend(OK);
        start(backend);
        JsonObject withoutFirst =
                JsonParser.parseString(config(discovery.port())).getAsJsonObject();
        JsonObject withNewClass = withoutFirst.deepCopy();
        withoutFirst.getAsJsonObject("settings").getAsJsonArray("serviceGrades").remove(0);
        withNewClass
                .getAsJsonObject("settings")
                .getAsJsonArray("serviceGrades")
                .get(0)
                .getAsJsonObject()
                .addProperty("name", "new");
        CountDownLatch mayDecide = blockDecisionLoop();
        proxy.reload(ProxyConfig.read(withoutFirst.toString()));
        proxy.reload(ProxyConfig.read(withNewClass.toString()));
        try (Socket client = connectClient()) {
            writeText(client, getRequestWithLongTimeout("a"));
            awaitRequestsOnIoThread(1);
            mayDecide.countDown();
            assertTrue(
                    readMessage(client).startsWith("HTTP/1.1 200"),
                    "the request must follow the settings at its arrival");
        }
        awaitQueuedTasks();
        assertEquals(3, proxy.classIndexCount(), "the new class must have an index of its own");
    }

    // Endpoint lists.

    /** Guards against a request to a backend that started to drain before the proxy started. */
    @Test
    void acceptsNoClientBeforeTheFirstListFromDiscovery() throws Exception {
        ScriptedServer draining = backend(OK);
        ScriptedServer ready = backend(OK);
        CountDownLatch mayRespond = new CountDownLatch(1);
        String fullList =
                endpointList(
                        2,
                        true,
                        member(0, draining.port(), "leaving"),
                        member(1, ready.port(), "active"));
        discovery =
                scriptedServer(
                        request -> {
                            awaitLatch(mayRespond);
                            return request.contains("?") ? SILENCE : okResponse(fullList);
                        });
        JsonObject config = JsonParser.parseString(config(discovery.port())).getAsJsonObject();
        config.add(
                "known",
                JsonParser.parseString(
                        endpointList(1, true, member(0, draining.port(), "active"))));
        proxy = new ProxyServer(ProxyConfig.read(config.toString()));
        Thread startup = new Thread(() -> assertDoesNotThrow(() -> proxy.serve()));
        startup.start();
        assertNotNull(discovery.nextRequest());
        startup.join(200);
        if (proxy.phase() == ProxyServer.Phase.SERVING) {
            assertEquals(200, sendIdempotent().statusCode());
        }
        mayRespond.countDown();
        startup.join();
        assertEquals(200, sendIdempotent().statusCode());
        assertTrue(draining.requests.isEmpty(), "sent to a backend that drained before the start");
    }

    /**
     * Guards against missed changes: a change counts as known to the proxy after 6 s, so two silent
     * watches must be reopened within that time.
     */
    @Test
    void reopensTwoSilentWatchesInARowInTime() throws Exception {
        start(backend(OK));
        long startedAt = System.nanoTime();
        discoveryUpdates.add(SILENCE);
        awaitDiscoveryRequest("from=1");
        discoveryUpdates.add(SILENCE);
        awaitDiscoveryRequest("from=1");
        assertTrue(System.nanoTime() - startedAt < 6e9, "the third watch was opened too late");
    }

    @Test
    void ignoresOnlyTheUnreadableMemberOfAList() throws Exception {
        ScriptedServer first = backend(OK);
        ScriptedServer second = backend(OK);
        start(first, second);
        discoveryUpdates.add(
                okResponse(
                        endpointList(
                                2,
                                true,
                                member(0, first.port(), "active")
                                        .replace("\"cell\":0", "\"cell\":\"none\""),
                                member(1, second.port(), "leaving"))));
        discoveryUpdates.add(SILENCE);
        awaitDiscoveryRequest("from=2");
        assertEquals(200, sendNotIdempotent("x").statusCode());
        assertEquals(
                1, first.requests.size(), "the backend with the unreadable entry must stay usable");
    }
}
