package lemondrift.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import lemondrift.proxy.backend.BackendConnector;
import lemondrift.proxy.config.ProxyConfig;
import org.junit.jupiter.api.AfterEach;
import org.xnio.ChannelListener;
import org.xnio.FutureResult;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;

/** The real proxy on loopback, between stand-ins for clients, backends and discovery. */
abstract class LoopbackFixture {
    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    static final String HALF = "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nbo";
    static final String CHUNKS = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n";
    static final String NEVER_RAN =
            "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0" + "\r\n\r\n";

    /** What a stand-in does in place of an answer. */
    static final String CLOSE = "close";

    static final String SILENCE = "silence";

    final List<StandIn> standIns = new ArrayList<>();
    final LinkedBlockingQueue<String> news = new LinkedBlockingQueue<>();
    final HttpClient http = HttpClient.newHttpClient();
    String lists = "pushed";

    /** What a test changes of the configuration. */
    UnaryOperator<ProxyConfig> changed = config -> config;

    StandIn discovery;
    ProxyServer proxy;

    /** How connections to backends come up; null is as they do. */
    LateDial dial;

    /** Connections to backends come up when they are let. */
    static class LateDial implements BackendConnector {
        final XnioWorker worker;

        /** Those that wait, each to be let up on the I/O thread. */
        final LinkedBlockingQueue<Up> waiting = new LinkedBlockingQueue<>();

        /** A connection to somebody, and what lets it up. */
        record Up(InetSocketAddress to, Runnable run) {}

        LateDial(XnioWorker worker) {
            this.worker = worker;
        }

        @Override
        public IoFuture<StreamConnection> open(
                InetSocketAddress to, ChannelListener<StreamConnection> opened) {
            FutureResult<StreamConnection> result = new FutureResult<>();
            worker.getIoThread()
                    .openStreamConnection(
                            to,
                            connection ->
                                    waiting.add(
                                            new Up(
                                                    to,
                                                    () -> {
                                                        result.setResult(connection);
                                                        opened.handleEvent(connection);
                                                    })),
                            OptionMap.EMPTY);
            return result.getIoFuture();
        }

        /** The next one; null where none comes. */
        Up next() throws InterruptedException {
            return waiting.poll(5, TimeUnit.SECONDS);
        }
    }

    /**
     * A scripted HTTP server; it notes whole requests, and connections that the other side has
     * closed.
     */
    final class StandIn {
        final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final LinkedBlockingQueue<String> requests = new LinkedBlockingQueue<>();
        final CountDownLatch left = new CountDownLatch(1);
        final Function<String, String> script;

        StandIn(Function<String, String> script) throws IOException {
            this.script = script;
            standIns.add(this);
            daemon(
                    () -> {
                        while (true) {
                            Socket socket = server.accept();
                            daemon(() -> serve(socket));
                        }
                    });
        }

        int port() {
            return server.getLocalPort();
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                for (String request = read(socket); request != null; request = read(socket)) {
                    if (!request.startsWith("GET /load")) {
                        requests.add(request);
                    }
                    String answer = script.apply(request);
                    if (answer.equals(CLOSE)) {
                        return;
                    } else if (!answer.equals(SILENCE)) {
                        socket.getOutputStream()
                                .write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    }
                    if (answer.equals(HALF)
                            || answer.equals(CHUNKS)
                            || answer.contains("close\r\n")) {
                        return;
                    }
                }
            } finally {
                left.countDown();
            }
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static void daemon(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // The stand-in is closed, or the other side is.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** One message, head and body; null where the connection ends. */
    static String read(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                return null;
            }
            text.append((char) c);
        }
        String head = text.toString().toLowerCase(Locale.ROOT);
        int at = head.indexOf("content-length: ");
        int length =
                at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf("\r\n", at)));
        return text + new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    static String list(int revision, boolean whole, String... members) {
        return "{\"revision\":"
                + revision
                + ",\"complete\":"
                + whole
                + ",\"members\":["
                + String.join(",", members)
                + "]}";
    }

    static String member(int backend, int port, String phase) {
        return "{\"id\":\"s-"
                + backend
                + "\",\"host_port\":\"127.0.0.1:"
                + port
                + "\",\"locality\":\"a\","
                + "\"flavor\":\"m\",\"cell\":0,\"phase\":\""
                + phase
                + "\",\"size\":1.0,\"up_since_ms\":0}";
    }

    static String http(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    String config(int discovery, boolean probes) {
        String grade = "\"contractTime\":1500,\"expiry\":4000,\"benefit\":1,";
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":64},\"settings\":{\"siblings\":1,"
                + "\"zone\":0,\"localities\":[\"a\"],\"membershipMode\":\""
                + lists
                + "\","
                + "\"limits\":{\"mayCancel\":true,\"probes\":"
                + probes
                + ",\"mostForwards\":4,\"retryAfter\":true,\"maxRetryAfter\":500,"
                + "\"connIdle\":10000,\"connectTimeout\":250},\"invariants\":{\"coldFrom\":0.3,\"cold\":8000,"
                + "\"fallMultiple\":3,\"overloadFor\":2000},\"report\":{\"how\":\"inline\",\"names\":"
                + "[\"queue\",\"util\"]},\"charges\":{\"probe\":0.001},\"serviceGrades\":[{\"name\":\"look\","
                + grade
                + "\"effect\":\"retryable\"},{\"name\":\"order\","
                + grade
                + "\"effect\":\"fragile\"}]}}";
    }

    void start(boolean probes, int... ports) throws Exception {
        String[] members =
                IntStream.range(0, ports.length)
                        .mapToObj(i -> member(i, ports[i], "active"))
                        .toArray(String[]::new);
        discovery =
                new StandIn(
                        request -> {
                            try {
                                return !request.contains("?")
                                        ? http(list(1, true, members))
                                        : news.take();
                            } catch (InterruptedException e) {
                                return CLOSE;
                            }
                        });
        ProxyConfig config = changed.apply(ProxyConfig.read(config(discovery.port(), probes)));
        proxy = dial == null ? new ProxyServer(config) : new ProxyServer(config, dial.worker, dial);
        proxy.serve();
        // The watch has begun, so the list has been told.
        awaitWatch("from=1");
    }

    void awaitWatch(String from) throws InterruptedException {
        for (String asked = ""; !asked.contains(from); ) {
            asked = discovery.requests.take();
        }
    }

    void start(StandIn... backends) throws Exception {
        start(false, List.of(backends).stream().mapToInt(StandIn::port).toArray());
    }

    /** A real process of the proxy, its log on its output. */
    static Process process(Path file) throws IOException {
        ProcessBuilder command =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin/java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "lemondrift.Main",
                        "serve");
        command.environment().put("PROXY_CONFIG", file.toString());
        return command.redirectErrorStream(true).start();
    }

    static void signal(Process to, String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, String.valueOf(to.pid())).start().waitFor());
    }

    /**
     * Fails where no such line comes within a minute, as where its process has ended or ignores a
     * signal.
     */
    static void awaitLine(BufferedReader log, String has) throws IOException {
        long until = System.nanoTime() + TimeUnit.MINUTES.toNanos(1);
        for (String line = ""; !line.contains(has); line = log.readLine()) {
            assertNotNull(line, "no line with " + has);
            while (!log.ready()) {
                assertTrue(System.nanoTime() < until, "no line with " + has + " within a minute");
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
            }
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return free.getLocalPort();
        }
    }

    StandIn backend(Function<String, String> script) throws IOException {
        return new StandIn(script);
    }

    /** One that answers once it may. */
    StandIn backend(CountDownLatch go) throws IOException {
        return new StandIn(
                request -> {
                    try {
                        return go.await(5, TimeUnit.SECONDS) ? OK : CLOSE;
                    } catch (InterruptedException e) {
                        return CLOSE;
                    }
                });
    }

    /** The drain, which has begun. */
    Thread drains() {
        Thread drain =
                new Thread(
                        () -> {
                            try {
                                proxy.drain();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        drain.start();
        while (proxy.phase() != ProxyServer.Phase.DRAINING) {
            Thread.onSpinWait();
        }
        return drain;
    }

    StandIn backend(String always) throws IOException {
        return new StandIn(request -> always);
    }

    @AfterEach
    void stop() throws Exception {
        news.add(CLOSE);
        if (proxy != null && proxy.phase() == ProxyServer.Phase.SERVING) {
            proxy.drain();
        }
        for (StandIn each : standIns) {
            each.server.close();
        }
    }

    HttpRequest.Builder request(String grade) {
        return HttpRequest.newBuilder(
                        URI.create(
                                "http://127.0.0.1:" + proxy.address().getPort() + "/api/x%20y?q=1"))
                .header("X-Trace-Id", "abc")
                .header("X-Qos", grade)
                .header("X-Expires-In-Ms", "4000");
    }

    HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        // One that is never answered fails its test instead of holding all of them up.
        return http.send(
                request.timeout(Duration.ofSeconds(20)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> look() throws Exception {
        return send(request("look"));
    }

    HttpResponse<String> order(String body) throws Exception {
        return send(request("order").POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    /** Asks once on a connection of its own that stays open; its answer's head, or null. */
    String askAndStay(int id, List<Socket> stay) throws IOException {
        Socket client = new Socket("127.0.0.1", proxy.address().getPort());
        stay.add(client);
        client.getOutputStream()
                .write(
                        ("GET / HTTP/1.1\r\nHost: a\r\nX-Trace-Id: stay-"
                                        + id
                                        + "\r\nX-Qos: look\r\nX-Expires-In-Ms: 4000\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
        return read(client);
    }
}
