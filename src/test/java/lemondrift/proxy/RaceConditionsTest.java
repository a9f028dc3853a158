package lemondrift.proxy;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import lemondrift.proxy.config.ProxyConfig;
import org.junit.jupiter.api.Test;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.StreamConnection;

/**
 * Two events that cross, in the order that does harm; docs/incidents/narrow-moments.md has the
 * list.
 */
class RaceConditionsTest extends LoopbackFixture {
    private boolean mayCancel = true;
    private int contractTime = 1500;
    private int expiry = 4000;

    @Override
    String config(int discovery, boolean probes) {
        return super.config(discovery, probes)
                .replace("\"mayCancel\":true", "\"mayCancel\":" + mayCancel)
                .replace("\"sockets\":64", "\"sockets\":1024")
                .replace("\"connectTimeout\":250", "\"connectTimeout\":5000")
                .replace("\"contractTime\":1500", "\"contractTime\":" + contractTime)
                .replace("\"expiry\":4000", "\"expiry\":" + expiry);
    }

    private Socket client() throws IOException {
        Socket client = new Socket("127.0.0.1", proxy.address().getPort());
        client.setSoTimeout(10_000);
        return client;
    }

    private static String get(String trace) {
        return "GET / HTTP/1.1\r\nHost: a\r\nX-Trace-Id: "
                + trace
                + "\r\nX-Qos: look\r\nX-Expires-In-Ms: 60000\r\n\r\n";
    }

    private static void write(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Waits for a state that is to be reached at last. */
    private ProxyServer.InFlight await(Predicate<ProxyServer.InFlight> state) throws Exception {
        ProxyServer.InFlight now = proxy.inFlight().get(5, TimeUnit.SECONDS);
        for (long until = System.nanoTime() + 10_000_000_000L; !state.test(now); Thread.sleep(2)) {
            assertTrue(System.nanoTime() < until, "not reached, but " + now);
            now = proxy.inFlight().get(5, TimeUnit.SECONDS);
        }
        return now;
    }

    private void nothingIsInHand() throws Exception {
        await(new ProxyServer.InFlight(0, 0, 0, 0)::equals);
    }

    private void lateConnections() throws IOException {
        dial = new LateDial(ProxyServer.worker());
    }

    private void letUp(LateDial.Up connection) {
        assertNotNull(connection, "none waits");
        proxy.runOnIoThread(connection.run());
    }

    /** Nothing was sent on the one connection that came up, and it is closed. */
    private static void sawNothing(StandIn backend) throws Exception {
        assertTrue(backend.left.await(5, TimeUnit.SECONDS), "its connection is closed");
        assertTrue(backend.requests.isEmpty(), backend.requests.toString());
    }

    // A client that left while its request waited.

    @Test
    void whoLeftWhileAConnectionCameUpIsNotSentOnThoughNothingMayBeCalledOff() throws Exception {
        mayCancel = false;
        lateConnections();
        StandIn backend = backend(SILENCE);
        start(backend);
        LateDial.Up up;
        try (Socket client = client()) {
            write(client, get("a"));
            up = dial.next();
        }
        await(now -> now.connections() == 0);
        letUp(up);
        sawNothing(backend);
        nothingIsInHand();
    }

    @Test
    void whoLeftBeforeItsForwardWasDecidedIsNotSentOn() throws Exception {
        mayCancel = false;
        StandIn backend = backend(OK);
        start(backend);
        assertEquals(200, look().statusCode(), "a connection to be used again");
        backend.requests.clear();
        CountDownLatch decides = new CountDownLatch(1);
        proxy.runOnLoop(() -> awaits(decides));
        try (Socket client = client()) {
            write(client, get("b"));
            awaitOnIo(1);
        }
        awaitOnIo(0);
        decides.countDown();
        nothingIsInHand();
        assertEquals(200, look().statusCode());
        assertFalse(backend.requests.take().contains("X-Trace-Id: b"));
        assertTrue(backend.requests.isEmpty());
    }

    private static void awaits(CountDownLatch latch) {
        try {
            assertTrue(latch.await(20, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long concurrent() throws Exception {
        CompletableFuture<Long> told = new CompletableFuture<>();
        proxy.runOnIoThread(
                () -> told.complete(proxy.adminOperations().metrics().requestsInFlight()));
        return told.get(5, TimeUnit.SECONDS);
    }

    /** So many clients have an exchange open as the I/O thread sees it, whatever the owner does. */
    private void awaitOnIo(int visitors) throws Exception {
        long until = System.nanoTime() + 10_000_000_000L;
        while (concurrent() != visitors) {
            assertTrue(System.nanoTime() < until);
        }
    }

    @Test
    void whoSentItsNextRequestAheadAndLeftIsNoticed() throws Exception {
        contractTime = expiry = 60_000;
        StandIn backend = backend(SILENCE);
        start(backend);
        for (String ahead :
                new String[] {"G", get("next").substring(0, 60), get("next") + get("third")}) {
            try (Socket client = client()) {
                write(client, get("a"));
                assertNotNull(backend.requests.poll(5, TimeUnit.SECONDS));
                write(client, ahead);
            }
            nothingIsInHand();
        }
        try (Socket client = client()) {
            write(client, get("a") + get("in one piece"));
            assertNotNull(backend.requests.poll(5, TimeUnit.SECONDS));
        }
        nothingIsInHand();
        Socket reset = client();
        write(reset, get("a"));
        assertNotNull(backend.requests.poll(5, TimeUnit.SECONDS));
        write(reset, "GE");
        reset.setSoLinger(true, 0);
        reset.close();
        nothingIsInHand();
        assertTrue(backend.requests.isEmpty(), "none of what was sent ahead: " + backend.requests);
    }

    @Test
    void whatIsSentAheadInPiecesIsStillAnsweredInTurn() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        StandIn backend = backend(go);
        start(backend);
        try (Socket client = client()) {
            write(client, get("a"));
            assertNotNull(backend.requests.poll(5, TimeUnit.SECONDS));
            String two = get("b") + get("c");
            for (int i = 0; i < two.length(); i += 37) {
                write(client, two.substring(i, Math.min(two.length(), i + 37)));
            }
            // One of another client that is answered after what was sent ahead has been read.
            go.countDown();
            for (int i = 0; i < 3; i++) {
                assertTrue(read(client).startsWith("HTTP/1.1 200"));
            }
        }
        nothingIsInHand();
    }

    @Test
    void whoLeftInTheMiddleOfALongBodyKeepsNoForwardOut() throws Exception {
        mayCancel = false;
        StandIn backend = backend(SILENCE);
        start(backend);
        try (Socket client = client()) {
            write(
                    client,
                    "POST / HTTP/1.1\r\nHost: a\r\nX-Trace-Id: a\r\nX-Qos: order\r\n"
                            + "X-Expires-In-Ms: 4000\r\nContent-Length: 1000000\r\n\r\n"
                            + "x".repeat(400_000));
            await(now -> now.calls() == 1);
        }
        nothingIsInHand();
        assertTrue(backend.left.await(5, TimeUnit.SECONDS), "its connection is closed");
        assertTrue(
                backend.requests.take().length() < 1_000_000,
                "cut short, so that it has not begun");
    }

    /** Each at another step: the id is free again, and nothing of it is left anywhere. */
    @Test
    void whateverClientsLeaveAtNothingIsLeftOfThem() throws Exception {
        start(backend(OK), backend(CLOSE), backend(NEVER_RAN));
        List<Thread> clients = new ArrayList<>();
        Queue<Exception> failed = new ConcurrentLinkedQueue<>();
        for (int i = 0; i < 6; i++) {
            Random chance = new Random(i);
            String trace = "same-" + i / 2;
            clients.add(
                    new Thread(
                            () -> {
                                try {
                                    for (int n = 0; n < 40; n++) {
                                        leaves(chance, trace);
                                    }
                                } catch (Exception e) {
                                    failed.add(e);
                                }
                            }));
        }
        clients.forEach(Thread::start);
        for (Thread each : clients) {
            each.join();
        }
        assertEquals(List.of(), List.copyOf(failed));
        nothingIsInHand();
        // What a client sent before it left may be read after such a look; what is left behind
        // stays.
        awaitOnIo(0);
        for (int i = 0; i < 3; i++) {
            int status = send(request("look").setHeader("X-Trace-Id", "same-" + i)).statusCode();
            assertNotEquals(400, status, "the id is free");
        }
    }

    private void leaves(Random chance, String trace) throws IOException {
        try (Socket client = client()) {
            String post =
                    "POST / HTTP/1.1\r\nHost: a\r\nX-Trace-Id: "
                            + trace
                            + "\r\nX-Qos: order\r\n"
                            + "X-Expires-In-Ms: 4000\r\nContent-Length: 300000\r\n\r\n"
                            + "x".repeat(290_000);
            switch (chance.nextInt(6)) {
                case 0 -> write(client, get(trace));
                case 1 -> write(client, get(trace) + get(trace + "-ahead"));
                case 2 -> write(client, post);
                case 3 -> {
                    write(client, get(trace));
                    read(client);
                }
                case 4 -> write(client, get(trace).substring(0, 50));
                default -> {
                    write(client, get(trace));
                    client.setSoLinger(true, 0);
                }
            }
        }
    }

    // Time that has passed, and lists, while a forward waits.

    @Test
    void whatComesUpAfterTheContractTimeIsNotSent() throws Exception {
        contractTime = 300;
        lateConnections();
        StandIn backend = backend(SILENCE);
        start(backend);
        var answer =
                http.sendAsync(
                        request("order").build(),
                        java.net.http.HttpResponse.BodyHandlers.ofString());
        LateDial.Up up = dial.next();
        proxy.runOnIoThread(
                () -> {
                    // The I/O thread stands still until the time is over; no timer runs before the
                    // connection is up.
                    try {
                        Thread.sleep(400);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    up.run().run();
                });
        sawNothing(backend);
        assertEquals(503, answer.get(10, TimeUnit.SECONDS).statusCode(), "it never ran");
        nothingIsInHand();
    }

    /** Danger: what is decided meanwhile is done before the closes are read that came meanwhile. */
    @Test
    void whoLeavesWhileTheSocketsAreHeldUpIsNotSentOn() throws Exception {
        mayCancel = false;
        StandIn backend = backend(OK);
        start(backend);
        assertEquals(200, look().statusCode(), "a connection to be used again");
        backend.requests.clear();
        CountDownLatch decides = new CountDownLatch(1);
        CountDownLatch left = new CountDownLatch(1);
        proxy.runOnLoop(() -> awaits(decides));
        try (Socket client = client()) {
            write(client, get("b"));
            awaitOnIo(1);
            proxy.runOnIoThread(
                    () -> {
                        awaits(left);
                        decides.countDown();
                        // Nothing is read until the attempt has been decided and is to be made.
                        CountDownLatch decided = new CountDownLatch(1);
                        proxy.runOnLoop(decided::countDown);
                        awaits(decided);
                    });
        }
        left.countDown();
        nothingIsInHand();
        assertTrue(backend.requests.isEmpty(), "its client had gone");
    }

    /**
     * Danger: a backend works on for a client that has long gone, by a time that passed in a
     * handshake.
     */
    @Test
    void theTimeToldToABackendIsWhatIsLeftWhenItsConnectionIsUp() throws Exception {
        lateConnections();
        StandIn backend = backend(OK);
        start(backend);
        var answer =
                http.sendAsync(
                        request("look").build(),
                        java.net.http.HttpResponse.BodyHandlers.ofString());
        LateDial.Up up = dial.next();
        Thread.sleep(600);
        letUp(up);
        assertEquals(200, answer.get(10, TimeUnit.SECONDS).statusCode());
        String told =
                backend.requests.take().replaceFirst("(?s).*X-Expires-In-Ms: (\\d+)\r\n.*", "$1");
        assertTrue(Integer.parseInt(told) <= contractTime - 600, told);
    }

    /** Danger: a request is owed its answer in time, whatever the decisions are busy with. */
    @Test
    void whoTheDecisionsLeaveOpenAtItsExpiryIsFailedAndNeverSent() throws Exception {
        expiry = 500;
        contractTime = 400;
        StandIn backend = backend(OK);
        start(backend);
        CountDownLatch decides = new CountDownLatch(1);
        proxy.runOnLoop(() -> awaits(decides));
        try (Socket client = client()) {
            write(client, get("a").replace("60000", "300"));
            assertTrue(
                    read(client).startsWith("HTTP/1.1 502"),
                    "no promise, as it may have been sent");
            decides.countDown();
            nothingIsInHand();
            assertTrue(backend.requests.isEmpty());
        }
    }

    @Test
    void whatWaitedForAConnectionWhenItsBackendLeftGoesElsewhere() throws Exception {
        toldWhileOneWaits(port -> port, "leaving");
    }

    @Test
    void whatWaitedForAConnectionWhenItsBackendMovedDoesNotReachWhoeverIsThereNow()
            throws Exception {
        int place = backend(OK).port();
        toldWhileOneWaits(port -> place, "active");
    }

    /** The list tells something of a backend while a forward to it waits for its connection. */
    private void toldWhileOneWaits(IntUnaryOperator port, String phase) throws Exception {
        lateConnections();
        StandIn first = backend(OK);
        StandIn second = backend(OK);
        start(first, second);
        var answer =
                http.sendAsync(
                        request("order").build(),
                        java.net.http.HttpResponse.BodyHandlers.ofString());
        LateDial.Up up = dial.next();
        StandIn told = up.to().getPort() == first.port() ? first : second;
        news.add(
                http(
                        list(
                                2,
                                false,
                                member(
                                        told == first ? 0 : 1,
                                        port.applyAsInt(told.port()),
                                        phase))));
        awaitWatch("from=2");
        await(now -> true);
        letUp(up);
        letUp(dial.next());
        assertEquals(200, answer.get(10, TimeUnit.SECONDS).statusCode());
        assertTrue(told.requests.isEmpty(), "told before its first byte");
        nothingIsInHand();
    }

    // A forward's one end.

    @Test
    void aForwardThatCannotBeBegunEndsOnce() throws Exception {
        dial =
                new LateDial(ProxyServer.worker()) {
                    @Override
                    public IoFuture<StreamConnection> open(
                            java.net.InetSocketAddress to,
                            ChannelListener<StreamConnection> opened) {
                        throw new IllegalStateException("made up");
                    }
                };
        start(backend(OK));
        assertEquals(503, look().statusCode());
        assertEquals(
                0,
                proxy.inFlight().get(5, TimeUnit.SECONDS).calls(),
                "none ends again with its timers");
        nothingIsInHand();
    }

    // Shutdown.

    @Test
    void aRequestThatWaitsUnreadWhenADrainEndsIsAnswered() throws Exception {
        contractTime = expiry = 60_000;
        start(backend(OK));
        assertEquals(200, look().statusCode());
        CountDownLatch still = new CountDownLatch(1);
        proxy.runOnIoThread(() -> awaits(still));
        try (Socket client = client()) {
            write(client, get("a"));
            Thread drain = drains();
            drain.join(1500);
            still.countDown();
            String answer = read(client);
            assertTrue(answer != null && answer.startsWith("HTTP/1.1 200"), String.valueOf(answer));
            drain.join();
        }
    }

    @Test
    void aRequestHalfComeWhenADrainBeginsIsAnswered() throws Exception {
        start(backend(OK));
        String whole =
                "POST / HTTP/1.1\r\nHost: a\r\nX-Trace-Id: a\r\nX-Qos: order\r\n"
                        + "X-Expires-In-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody";
        for (int cut : new int[] {whole.length() - 2, whole.length() - 30}) {
            if (proxy.phase() == ProxyServer.Phase.STOPPED) {
                start(backend(OK));
            }
            try (Socket client = client()) {
                write(client, whole.substring(0, cut));
                Thread drain = drains();
                client.setSoTimeout(1000);
                assertThrows(
                        SocketTimeoutException.class,
                        () -> client.getInputStream().read(),
                        "it stays open");
                client.setSoTimeout(10_000);
                write(client, whole.substring(cut));
                String answer = read(client);
                assertTrue(
                        answer != null && answer.startsWith("HTTP/1.1 200"),
                        String.valueOf(answer));
                drain.join();
            }
        }
    }

    @Test
    void whatIsTakenLateInADrainIsAnsweredBeforeItsEnd() throws Exception {
        contractTime = expiry = 1500;
        start(backend(SILENCE));
        try (Socket half = client()) {
            write(half, get("a").substring(0, 40));
            Thread drain = drains();
            half.setSoTimeout(900);
            assertThrows(SocketTimeoutException.class, () -> half.getInputStream().read());
            half.setSoTimeout(10_000);
            write(half, get("a").substring(40));
            String answer = read(half);
            assertTrue(answer != null && answer.startsWith("HTTP/1.1 50"), String.valueOf(answer));
            drain.join();
        }
    }

    @Test
    void whatIsStillOpenAtADrainsEndIsAnsweredAndNotCut() throws Exception {
        contractTime = expiry = 1000;
        start(backend(SILENCE));
        try (Socket client = client()) {
            write(
                    client,
                    "POST / HTTP/1.1\r\nHost: a\r\nX-Trace-Id: a\r\nX-Qos: order\r\n"
                            + "X-Expires-In-Ms: 1000\r\nContent-Length: 1000000\r\n\r\n"
                            + "x".repeat(400_000));
            await(now -> now.calls() == 1);
            Thread drain = drains();
            String answer = read(client);
            assertTrue(answer != null && answer.startsWith("HTTP/1.1 50"), String.valueOf(answer));
            drain.join();
        }
    }

    @Test
    void anAnswerBeforeWhatIsUnreadIsNotLostWithItsConnection() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        StandIn backend = backend(go);
        start(backend);
        try (Socket client = client()) {
            write(client, get("a"));
            assertNotNull(backend.requests.poll(5, TimeUnit.SECONDS));
            write(
                    client,
                    "POST / HTTP/1.1\r\nHost: a\r\nX-Trace-Id: b\r\nX-Qos: order\r\n"
                            + "X-Expires-In-Ms: 4000\r\nContent-Length: 100000\r\n\r\n"
                            + "x".repeat(50_000));
            Thread drain = drains();
            go.countDown();
            drain.join();
            String answer = read(client);
            assertTrue(answer != null && answer.startsWith("HTTP/1.1 200"), String.valueOf(answer));
        }
    }

    // Connections that stand idle.

    /**
     * Once one has said more than its answer: what comes later on, another request being there
     * already.
     */
    @Test
    void aSecondAnswerIsNeverAnotherClients() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            daemon(
                    () -> {
                        for (boolean first = true; ; first = false) {
                            Socket socket = server.accept();
                            String more = first ? http("evil") : "";
                            daemon(
                                    () -> {
                                        read(socket);
                                        write(socket, OK + more);
                                        // The second answer waits for the second request, in case
                                        // one comes here.
                                        read(socket);
                                        write(socket, http("evil") + OK);
                                    });
                        }
                    });
            start(false, server.getLocalPort());
            for (int i = 0; i < 5; i++) {
                assertEquals("body", look().body());
            }
        }
    }

    // Settings.

    @Test
    void aDroppedClassesIndexIsNotGivenOutBeforeTheFrontHasLetGoOfIt() throws Exception {
        StandIn backend = backend(OK);
        start(backend);
        JsonObject none = JsonParser.parseString(config(discovery.port(), false)).getAsJsonObject();
        JsonObject other = none.deepCopy();
        none.getAsJsonObject("settings").getAsJsonArray("serviceGrades").remove(0);
        other.getAsJsonObject("settings")
                .getAsJsonArray("serviceGrades")
                .get(0)
                .getAsJsonObject()
                .addProperty("name", "new");
        CountDownLatch decides = new CountDownLatch(1);
        proxy.runOnLoop(() -> awaits(decides));
        proxy.reload(ProxyConfig.read(none.toString()));
        proxy.reload(ProxyConfig.read(other.toString()));
        try (Socket client = client()) {
            write(client, get("a"));
            awaitOnIo(1);
            decides.countDown();
            assertTrue(read(client).startsWith("HTTP/1.1 200"), "under the rules it came under");
        }
        await(now -> true);
        assertEquals(3, proxy.classesKnown(), "the new class has an index of its own");
    }

    // Lists.

    /** What the agent has counts as told from the first moment of the process. */
    @Test
    void noClientIsTakenBeforeTheListIsThere() throws Exception {
        StandIn leaving = backend(OK);
        StandIn other = backend(OK);
        CountDownLatch tells = new CountDownLatch(1);
        discovery =
                new StandIn(
                        request -> {
                            awaits(tells);
                            return request.contains("?")
                                    ? SILENCE
                                    : http(
                                            list(
                                                    2,
                                                    true,
                                                    member(0, leaving.port(), "leaving"),
                                                    member(1, other.port(), "active")));
                        });
        JsonObject config =
                JsonParser.parseString(config(discovery.port(), false)).getAsJsonObject();
        config.add(
                "known",
                JsonParser.parseString(list(1, true, member(0, leaving.port(), "active"))));
        proxy = new ProxyServer(ProxyConfig.read(config.toString()));
        Thread serves = new Thread(() -> assertDoesNotThrow(() -> proxy.serve()));
        serves.start();
        assertNotNull(discovery.requests.poll(5, TimeUnit.SECONDS));
        serves.join(200);
        if (proxy.phase() == ProxyServer.Phase.SERVING) {
            assertEquals(200, look().statusCode());
        }
        tells.countDown();
        serves.join();
        assertEquals(200, look().statusCode());
        assertTrue(leaving.requests.isEmpty(), "it has drained since before the start");
    }

    /** What a silent watch misses counts as told 6 s after it fell silent. */
    @Test
    void twoWatchesInARowThatFallSilentAreOpenedAnewInTime() throws Exception {
        start(backend(OK));
        long began = System.nanoTime();
        news.add(SILENCE);
        awaitWatch("from=1");
        news.add(SILENCE);
        awaitWatch("from=1");
        assertTrue(System.nanoTime() - began < 6e9, "the third is there");
    }

    @Test
    void aLineThatCannotBeReadCostsThatLineAlone() throws Exception {
        StandIn first = backend(OK);
        StandIn second = backend(OK);
        start(first, second);
        news.add(
                http(
                        list(
                                2,
                                true,
                                member(0, first.port(), "active")
                                        .replace("\"cell\":0", "\"cell\":\"none\""),
                                member(1, second.port(), "leaving"))));
        news.add(SILENCE);
        awaitWatch("from=2");
        assertEquals(200, order("x").statusCode());
        assertEquals(1, first.requests.size(), "it is as it was before that list");
    }
}
