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
 * reply in time.
 */
class LargeFleetTest extends LoopbackFixture {
    private static final int BACKENDS = 3200;
    private static final int PROXIES = 100;
    private static final int REPLACED_PER_VERSION = 160;

    /** The machine's last core; the first is used by the system. */
    private static final String LAST_CORE =
            String.valueOf(Runtime.getRuntime().availableProcessors() - 1);

    /** Processes that keep the proxy's core busy beside it. */
    private static final int BUSY_PROCESSES = 4;

    /** The timeout that a client states. */
    private static final int TIMEOUT_MILLIS = 190;

    /** A request without a reply by then counts as lost. */
    private static final int LOST_AFTER_MILLIS = TIMEOUT_MILLIS + 500;

    /** Time between two requests. */
    private static final int REQUEST_INTERVAL_MILLIS = 20;

    /** Time between two versions of the list. */
    private static final int VERSION_INTERVAL_MILLIS = 350;

    private static final int VERSIONS = 10;
    private static final int RELOADS = 6;

    private final List<Process> busyProcesses = new ArrayList<>();
    private final Queue<String> lost = new ConcurrentLinkedQueue<>();
    private final List<Thread> clients = new ArrayList<>();
    private final CountDownLatch discoveryBack = new CountDownLatch(1);
    private int port;

    @AfterEach
    void endBusyProcesses() {
        busyProcesses.forEach(Process::destroyForcibly);
    }

    private Path config(Path folder, String initialList) throws IOException {
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
                                "\"contractTime\":150,\"expiry\":" + TIMEOUT_MILLIS)
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
                                        + initialList
                                        + ",");
        return Files.writeString(folder.resolve("config.json"), config);
    }

    /** A process on one core of the machine that it shares with others. */
    private Process proxyOnAPartOfACore(Path config) throws IOException {
        for (int i = 0; i < BUSY_PROCESSES; i++) {
            busyProcesses.add(
                    new ProcessBuilder(
                                    "taskset", "-c", LAST_CORE, "sh", "-c", "while :; do :; done")
                            .start());
        }
        ProcessBuilder command =
                new ProcessBuilder(
                        "taskset",
                        "-c",
                        LAST_CORE,
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
    private void sendRequest(int number) {
        Thread client =
                new Thread(
                        () -> {
                            long startedAt = System.nanoTime();
                            try (Socket socket = new Socket("127.0.0.1", port)) {
                                socket.setSoTimeout(LOST_AFTER_MILLIS);
                                startedAt = System.nanoTime();
                                socket.getOutputStream()
                                        .write(
                                                ("GET / HTTP/1.1\r\nHost: a\r\nX-Trace-Id: r"
                                                                + number
                                                                + "\r\n"
                                                                + "X-Qos: look\r\n"
                                                                + "X-Expires-In-Ms: "
                                                                + TIMEOUT_MILLIS
                                                                + "\r\n\r\n")
                                                        .getBytes(StandardCharsets.US_ASCII));
                                String response = read(socket);
                                long durationMillis =
                                        TimeUnit.NANOSECONDS.toMillis(
                                                System.nanoTime() - startedAt);
                                if (response == null || durationMillis > LOST_AFTER_MILLIS) {
                                    lost.add(
                                            "r"
                                                    + number
                                                    + " after "
                                                    + durationMillis
                                                    + " ms: "
                                                    + response);
                                }
                            } catch (SocketTimeoutException e) {
                                lost.add(
                                        "r"
                                                + number
                                                + " has no answer after "
                                                + LOST_AFTER_MILLIS
                                                + " ms");
                            } catch (IOException e) {
                                lost.add("r" + number + ": " + e);
                            }
                        });
        client.setDaemon(true);
        clients.add(client);
        client.start();
    }

    private void sendRequestsFor(int milliseconds) throws InterruptedException {
        for (int sent = 0; sent < milliseconds / REQUEST_INTERVAL_MILLIS; sent++) {
            sendRequest(clients.size());
            Thread.sleep(REQUEST_INTERVAL_MILLIS);
        }
    }

    /**
     * Discovery is silent until it is back; then it gives the full list and one change after
     * another.
     */
    private String discoveryResponse(String request, String fullList) {
        try {
            if (request.contains("from=")) {
                return news.take();
            }
            return discoveryBack.await(0, TimeUnit.SECONDS) ? http(fullList) : SILENCE;
        } catch (InterruptedException e) {
            return CLOSE;
        }
    }

    private static String[] concatenated(String[] first, String[] second) {
        return IntStream.range(0, first.length + second.length)
                .mapToObj(i -> i < first.length ? first[i] : second[i - first.length])
                .toArray(String[]::new);
    }

    /** Guards against a reload, whose file has a long list, that holds up replies. */
    @Test
    void whileConfigurationsAreReloadedInARowEveryRequestIsAnsweredInTime(@TempDir Path folder)
            throws Exception {
        try (ManyBackends backends = new ManyBackends(BACKENDS)) {
            String initialList = list(1, true, backends.members(0, BACKENDS, "active"));
            discovery = new StandIn(request -> discoveryResponse(request, initialList));
            discoveryBack.countDown();
            Process child = proxyOnAPartOfACore(config(folder, initialList));
            try {
                BufferedReader log = child.inputReader();
                awaitLine(log, "serving");
                daemon(() -> log.lines().forEach(line -> {}));
                sendRequestsFor(1000);
                for (int i = 0; i < RELOADS; i++) {
                    signal(child, "HUP");
                    sendRequestsFor(VERSION_INTERVAL_MILLIS);
                }
                sendRequestsFor(1000);
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
            String initialList = list(1, true, backends.members(0, BACKENDS, "active"));
            String fullList =
                    list(
                            10,
                            true,
                            backends.members(BACKENDS / 4, BACKENDS + BACKENDS / 4, "active"));
            discovery = new StandIn(request -> discoveryResponse(request, fullList));
            Process child = proxyOnAPartOfACore(config(folder, initialList));
            try {
                BufferedReader log = child.inputReader();
                awaitLine(log, "serving");
                daemon(() -> log.lines().forEach(line -> {}));
                sendRequestsFor(1000);
                discoveryBack.countDown();
                for (int version = 0; version < VERSIONS; version++) {
                    sendRequestsFor(VERSION_INTERVAL_MILLIS);
                    int from = BACKENDS / 4 + version * REPLACED_PER_VERSION;
                    int newFrom = BACKENDS + from;
                    news.add(
                            http(
                                    list(
                                            11 + version,
                                            false,
                                            concatenated(
                                                    backends.members(
                                                            from,
                                                            from + REPLACED_PER_VERSION,
                                                            version % 2 == 0 ? "leaving" : "left"),
                                                    backends.members(
                                                            newFrom,
                                                            newFrom + REPLACED_PER_VERSION,
                                                            "active")))));
                }
                sendRequestsFor(1000);
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
