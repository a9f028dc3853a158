package lemondrift.proxy;

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
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import lemondrift.proxy.admin.AdminServer;
import lemondrift.proxy.config.ProxyConfig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.XnioWorker;

/** The operators' address on loopback, and what its calls do to the proxy. */
class AdminServerTest extends LoopbackFixture {
    private XnioWorker worker;
    private AdminServer adminServer;

    private void operate(StandIn... backends) throws Exception {
        start(backends);
        listen();
        adminServer.setOperations(proxy.adminOperations());
    }

    private void listen() throws IOException {
        worker = ProxyServer.worker();
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

    private static void write(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** The whole response, whose connection closes with it. */
    private String call(String method, String path) throws IOException {
        try (Socket caller = caller()) {
            write(caller, method + " " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
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

    private int reply(String requestClass, String outcome) throws IOException {
        return stats().getAsJsonObject("replies")
                .getAsJsonObject(requestClass)
                .get(outcome)
                .getAsInt();
    }

    private int healthz() throws Exception {
        try (Socket client = new Socket("127.0.0.1", proxy.address().getPort())) {
            write(client, "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
            return Integer.parseInt(read(client).substring(9, 12));
        }
    }

    @Test
    void withoutAProxyCallsAreUnavailableAndMetricsAreZero() throws Exception {
        listen();
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 503 "));
        assertTrue(call("PUT", "/admin/quiesce").startsWith("HTTP/1.1 503 "));
        assertEquals(0, stats().get("targets").getAsInt());
    }

    @Test
    void unknownCallsAreRefused() throws Exception {
        operate(backend(OK));
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 200 "));
        assertTrue(call("GET", "/admin/nothing").startsWith("HTTP/1.1 404 "));
        assertTrue(call("GET", "/admin/loop").startsWith("HTTP/1.1 200 "));
        assertTrue(call("GET", "/healthz").startsWith("HTTP/1.1 404 "));
        String wrong = call("GET", "/admin/quiesce");
        assertTrue(wrong.startsWith("HTTP/1.1 405 ") && wrong.contains("Allow: PUT\r\n"), wrong);
        assertEquals(200, healthz(), "a read must not empty the proxy");
        assertTrue(call("PUT", "/admin/stats").startsWith("HTTP/1.1 405 "));
        assertFalse(call("GET", "/" + "x".repeat(20_000)).startsWith("HTTP/1.1 2"));
        assertFalse(call("\u0001", "nonsense").startsWith("HTTP/1.1 2"));
    }

    @Test
    void stalledCallersKeepNobodyOut() throws Exception {
        operate(backend(OK));
        List<Socket> stuck = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            stuck.add(caller());
            write(stuck.get(i), i % 2 == 0 ? "" : "GET /admin/he");
            assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 200 "));
        }
        assertEquals(-1, stuck.get(0).getInputStream().read(), "the oldest gave way");
        for (Socket each : stuck) {
            each.close();
        }
    }

    @Test
    void clientsAtTheirLimitKeepNoOperatorOut() throws Exception {
        operate(backend(OK));
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 80; i++) {
            clients.add(new Socket("127.0.0.1", proxy.address().getPort()));
        }
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 200 "));
        for (Socket each : clients) {
            each.close();
        }
    }

    @Test
    void metricsCountWhatWasDone() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        operate(
                backend(
                        request ->
                                request.contains("slow")
                                        ? await(go)
                                        : request.contains("bad") ? CLOSE : OK));
        assertEquals(200, look().statusCode());
        assertEquals(200, order("x").statusCode());
        assertEquals(502, order("bad").statusCode());
        assertEquals(400, send(request("order").header("X-Trace-Id", "again")).statusCode());
        JsonObject stats = stats();
        assertEquals(1, reply("look", "success"));
        assertEquals(1, reply("order", "success"));
        assertEquals(2, reply("order", "error"), "a rejected request counts under its class");
        assertEquals(3, stats.get("dispatches").getAsInt());
        assertEquals(0, stats.get("concurrent").getAsInt());
        assertEquals(1, stats.get("targets").getAsInt());
        assertEquals(0, stats.get("targets_disabled").getAsInt());
        var slow =
                http.sendAsync(
                        request("order")
                                .POST(java.net.http.HttpRequest.BodyPublishers.ofString("slow"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        while (stats().get("dispatches").getAsInt() < 4) {
            Thread.onSpinWait();
        }
        assertEquals(1, stats().get("concurrent").getAsInt());
        go.countDown();
        assertEquals(200, slow.get().statusCode());
        while (stats().get("concurrent").getAsInt() > 0) {
            Thread.onSpinWait();
        }
        assertEquals(2, reply("order", "success"));
    }

    private static String await(CountDownLatch go) {
        try {
            go.await();
        } catch (InterruptedException e) {
            return CLOSE;
        }
        return OK;
    }

    @Test
    void oneThatDrainsIsListedAndDisabled() throws Exception {
        StandIn one = backend(OK);
        StandIn other = backend(OK);
        operate(one, other);
        news.add(http(list(2, false, member(0, one.port(), "leaving"))));
        awaitWatch("from=2");
        while (stats().get("targets_disabled").getAsInt() < 1) {
            Thread.onSpinWait();
        }
        assertEquals(2, stats().get("targets").getAsInt());
        news.add(http(list(3, false, member(0, one.port(), "left"))));
        while (stats().get("targets").getAsInt() > 1) {
            Thread.onSpinWait();
        }
        assertEquals(0, stats().get("targets_disabled").getAsInt());
    }

    @Test
    void reloadsAreCounted() throws Exception {
        operate(backend(OK));
        proxy.reload(ProxyConfig.read(config(discovery.port(), false)));
        proxy.reloadFailed();
        proxy.reloadFailed();
        while (stats().get("reload_failure").getAsInt() < 2) {
            Thread.onSpinWait();
        }
        assertEquals(1, stats().get("reload_success").getAsInt());
    }

    @Test
    void quiesceSendsClientsAwayAndResumeTakesThemBack() throws Exception {
        operate(backend(OK));
        List<Socket> stay = new ArrayList<>();
        assertFalse(askAndStay(1, stay).contains("Connection: close"));
        assertTrue(call("PUT", "/admin/quiesce").startsWith("HTTP/1.1 200 "));
        assertEquals(503, healthz());
        assertTrue(
                call("PUT", "/admin/quiesce").startsWith("HTTP/1.1 200 "),
                "quiescing twice is as once");
        assertTrue(
                askAndStay(2, stay).contains("Connection: close"),
                "a new connection is served and closed");
        Socket late = new Socket("127.0.0.1", proxy.address().getPort());
        assertEquals(-1, stay.get(0).getInputStream().read(), "an idle connection is closed");
        assertEquals(-1, late.getInputStream().read(), "a new connection without a request too");
        assertTrue(call("PUT", "/admin/resume").startsWith("HTTP/1.1 200 "));
        assertEquals(200, healthz());
        assertTrue(call("PUT", "/admin/resume").startsWith("HTTP/1.1 200 "));
        assertFalse(askAndStay(3, stay).contains("Connection: close"));
        for (Socket each : stay) {
            each.close();
        }
    }

    @Test
    void sigtermEndsWhatIsQuiesced() throws Exception {
        operate(backend(OK));
        call("PUT", "/admin/quiesce");
        drains().join();
        assertTrue(call("GET", "/admin/health").startsWith("HTTP/1.1 503 "));
        assertTrue(
                call("PUT", "/admin/resume").startsWith("HTTP/1.1 503 "),
                "a stopped proxy stays stopped");
    }
}
