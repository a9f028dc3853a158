package lemondrift.proxy.admin;

import static lemondrift.proxy.DiscoveryMessages.endpointList;
import static lemondrift.proxy.DiscoveryMessages.member;
import static lemondrift.proxy.HttpMessages.NEVER_EXECUTED;
import static lemondrift.proxy.HttpMessages.OK;
import static lemondrift.proxy.HttpMessages.okResponse;
import static lemondrift.proxy.HttpMessages.readMessage;
import static lemondrift.proxy.HttpMessages.writeText;
import static lemondrift.proxy.ScriptedServer.CLOSE;
import static lemondrift.proxy.TestConfig.IDEMPOTENT_CLASS;
import static lemondrift.proxy.TestConfig.NOT_IDEMPOTENT_CLASS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpRequest.BodyPublishers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.IntPredicate;
import lemondrift.proxy.LoopbackFixture;
import lemondrift.proxy.ProxyServer;
import lemondrift.proxy.ScriptedServer;
import lemondrift.proxy.config.ProxyConfig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.XnioWorker;

/** Tests the admin address on loopback: metrics, health, quiescing, unknown and stalled calls. */
class AdminServerTest extends LoopbackFixture {
    private XnioWorker worker;
    private AdminServer adminServer;

    /** Starts the proxy and its admin server. */
    private void startWithAdminServer(ScriptedServer... backends) throws Exception {
        start(backends);
        startAdminServer();
        adminServer.setOperations(proxy.adminOperations());
    }

    private void startAdminServer() throws IOException {
        worker = ProxyServer.createWorker();
        adminServer =
                new AdminServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), worker);
    }

    @AfterEach
    void close() {
        if (worker != null) {
            worker.shutdown();
        }
    }

    private Socket caller() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), adminServer.address().getPort());
    }

    /** Makes a call and returns the response, which ends with the connection. */
    private String call(String method, String path) throws IOException {
        try (Socket caller = caller()) {
            writeText(caller, method + " " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
            var response = new ByteArrayOutputStream();
            caller.getInputStream().transferTo(response);
            return response.toString(StandardCharsets.US_ASCII);
        }
    }

    private JsonObject stats() throws IOException {
        String response = call("GET", "/admin/stats");
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        return JsonParser.parseString(response.substring(response.indexOf("\r\n\r\n")))
                .getAsJsonObject();
    }

    private int replyCount(String requestClass, String outcome) throws IOException {
        return stats().getAsJsonObject("replies")
                .getAsJsonObject(requestClass)
                .get(outcome)
                .getAsInt();
    }

    /** Waits without a timeout until a metric has an expected value. */
    private void awaitStat(String name, IntPredicate expected) throws IOException {
        while (!expected.test(stats().get(name).getAsInt())) {
            Thread.onSpinWait();
        }
    }

    private int healthStatusForClients() throws Exception {
        try (Socket client = connect()) {
            writeText(client, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
            return Integer.parseInt(readMessage(client).substring(9, 12));
        }
    }

    @Test
    void respondsUnavailableAndZeroMetricsWithoutProxy() throws Exception {
        startAdminServer();
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 503 "));
        assertTrue(call("PUT", "/admin/quiesce").startsWith("HTTP/1.1 503 "));
        assertEquals(0, stats().get("targets").getAsInt());
    }

    /** Guards against a failure whose reason no metric counts. */
    @Test
    void countsWhyRequestsAreNotServed() throws Exception {
        startWithAdminServer(backend(NEVER_EXECUTED));
        assertTrue(call("GET", "/admin/not-served").contains("\"NO_BACKEND_FOR_RETRY\":0"));
        assertEquals(503, sendIdempotent().statusCode());
        String response = call("GET", "/admin/not-served");
        assertTrue(response.contains("\"NO_BACKEND_FOR_RETRY\":1"), response);
        assertTrue(response.contains("\"NO_BACKEND\":0"), response);
    }

    @Test
    void rejectsUnknownCalls() throws Exception {
        startWithAdminServer(backend(OK));
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 200 "));
        assertTrue(call("GET", "/admin/nothing").startsWith("HTTP/1.1 404 "));
        assertTrue(call("GET", "/admin/loop").startsWith("HTTP/1.1 200 "));
        assertTrue(call("GET", "/healthz").startsWith("HTTP/1.1 404 "));
        String response = call("GET", "/admin/quiesce");
        assertTrue(
                response.startsWith("HTTP/1.1 405 ") && response.contains("Allow: PUT\r\n"),
                response);
        assertEquals(200, healthStatusForClients(), "a GET call must not quiesce the proxy");
        assertTrue(call("PUT", "/admin/stats").startsWith("HTTP/1.1 405 "));
        assertFalse(call("GET", "/" + "x".repeat(20_000)).startsWith("HTTP/1.1 2"));
        assertFalse(call("\u0001", "nonsense").startsWith("HTTP/1.1 2"));
    }

    @Test
    void servesCallsWhileOtherCallersStall() throws Exception {
        startWithAdminServer(backend(OK));
        List<Socket> stalled = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            stalled.add(caller());
            writeText(stalled.get(i), i % 2 == 0 ? "" : "GET /admin/he");
            assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 200 "));
        }
        assertEquals(
                -1, stalled.get(0).getInputStream().read(), "the oldest connection must be closed");
        closeAll(stalled);
    }

    @Test
    void servesCallsWhileClientsAreAtTheirLimit() throws Exception {
        startWithAdminServer(backend(OK));
        List<Socket> clients = openSilentConnections(80);
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 200 "));
        closeAll(clients);
    }

    @Test
    void metricsCountRepliesAttemptsAndBackends() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        startWithAdminServer(
                backend(
                        request ->
                                request.contains("slow")
                                        ? okOnceReleased(mayRespond)
                                        : request.contains("bad") ? CLOSE : OK));
        assertEquals(200, sendIdempotent().statusCode());
        assertEquals(200, sendNotIdempotent("x").statusCode());
        assertEquals(502, sendNotIdempotent("bad").statusCode());
        assertEquals(
                400,
                send(request(NOT_IDEMPOTENT_CLASS).header("X-Trace-Id", "again")).statusCode());
        JsonObject stats = stats();
        assertEquals(1, replyCount(IDEMPOTENT_CLASS, "success"));
        assertEquals(1, replyCount(NOT_IDEMPOTENT_CLASS, "success"));
        assertEquals(
                2,
                replyCount(NOT_IDEMPOTENT_CLASS, "error"),
                "a refused request must be counted under its class");
        assertEquals(3, stats.get("dispatches").getAsInt());
        assertEquals(0, stats.get("concurrent").getAsInt());
        assertEquals(1, stats.get("targets").getAsInt());
        assertEquals(0, stats.get("targets_disabled").getAsInt());
        var openRequest =
                sendAsync(request(NOT_IDEMPOTENT_CLASS).POST(BodyPublishers.ofString("slow")));
        awaitStat("dispatches", value -> value >= 4);
        assertEquals(1, stats().get("concurrent").getAsInt());
        mayRespond.countDown();
        assertEquals(200, openRequest.get().statusCode());
        awaitStat("concurrent", value -> value <= 0);
        assertEquals(2, replyCount(NOT_IDEMPOTENT_CLASS, "success"));
    }

    private static String okOnceReleased(CountDownLatch mayRespond) {
        try {
            mayRespond.await();
        } catch (InterruptedException e) {
            return CLOSE;
        }
        return OK;
    }

    @Test
    void countsDrainingBackendAsDisabledUntilItIsGone() throws Exception {
        ScriptedServer draining = backend(OK);
        ScriptedServer ready = backend(OK);
        startWithAdminServer(draining, ready);
        discoveryUpdates.add(
                okResponse(endpointList(2, false, member(0, draining.port(), "leaving"))));
        awaitDiscoveryRequest("from=2");
        awaitStat("targets_disabled", value -> value >= 1);
        assertEquals(2, stats().get("targets").getAsInt());
        discoveryUpdates.add(
                okResponse(endpointList(3, false, member(0, draining.port(), "left"))));
        awaitStat("targets", value -> value <= 1);
        assertEquals(0, stats().get("targets_disabled").getAsInt());
    }

    @Test
    void countsReloadsAndFailedReloads() throws Exception {
        startWithAdminServer(backend(OK));
        proxy.reload(ProxyConfig.read(config(discovery.port())));
        proxy.recordReloadFailure();
        proxy.recordReloadFailure();
        awaitStat("reload_failure", value -> value >= 2);
        assertEquals(1, stats().get("reload_success").getAsInt());
    }

    @Test
    void quiesceClosesClientsAndResumeKeepsThemAgain() throws Exception {
        startWithAdminServer(backend(OK));
        List<Socket> connections = new ArrayList<>();
        assertFalse(sendOnNewConnection(1, connections).contains("Connection: close"));
        assertTrue(call("PUT", "/admin/quiesce").startsWith("HTTP/1.1 200 "));
        assertEquals(503, healthStatusForClients());
        assertTrue(
                call("PUT", "/admin/quiesce").startsWith("HTTP/1.1 200 "),
                "quiescing again must succeed");
        assertTrue(
                sendOnNewConnection(2, connections).contains("Connection: close"),
                "a new connection must be served and closed");
        Socket late = connect();
        assertEquals(
                -1,
                connections.get(0).getInputStream().read(),
                "an idle connection must be closed");
        assertEquals(
                -1,
                late.getInputStream().read(),
                "a new connection without a request must be closed");
        assertTrue(call("PUT", "/admin/resume").startsWith("HTTP/1.1 200 "));
        assertEquals(200, healthStatusForClients());
        assertTrue(call("PUT", "/admin/resume").startsWith("HTTP/1.1 200 "));
        assertFalse(sendOnNewConnection(3, connections).contains("Connection: close"));
        closeAll(connections);
    }

    @Test
    void drainStopsQuiescedProxy() throws Exception {
        startWithAdminServer(backend(OK));
        call("PUT", "/admin/quiesce");
        startDrain().join();
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 503 "));
        assertTrue(
                call("PUT", "/admin/resume").startsWith("HTTP/1.1 503 "),
                "a stopped proxy must not resume");
    }
}
