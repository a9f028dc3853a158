package lemondrift.proxy.client;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import lemondrift.lab.load.Load;

/**
 * What a request and each kind of flood cost a proxy, for builds given as jars, in turns; run by
 * hand, no part of CI. Loopback alone; everything is bounded in number. Delay counts from when a
 * request should have been sent.
 */
final class ClientConnectionLoad {
    private static final int CONNECTIONS = 24;
    private static final int ROUNDS = 4;
    private static final double ROUND_SECONDS = 4;

    /** One proxy of a build, with a backend and a discovery of this process. */
    private static final class Build {
        final Process process;
        final int port;

        Build(Path jar, int backend) throws Exception {
            try (ServerSocket free = new ServerSocket(0)) {
                port = free.getLocalPort();
            }
            String list =
                    "{\"revision\":1,\"complete\":true,\"members\":[{\"id\":\"s\",\"host_port\":"
                            + "\"127.0.0.1:"
                            + backend
                            + "\",\"locality\":\"a\",\"flavor\":\"m\",\"cell\":0,"
                            + "\"phase\":\"active\",\"size\":1.0,\"up_since_ms\":0}]}";
            int discovery = startServer(head -> head.contains("?") ? null : list);
            String classTerms = "\"contractTime\":1500,\"expiry\":4000,\"benefit\":1,";
            Path config = Files.createTempFile("door", ".json");
            Files.writeString(
                    config,
                    "{\"name\":\"n0\",\"listen\":\"127.0.0.1:"
                            + port
                            + "\",\"discovery\":"
                            + "\"127.0.0.1:"
                            + discovery
                            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":1024},"
                            + "\"settings\":{\"siblings\":1,\"zone\":0,\"localities\":[\"a\"],"
                            + "\"membershipMode\":\"pushed\","
                            + "\"limits\":{\"mayCancel\":true,\"probes\":false,\"mostForwards\":4,"
                            + "\"retryAfter\":true,"
                            + "\"maxRetryAfter\":500,\"connIdle\":10000,\"connectTimeout\":250},"
                            + "\"invariants\":{"
                            + "\"coldFrom\":0.3,\"cold\":8000,\"fallMultiple\":3,\"overloadFor\":2000},"
                            + "\"report\":{\"how\":\"inline\",\"names\":[\"queue\",\"util\"]},"
                            + "\"charges\":{\"probe\":0.001},\"serviceGrades\":[{\"name\":\"look\","
                            + classTerms
                            + "\"effect\":\"retryable\"}]}}");
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

        double processorSeconds() {
            return process.info().totalCpuDuration().orElseThrow().toNanos() / 1e9;
        }

        void stop() throws InterruptedException {
            process.destroyForcibly().waitFor();
        }
    }

    private interface Script {
        String body(String head);
    }

    private interface FloodEvent {
        void send(int port, int number) throws IOException;
    }

    private ClientConnectionLoad() {}

    /**
     * The port of a server on loopback that answers 200 with what the script says, or holds on
     * null.
     */
    private static int startServer(Script script) throws IOException {
        ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        daemon(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        daemon(
                                () -> {
                                    for (String head = read(socket);
                                            head != null;
                                            head = read(socket)) {
                                        String body = script.body(head);
                                        if (body != null) {
                                            write(
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

    private interface Task {
        void run() throws Exception;
    }

    private static void daemon(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // The other side is closed.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** One message whose body, if any, is short enough to come with its head; null at the end. */
    private static String read(Socket socket) throws IOException {
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

    private static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String look(String id) {
        return "GET / HTTP/1.1\r\nHost: a\r\nX-Trace-Id: "
                + id
                + "\r\nX-Qos: look\r\nX-Expires-In-Ms: 4000"
                + "\r\n\r\n";
    }

    /**
     * Processor time in microseconds a request, and delay in microseconds at the median and 99th
     * percentile.
     */
    private static double[] load(Build build, double rate) throws Exception {
        double before = build.processorSeconds();
        Load.Result result =
                Load.play(
                        new Load.Plan(
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

    /** Processor time in milliseconds for a thousand events of a kind. */
    private static double flood(Build build, FloodEvent event) throws Exception {
        double before = build.processorSeconds();
        for (int i = 0; i < 2000; i++) {
            event.send(build.port, i);
        }
        Thread.sleep(300);
        return (build.processorSeconds() - before) / 2 * 1e3;
    }

    private static void sendOnce(int port, String text, boolean readsResponse) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            write(socket, text);
            if (readsResponse) {
                read(socket);
            }
        }
    }

    /** So many requests at once, each on a connection of its own; all are answered. */
    private static void burst(int port, int many) throws IOException {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            sockets.add(new Socket("127.0.0.1", port));
        }
        for (Socket each : sockets) {
            write(each, look("b" + System.nanoTime()));
        }
        for (Socket each : sockets) {
            if (read(each) == null) {
                System.out.println("not answered");
            }
            each.close();
        }
    }

    public static void main(String[] jars) throws Exception {
        int backend = startServer(head -> "body");
        List<Build> builds = new ArrayList<>();
        for (String jar : jars) {
            builds.add(new Build(Path.of(jar), backend));
        }
        for (Build build : builds) {
            load(build, 1500);
            load(build, 1500);
        }
        for (double rate : new double[] {300, 1500}) {
            for (int round = 0; round < ROUNDS; round++) {
                for (int b = 0; b < builds.size(); b++) {
                    double[] costs = load(builds.get(b), rate);
                    System.out.printf(
                            "%s at %.0f/s: processor %.0f us, delay %.0f us, 99%% %.0f us%n",
                            jars[b], rate, costs[0], costs[1], costs[2]);
                }
            }
        }
        List<String> names =
                List.of(
                        "connects without a word",
                        "malformed",
                        "no id",
                        "asks once",
                        "at once, 250 a time");
        List<FloodEvent> events =
                List.of(
                        (port, i) -> new Socket("127.0.0.1", port).close(),
                        (port, i) -> sendOnce(port, "\u0001noise\r\n\r\n", true),
                        (port, i) -> sendOnce(port, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", true),
                        (port, i) ->
                                sendOnce(port, look("f" + port + "-" + System.nanoTime()), true),
                        (port, i) -> burst(port, i % 250 == 0 ? 250 : 0));
        for (int kind = 0; kind < events.size(); kind++) {
            for (int round = 0; round < 2; round++) {
                for (int b = 0; b < builds.size(); b++) {
                    System.out.printf(
                            "%s, a thousand of '%s': processor %.0f ms%n",
                            jars[b], names.get(kind), flood(builds.get(b), events.get(kind)));
                }
            }
        }
        for (Build build : builds) {
            build.stop();
        }
    }
}
