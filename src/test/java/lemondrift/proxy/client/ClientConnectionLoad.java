package lemondrift.proxy.client;

import static lemondrift.proxy.DaemonThreads.startDaemon;
import static lemondrift.proxy.DiscoveryMessages.activeMembers;
import static lemondrift.proxy.DiscoveryMessages.endpointList;
import static lemondrift.proxy.HttpMessages.getRequest;
import static lemondrift.proxy.HttpMessages.writeText;
import static lemondrift.proxy.TestConfig.TIMEOUT_MILLIS;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import lemondrift.lab.load.LoadGenerator;
import lemondrift.proxy.ProxyProcess;
import lemondrift.proxy.TestConfig;

/**
 * Measures the processor time that requests and several kinds of floods cost a proxy, in turns for
 * builds that are given as jars. Run manually; not part of CI. Everything runs on loopback and is
 * limited in number. Delays count from the time at which a request should have been sent.
 */
final class ClientConnectionLoad {
    private static final int CONNECTIONS = 24;
    private static final int ROUNDS = 4;
    private static final double ROUND_SECONDS = 4;

    /** How many events one flood consists of. */
    private static final int FLOOD_EVENTS = 2000;

    /** How many requests a burst sends at once. */
    private static final int BURST = 250;

    /** A proxy process of one build, with a backend and a discovery server in this process. */
    private static final class Build {
        final Process process;
        final int port;

        Build(Path jar, int backend) throws Exception {
            port = ProxyProcess.freePort();
            String list = endpointList(1, true, activeMembers(backend));
            int discovery = startServer(head -> head.contains("?") ? null : list);
            Path config = Files.createTempFile("connections", ".json");
            Files.writeString(config, config(discovery, port));
            ProcessBuilder start =
                    new ProcessBuilder(
                            "java",
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-Xms48m",
                            "-Xmx88m",
                            "-jar",
                            jar.toString(),
                            "serve");
            start.environment().put("PROXY_CONFIG", config.toString());
            process =
                    start.redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                            .start();
            for (int tries = 0; tries < 200; tries++) {
                try {
                    new Socket("127.0.0.1", port).close();
                    break;
                } catch (IOException e) {
                    Thread.sleep(50);
                }
            }
            Thread.sleep(500);
        }

        private static String config(int discovery, int port) {
            String json = TestConfig.withSockets(TestConfig.json(discovery), 1024);
            JsonObject config =
                    JsonParser.parseString(TestConfig.withListenPort(json, port)).getAsJsonObject();
            config.getAsJsonObject("settings").getAsJsonArray("serviceGrades").remove(1);
            return config.toString();
        }

        double processorSeconds() {
            return process.info().totalCpuDuration().orElseThrow().toNanos() / 1e9;
        }

        void stop() throws InterruptedException {
            process.destroyForcibly().waitFor();
        }
    }

    private interface ResponseScript {
        String body(String head);
    }

    private interface FloodEvent {
        void send(int port, int number) throws IOException;
    }

    private ClientConnectionLoad() {}

    /**
     * Starts a server on loopback that answers 200 with the script's body, or does not answer if it
     * is null. Returns its port.
     */
    private static int startServer(ResponseScript script) throws IOException {
        ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        startDaemon(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        startDaemon(
                                () -> {
                                    for (String head = readShortMessage(socket);
                                            head != null;
                                            head = readShortMessage(socket)) {
                                        String body = script.body(head);
                                        if (body != null) {
                                            writeText(
                                                    socket,
                                                    "HTTP/1.1 200 OK\r\n"
                                                            + "Endpoint-Load-Metrics: TEXT queue=0,"
                                                            + " util=0.2\r\n"
                                                            + "Content-Length: "
                                                            + body.length()
                                                            + "\r\n\r\n"
                                                            + body);
                                        }
                                    }
                                });
                    }
                });
        return server.getLocalPort();
    }

    /**
     * Reads a message whose body, if any, is short enough to arrive together with its head. Returns
     * null at the end of the connection.
     */
    private static String readShortMessage(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[4096];
        int length = 0;
        String text = "";
        while (!text.contains("\r\n\r\n")) {
            int count = in.read(buffer, length, buffer.length - length);
            if (count < 0) {
                return null;
            }
            length += count;
            text = new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
        }
        return text;
    }

    private static String get(String traceId) {
        return getRequest(traceId, TIMEOUT_MILLIS);
    }

    /**
     * Returns the processor time per request, and the median and 99th percentile of the delay, all
     * in microseconds.
     */
    private static double[] measureLoad(Build build, double rate) throws Exception {
        double before = build.processorSeconds();
        LoadGenerator.Result result =
                LoadGenerator.run(
                        new LoadGenerator.Plan(
                                new InetSocketAddress("127.0.0.1", build.port),
                                rate,
                                ROUND_SECONDS,
                                0,
                                CONNECTIONS,
                                "look",
                                4));
        return new double[] {
            (build.processorSeconds() - before) / result.sent() * 1e6,
            result.latency().getValueAtPercentile(50),
            result.latency().getValueAtPercentile(99)
        };
    }

    /** Returns the processor time for a thousand events of a kind, in milliseconds. */
    private static double measureFlood(Build build, FloodEvent event) throws Exception {
        double before = build.processorSeconds();
        for (int i = 0; i < FLOOD_EVENTS; i++) {
            event.send(build.port, i);
        }
        Thread.sleep(300);
        return (build.processorSeconds() - before) / FLOOD_EVENTS * 1e6;
    }

    private static void sendOnce(int port, String text, boolean readsResponse) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            writeText(socket, text);
            if (readsResponse) {
                readShortMessage(socket);
            }
        }
    }

    /** Sends requests at once, each on its own connection, and reads all responses. */
    private static void sendBurst(int port, int requestCount) throws IOException {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < requestCount; i++) {
            sockets.add(new Socket("127.0.0.1", port));
        }
        for (Socket socket : sockets) {
            writeText(socket, get("b" + System.nanoTime()));
        }
        for (Socket socket : sockets) {
            if (readShortMessage(socket) == null) {
                System.out.println("connection closed without a response");
            }
            socket.close();
        }
    }

    public static void main(String[] jars) throws Exception {
        int backend = startServer(head -> "body");
        List<Build> builds = new ArrayList<>();
        for (String jar : jars) {
            builds.add(new Build(Path.of(jar), backend));
        }
        for (Build build : builds) {
            measureLoad(build, 1500);
            measureLoad(build, 1500);
        }
        for (double rate : new double[] {300, 1500}) {
            for (int round = 0; round < ROUNDS; round++) {
                for (int buildIndex = 0; buildIndex < builds.size(); buildIndex++) {
                    double[] costs = measureLoad(builds.get(buildIndex), rate);
                    System.out.printf(
                            "%s at %.0f/s: processor %.0f us, delay %.0f us, 99%% %.0f us%n",
                            jars[buildIndex], rate, costs[0], costs[1], costs[2]);
                }
            }
        }
        List<String> floodNames =
                List.of(
                        "connects and sends nothing",
                        "malformed",
                        "no trace id",
                        "one request",
                        "250 requests at once");
        List<FloodEvent> events =
                List.of(
                        (port, i) -> new Socket("127.0.0.1", port).close(),
                        (port, i) -> sendOnce(port, "\u0001noise\r\n\r\n", true),
                        (port, i) -> sendOnce(port, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", true),
                        (port, i) ->
                                sendOnce(port, get("f" + port + "-" + System.nanoTime()), true),
                        (port, i) -> sendBurst(port, i % BURST == 0 ? BURST : 0));
        for (int kind = 0; kind < events.size(); kind++) {
            for (int round = 0; round < 2; round++) {
                for (int buildIndex = 0; buildIndex < builds.size(); buildIndex++) {
                    System.out.printf(
                            "%s, a thousand of '%s': processor %.0f ms%n",
                            jars[buildIndex],
                            floodNames.get(kind),
                            measureFlood(builds.get(buildIndex), events.get(kind)));
                }
            }
        }
        for (Build build : builds) {
            build.stop();
        }
    }
}
