package lemondrift.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A real process with a small part of a core, a hundred peers and thousands of backends, most of
 * which are replaced while discovery is away and right after its return. Every request is owed its
 * answer in time.
 */
class LargeFleetTest extends LoopbackFixture {
    private static final int BACKENDS = 3200;
    private static final int PROXIES = 100;
    private static final int STEP = 160;

    /** The machine's last core; the first has work of the system's. */
    private static final String CORE =
            String.valueOf(Runtime.getRuntime().availableProcessors() - 1);

    /** Processes that keep the proxy's core busy beside it. */
    private static final int RIVALS = 4;

    /** Milliseconds that a client waits, and after which its request counts as lost. */
    private static final int WAITS = 190;

    private static final int LOST = WAITS + 500;

    /** Milliseconds between two requests and between two versions of the list. */
    private static final int EACH = 20;

    private static final int VERSION = 350;

    private static final int VERSIONS = 10;
    private static final int HANG_UPS = 6;

    private final List<Process> rivals = new ArrayList<>();
    private final Queue<String> lost = new ConcurrentLinkedQueue<>();
    private final List<Thread> clients = new ArrayList<>();
    private final CountDownLatch back = new CountDownLatch(1);
    private int port;

    @AfterEach
    void endRivals() {
        rivals.forEach(Process::destroyForcibly);
    }

    private Path config(Path folder, String known) throws IOException {
        port = freePort();
        String peers =
                IntStream.range(0, PROXIES)
                        .mapToObj(i -> "\"127.0.1." + (i + 1) + ":7946\"")
                        .collect(Collectors.joining(","));
        String config =
                config(discovery.port(), false)
                        .replace("127.0.0.1:0", "127.0.0.1:" + port)
                        .replace(
                                "\"contractTime\":1500,\"expiry\":4000",
                                "\"contractTime\":150,\"expiry\":" + WAITS)
                        .replace("\"sockets\":64", "\"sockets\":1024")
                        .replace("\"siblings\":1,", "\"siblings\":" + PROXIES + ",\"slotNo\":0,")
                        .replace(
                                "\"limits\":{\"mayCancel\"",
                                "\"limits\":{\"mayTell\":true,\"mayCancel\"")
                        .replaceFirst(
                                "\\{",
                                "{\"peer_listen\":\"127.0.1.1:"
                                        + freePort()
                                        + "\",\"peers\":["
                                        + peers
                                        + "],\"known\":"
                                        + known
                                        + ",");
        return Files.writeString(folder.resolve("config.json"), config);
    }

    /** A process on one core of the machine that it shares with others. */
    private Process proxyOnAPartOfACore(Path config) throws IOException {
        for (int i = 0; i < RIVALS; i++) {
            rivals.add(
                    new ProcessBuilder("taskset", "-c", CORE, "sh", "-c", "while :; do :; done")
                            .start());
        }
        ProcessBuilder command =
                new ProcessBuilder(
                        "taskset",
                        "-c",
                        CORE,
                        Path.of(System.getProperty("java.home"), "bin/java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-XX:CompileThresholdScaling=0.5",
                        "-Xms48m",
                        "-Xmx88m",
                        "-Xss256k",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "lemondrift.Main",
                        "serve");
        command.environment().put("PROXY_CONFIG", config.toString());
        command.environment().put("PROXY_PEERS", "deploy/peers.json");
        command.environment().put("PROXY_RECOVERY", "deploy/recovery.json");
        return command.redirectErrorStream(true).start();
    }

    /** One request on a connection of its own, on a thread of its own. */
    private void ask(int number) {
        Thread client =
                new Thread(
                        () -> {
                            long began = System.nanoTime();
                            try (Socket socket = new Socket("127.0.0.1", port)) {
                                socket.setSoTimeout(LOST);
                                began = System.nanoTime();
                                socket.getOutputStream()
                                        .write(
                                                ("GET / HTTP/1.1\r\nHost: a\r\nX-Trace-Id: r"
                                                                + number
                                                                + "\r\n"
                                                                + "X-Qos: look\r\n"
                                                                + "X-Expires-In-Ms: "
                                                                + WAITS
                                                                + "\r\n\r\n")
                                                        .getBytes(StandardCharsets.US_ASCII));
                                String answer = read(socket);
                                long took =
                                        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
                                if (answer == null || took > LOST) {
                                    lost.add("r" + number + " after " + took + " ms: " + answer);
                                }
                            } catch (SocketTimeoutException e) {
                                lost.add("r" + number + " has no answer after " + LOST + " ms");
                            } catch (IOException e) {
                                lost.add("r" + number + ": " + e);
                            }
                        });
        client.setDaemon(true);
        clients.add(client);
        client.start();
    }

    private void askFor(int milliseconds) throws InterruptedException {
        for (int asked = 0; asked < milliseconds / EACH; asked++) {
            ask(clients.size());
            Thread.sleep(EACH);
        }
    }

    /**
     * Discovery is silent until it is back, and then tells a whole list and one change after
     * another.
     */
    private String answer(String request, String whole) {
        try {
            if (request.contains("from=")) {
                return news.take();
            }
            return back.await(0, TimeUnit.SECONDS) ? http(whole) : SILENCE;
        } catch (InterruptedException e) {
            return CLOSE;
        }
    }

    private static String[] both(String[] some, String[] others) {
        return IntStream.range(0, some.length + others.length)
                .mapToObj(i -> i < some.length ? some[i] : others[i - some.length])
                .toArray(String[]::new);
    }

    /**
     * Danger: the file has the list of before, and who reads it shares the core with who owes
     * answers.
     */
    @Test
    void whileConfigurationsAreReadAgainInARowEveryRequestIsAnsweredInTime(@TempDir Path folder)
            throws Exception {
        try (ManyBackends backends = new ManyBackends(BACKENDS)) {
            String known = list(1, true, backends.members(0, BACKENDS, "active"));
            discovery = new StandIn(request -> answer(request, known));
            back.countDown();
            Process child = proxyOnAPartOfACore(config(folder, known));
            try {
                BufferedReader log = child.inputReader();
                awaitLine(log, "serving");
                daemon(() -> log.lines().forEach(line -> {}));
                askFor(1000);
                for (int i = 0; i < HANG_UPS; i++) {
                    signal(child, "HUP");
                    askFor(VERSION);
                }
                askFor(1000);
                for (Thread client : clients) {
                    client.join();
                }
                assertEquals(List.of(), List.copyOf(lost), "of " + clients.size());
            } finally {
                child.destroyForcibly();
            }
        }
    }

    @Test
    void whileMostOfThousandsOfBackendsAreReplacedEveryRequestIsAnsweredInTime(@TempDir Path folder)
            throws Exception {
        try (ManyBackends backends = new ManyBackends(2 * BACKENDS)) {
            String known = list(1, true, backends.members(0, BACKENDS, "active"));
            String whole =
                    list(
                            10,
                            true,
                            backends.members(BACKENDS / 4, BACKENDS + BACKENDS / 4, "active"));
            discovery = new StandIn(request -> answer(request, whole));
            Process child = proxyOnAPartOfACore(config(folder, known));
            try {
                BufferedReader log = child.inputReader();
                awaitLine(log, "serving");
                daemon(() -> log.lines().forEach(line -> {}));
                askFor(1000);
                back.countDown();
                for (int version = 0; version < VERSIONS; version++) {
                    askFor(VERSION);
                    int from = BACKENDS / 4 + version * STEP;
                    int fresh = BACKENDS + from;
                    news.add(
                            http(
                                    list(
                                            11 + version,
                                            false,
                                            both(
                                                    backends.members(
                                                            from,
                                                            from + STEP,
                                                            version % 2 == 0 ? "leaving" : "left"),
                                                    backends.members(
                                                            fresh, fresh + STEP, "active")))));
                }
                askFor(1000);
                for (Thread client : clients) {
                    client.join();
                }
                assertEquals(List.of(), List.copyOf(lost), "of " + clients.size());
            } finally {
                child.destroyForcibly();
            }
        }
    }
}
