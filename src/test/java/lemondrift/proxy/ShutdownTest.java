package lemondrift.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A real process at SIGTERM, whatever it is doing then. */
class ShutdownTest extends LoopbackFixture {
    private static final int CLIENTS = 8;

    /** Nanoseconds after SIGTERM in which clients still open connections. */
    private static final long CONNECT_NANOS = 350_000_000L;

    private final ConcurrentLinkedQueue<String> lost = new ConcurrentLinkedQueue<>();
    private final AtomicInteger responses = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private volatile long signalledAt = Long.MAX_VALUE;
    private int port;

    private Path configFile(Path folder, StandIn agent) throws IOException {
        port = freePort();
        return Files.writeString(
                folder.resolve("config.json"),
                config(agent.port(), false)
                        .replace("127.0.0.1:0", "127.0.0.1:" + port)
                        .replace(
                                "\"contractTime\":1500,\"expiry\":4000",
                                "\"contractTime\":400,\"expiry\":1000")
                        .replace("\"sockets\":64", "\"sockets\":512"));
    }

    /**
     * Sends again and again, on each connection for as long as it is there, until no more may be
     * opened.
     */
    private void runClient(int number) throws Exception {
        while (System.nanoTime() - signalledAt < CONNECT_NANOS) {
            try (Socket client = new Socket("127.0.0.1", port)) {
                client.setSoTimeout(20_000);
                boolean closes = false;
                for (int i = 0; !closes; i++) {
                    String trace = number + "-" + sent.incrementAndGet();
                    String response = exchange(client, trace);
                    if (response == null && i == 0) {
                        lost.add(trace + " on a new connection");
                    } else if (response == null) {
                        // Closed between requests, and nothing was read of this one: it goes
                        // elsewhere.
                        break;
                    } else if (!response.matches("(?s)HTTP/1.1 (200|502|503) .*")) {
                        lost.add(trace + ": " + response);
                    }
                    responses.incrementAndGet();
                    closes =
                            response == null
                                    || response.toLowerCase(Locale.ROOT)
                                            .contains("connection: close");
                }
            } catch (IOException e) {
                // Refused: the process has ended.
                assertTrue(System.nanoTime() > signalledAt, e.toString());
                return;
            }
        }
    }

    private static String exchange(Socket client, String trace) {
        try {
            client.getOutputStream()
                    .write(
                            ("POST / HTTP/1.1\r\nHost: a\r\nX-Trace-Id: "
                                            + trace
                                            + "\r\n"
                                            + "X-Qos: order\r\n"
                                            + "X-Expires-In-Ms: 1000\r\n"
                                            + "Content-Length: 1\r\n\r\n"
                                            + "x")
                                    .getBytes(StandardCharsets.US_ASCII));
            return read(client);
        } catch (IOException e) {
            return null;
        }
    }

    private StandIn agent(StandIn... backends) throws IOException {
        String[] members = new String[backends.length];
        for (int i = 0; i < members.length; i++) {
            members[i] = member(i, backends[i].port(), "active");
        }
        return new StandIn(
                request -> request.contains("?") ? SILENCE : http(list(1, true, members)));
    }

    private void assertEnds(Process child) throws Exception {
        assertTrue(child.waitFor(10, TimeUnit.SECONDS), "it ends");
        assertEquals(0, child.exitValue());
    }

    /**
     * Clients send after every response while half of the backends hang; the signal comes twice,
     * and a hang-up.
     */
    @Test
    void underLoadNoRequestIsLost(@TempDir Path folder) throws Exception {
        StandIn agent = agent(backend(OK), backend(OK), backend(SILENCE), backend(SILENCE));
        Process child = process(configFile(folder, agent));
        try {
            BufferedReader log = child.inputReader();
            awaitLine(log, "serving");
            daemon(() -> log.lines().forEach(line -> {}));
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread thread =
                        new Thread(
                                () -> {
                                    try {
                                        runClient(number);
                                    } catch (Exception | AssertionError e) {
                                        lost.add(e.toString());
                                    }
                                });
                thread.start();
                clients.add(thread);
            }
            while (responses.get() < 50) {
                Thread.onSpinWait();
            }
            signalledAt = System.nanoTime();
            signal(child, "TERM");
            signal(child, "HUP");
            signal(child, "TERM");
            for (Thread thread : clients) {
                thread.join();
            }
            assertEnds(child);
            assertEquals(List.of(), List.copyOf(lost));
        } finally {
            child.destroyForcibly();
        }
    }

    @Test
    void atEachStepOfTheStartItExitsWithoutACrash(@TempDir Path folder) throws Exception {
        StandIn agent = agent();
        for (String line : List.of("warm-up-0", "warmed up, ", "starts, listens on", "serving")) {
            Process child = process(configFile(folder, agent));
            try {
                awaitLine(child.inputReader(), line);
                signal(child, "TERM");
                child.inputReader().lines().forEach(each -> {});
                assertEnds(child);
            } finally {
                child.destroyForcibly();
            }
        }
    }

    @Test
    void whileDiscoveryIsSilentItExitsAllTheSame(@TempDir Path folder) throws Exception {
        StandIn agent = new StandIn(request -> SILENCE);
        Process child = process(configFile(folder, agent));
        try {
            awaitLine(child.inputReader(), "serving");
            assertNotNull(agent.requests.poll(10, TimeUnit.SECONDS));
            signal(child, "TERM");
            child.inputReader().lines().forEach(each -> {});
            assertEnds(child);
        } finally {
            child.destroyForcibly();
        }
    }
}
