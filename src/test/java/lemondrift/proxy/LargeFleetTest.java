package lemondrift.proxy;

import static lemondrift.proxy.DaemonThreads.startDaemon;
import static lemondrift.proxy.DiscoveryMessages.endpointList;
import static lemondrift.proxy.HttpMessages.getRequest;
import static lemondrift.proxy.HttpMessages.okResponse;
import static lemondrift.proxy.HttpMessages.readMessage;
import static lemondrift.proxy.HttpMessages.writeText;
import static lemondrift.proxy.ScriptedServer.CLOSE;
import static lemondrift.proxy.ScriptedServer.SILENCE;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
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
 * Tests that a proxy process with a small part of a core, a hundred peers and thousands of backends
 * answers every request in time, during reloads and while most backends are replaced.
 */
class LargeFleetTest extends LoopbackFixture {
    private static final int BACKENDS = 3200;
    private static final int PROXIES = 100;
    private static final int REPLACED_PER_VERSION = 160;

    /** The last core of the machine. The operating system uses the first one. */
    private static final String LAST_CORE =
            String.valueOf(Runtime.getRuntime().availableProcessors() - 1);

    /** Number of processes that compete with the proxy for its core. */
    private static final int BUSY_PROCESSES = 4;

    /** Latency objective of both classes, in milliseconds. */
    private static final int LATENCY_OBJECTIVE_MILLIS = 150;

    /** Timeout of both classes and of the clients, in milliseconds. */
    private static final int TIMEOUT_MILLIS = 190;

    /** Milliseconds after which a request without a response counts as lost. */
    private static final int LOST_AFTER_MILLIS = TIMEOUT_MILLIS + 500;

    /** Milliseconds between two requests. */
    private static final int REQUEST_INTERVAL_MILLIS = 20;

    /** Milliseconds between two versions of the list. */
    private static final int VERSION_INTERVAL_MILLIS = 350;

    /** Milliseconds for which requests are sent before the first and after the last change. */
    private static final int UNDISTURBED_MILLIS = 1000;

    private static final int VERSIONS = 10;
    private static final int RELOADS = 6;

    /** The proxy and the competing processes. All end with the test. */
    private final List<Process> processes = new ArrayList<>();

    private final Queue<String> lost = new ConcurrentLinkedQueue<>();
    private final List<Thread> clients = new ArrayList<>();
    private final CountDownLatch discoveryAvailable = new CountDownLatch(1);
    private int port;

    @AfterEach
    void endProcesses() {
        processes.forEach(Process::destroyForcibly);
    }

    private Path configFile(Path folder, String initialList) throws IOException {
        port = ProxyProcess.freePort();
        String peers =
                IntStream.range(0, PROXIES)
                        .mapToObj(i -> "\"127.0.1." + (i + 1) + ":7946\"")
                        .collect(Collectors.joining(","));
        String config =
                TestConfig.withListenPort(config(discovery.port()), port)
                        .replace("\"siblings\":1,", "\"siblings\":" + PROXIES + ",\"slotNo\":0,")
                        .replace(
                                "\"limits\":{\"mayCancel\"",
                                "\"limits\":{\"mayTell\":true,\"mayCancel\"")
                        .replaceFirst(
                                "\\{",
                                "{\"peer_listen\":\"127.0.1.1:"
                                        + ProxyProcess.freePort()
                                        + "\",\"peers\":["
                                        + peers
                                        + "],\"known\":"
                                        + initialList
                                        + ",");
        return Files.writeString(
                folder.resolve("config.json"),
                TestConfig.withClassTimes(
                        TestConfig.withSockets(config, 1024),
                        LATENCY_OBJECTIVE_MILLIS,
                        TIMEOUT_MILLIS));
    }

    /** Starts the proxy on a core that it shares with the competing processes. */
    private Process startProxyOnSharedCore(Path config) throws IOException {
        for (int i = 0; i < BUSY_PROCESSES; i++) {
            processes.add(
                    new ProcessBuilder(
                                    "taskset", "-c", LAST_CORE, "sh", "-c", "while :; do :; done")
                            .start());
        }
        ProcessBuilder command =
                new ProcessBuilder(
                        "taskset",
                        "-c",
                        LAST_CORE,
                        ProxyProcess.javaCommand(),
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
        Process child = command.redirectErrorStream(true).start();
        processes.add(child);
        return child;
    }

    /** Sends one request on a new connection, on a new thread. */
    private void sendRequest(int number) {
        Thread client =
                new Thread(
                        () -> {
                            long startedAt = System.nanoTime();
                            try (Socket socket = new Socket("127.0.0.1", port)) {
                                socket.setSoTimeout(LOST_AFTER_MILLIS);
                                startedAt = System.nanoTime();
                                writeText(socket, getRequest("r" + number, TIMEOUT_MILLIS));
                                String response = readMessage(socket);
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
                                                + " has no response after "
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
     * Returns the response of discovery: none until discovery is available, then the full list and
     * one change after another.
     */
    private String discoveryResponse(String request, String fullList) {
        try {
            if (request.contains("from=")) {
                return discoveryUpdates.take();
            }
            return discoveryAvailable.await(0, TimeUnit.SECONDS) ? okResponse(fullList) : SILENCE;
        } catch (InterruptedException e) {
            return CLOSE;
        }
    }

    private static String[] concatenated(String[] first, String[] second) {
        return IntStream.range(0, first.length + second.length)
                .mapToObj(i -> i < first.length ? first[i] : second[i - first.length])
                .toArray(String[]::new);
    }

    /** Starts the proxy and returns once it serves. A thread reads its log from then on. */
    private Process startServing(Path config) throws IOException {
        Process child = startProxyOnSharedCore(config);
        BufferedReader log = child.inputReader();
        ProxyProcess.awaitLine(log, "serving");
        startDaemon(() -> log.lines().forEach(line -> {}));
        return child;
    }

    private void assertNoRequestLost() throws InterruptedException {
        for (Thread client : clients) {
            client.join();
        }
        assertEquals(List.of(), List.copyOf(lost), "requests lost out of " + clients.size());
    }

    /** Guards against delayed responses while a file with a long endpoint list is reloaded. */
    @Test
    void answersEveryRequestInTimeDuringRepeatedReloads(@TempDir Path folder) throws Exception {
        try (ManyBackends backends = new ManyBackends(BACKENDS)) {
            String initialList = endpointList(1, true, backends.members(0, BACKENDS, "active"));
            discovery = scriptedServer(request -> discoveryResponse(request, initialList));
            discoveryAvailable.countDown();
            Process child = startServing(configFile(folder, initialList));
            sendRequestsFor(UNDISTURBED_MILLIS);
            for (int i = 0; i < RELOADS; i++) {
                assertEquals(0, ProxyProcess.signal(child, "HUP"));
                sendRequestsFor(VERSION_INTERVAL_MILLIS);
            }
            sendRequestsFor(UNDISTURBED_MILLIS);
            assertNoRequestLost();
        }
    }

    @Test
    void answersEveryRequestInTimeWhileMostBackendsAreReplaced(@TempDir Path folder)
            throws Exception {
        try (ManyBackends backends = new ManyBackends(2 * BACKENDS)) {
            String initialList = endpointList(1, true, backends.members(0, BACKENDS, "active"));
            String fullList =
                    endpointList(
                            10,
                            true,
                            backends.members(BACKENDS / 4, BACKENDS + BACKENDS / 4, "active"));
            discovery = scriptedServer(request -> discoveryResponse(request, fullList));
            startServing(configFile(folder, initialList));
            sendRequestsFor(UNDISTURBED_MILLIS);
            discoveryAvailable.countDown();
            for (int version = 0; version < VERSIONS; version++) {
                sendRequestsFor(VERSION_INTERVAL_MILLIS);
                discoveryUpdates.add(
                        okResponse(
                                endpointList(
                                        11 + version, false, replacedMembers(backends, version))));
            }
            sendRequestsFor(UNDISTURBED_MILLIS);
            assertNoRequestLost();
        }
    }

    /** Returns the members that a version of the list withdraws, and their replacements. */
    private static String[] replacedMembers(ManyBackends backends, int version) {
        int from = BACKENDS / 4 + version * REPLACED_PER_VERSION;
        int newFrom = BACKENDS + from;
        return concatenated(
                backends.members(
                        from, from + REPLACED_PER_VERSION, version % 2 == 0 ? "leaving" : "left"),
                backends.members(newFrom, newFrom + REPLACED_PER_VERSION, "active"));
    }
}
