package lemondrift.proxy;

import static lemondrift.proxy.DiscoveryMessages.activeMembers;
import static lemondrift.proxy.DiscoveryMessages.endpointList;
import static lemondrift.proxy.HttpMessages.OK;
import static lemondrift.proxy.HttpMessages.getRequest;
import static lemondrift.proxy.HttpMessages.okResponse;
import static lemondrift.proxy.HttpMessages.readMessage;
import static lemondrift.proxy.HttpMessages.writeText;
import static lemondrift.proxy.ScriptedServer.CLOSE;
import static lemondrift.proxy.ScriptedServer.SILENCE;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.shadow.ShadowEvaluator;
import org.junit.jupiter.api.AfterEach;

/**
 * The real proxy on loopback, between stand-ins for backends and discovery and the clients of a
 * test. What a test sets before the start holds for the proxy that it starts.
 */
public abstract class LoopbackFixture {
    /** The trace id of the fixture's requests where a test sets no other. */
    protected static final String TRACE_ID = "abc";

    /** Seconds until a request without a response fails its test. */
    private static final int RESPONSE_TIMEOUT_SECONDS = 20;

    /** Seconds for which a backend waits until it may respond. */
    private static final int RELEASE_TIMEOUT_SECONDS = 5;

    /** The stand-ins that listen; all are closed after the test. */
    private final List<ScriptedServer> servers = new ArrayList<>();

    /** What discovery responds next to the watch for changes. */
    protected final LinkedBlockingQueue<String> discoveryUpdates = new LinkedBlockingQueue<>();

    /** The client of the requests that a test doesn't write on a socket itself. */
    protected final HttpClient httpClient = HttpClient.newHttpClient();

    /** How the proxy gets its endpoint list, see {@link TestConfig#json(int, String, boolean)}. */
    protected String membershipMode = "pushed";

    /** Whether the proxy may ask backends for load reports. */
    protected boolean probes;

    /** What a test changes of the configuration. */
    protected UnaryOperator<ProxyConfig> configChange = config -> config;

    /** The stand-in for discovery that the proxy was started with. */
    protected ScriptedServer discovery;

    /** Null until a test has started it. */
    protected ProxyServer proxy;

    /** Holds back connections to backends; null where they open as they do. */
    HeldConnector heldConnector;

    // The configuration and the stand-ins.

    /** The configuration of a proxy whose discovery listens on a port. */
    protected String config(int discoveryPort) {
        return TestConfig.json(discoveryPort, membershipMode, probes);
    }

    /** A server that responds by a script. */
    protected ScriptedServer scriptedServer(Function<String, String> script) throws IOException {
        ScriptedServer server = new ScriptedServer(script);
        servers.add(server);
        return server;
    }

    /** A backend that responds by a script. */
    protected ScriptedServer backend(Function<String, String> script) throws IOException {
        return scriptedServer(script);
    }

    /** A backend that always responds the same. */
    protected ScriptedServer backend(String response) throws IOException {
        return scriptedServer(request -> response);
    }

    /** A backend that responds once it is released. */
    protected ScriptedServer backend(CountDownLatch release) throws IOException {
        return scriptedServer(
                request -> awaitRelease(release, RELEASE_TIMEOUT_SECONDS) ? OK : CLOSE);
    }

    /** Whether a latch is released within a time. */
    protected static boolean awaitRelease(CountDownLatch release, int timeoutSeconds) {
        try {
            return release.await(timeoutSeconds, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            return false;
        }
    }

    /** Discovery that gives its full list, and is silent on the watch for changes. */
    protected ScriptedServer discoveryWithoutChanges(String fullList) throws IOException {
        return scriptedServer(request -> request.contains("?") ? SILENCE : okResponse(fullList));
    }

    /** The ports of servers, in their order. */
    protected static int[] ports(ScriptedServer... servers) {
        return Arrays.stream(servers).mapToInt(ScriptedServer::port).toArray();
    }

    // The proxy.

    /** Starts the proxy with its backends, and returns once it knows them. */
    protected void start(ScriptedServer... backends) throws Exception {
        startWithPorts(ports(backends));
    }

    /** Starts the proxy with backends on ports of loopback, and returns once it knows them. */
    protected void startWithPorts(int... backendPorts) throws Exception {
        String fullList = endpointList(1, true, activeMembers(backendPorts));
        discovery =
                scriptedServer(
                        request -> {
                            try {
                                return request.contains("?")
                                        ? discoveryUpdates.take()
                                        : okResponse(fullList);
                            } catch (InterruptedException e) {
                                return CLOSE;
                            }
                        });
        ProxyConfig config = configChange.apply(ProxyConfig.read(config(discovery.port())));
        proxy =
                heldConnector == null
                        ? new ProxyServer(config)
                        : new ProxyServer(config, heldConnector.worker(), heldConnector);
        proxy.serve();
        // The watch has begun, so the proxy has received the list.
        awaitDiscoveryRequest("from=1");
    }

    /**
     * Waits until discovery has been sent a request with a text, such as "from=2". The proxy asks
     * from a revision only when it has handed that list to the decisions, which apply a list as
     * short as those of the tests at once.
     */
    protected void awaitDiscoveryRequest(String text) throws InterruptedException {
        for (String request = ""; !request.contains(text); ) {
            request = discovery.requests.take();
        }
    }

    /** The port on which the proxy accepts clients. */
    protected int proxyPort() {
        return proxy.address().getPort();
    }

    /** The name of what the proxy is doing, such as "STOPPED". */
    protected String phase() {
        return proxy.phase().name();
    }

    /**
     * The figures of the shadow evaluation, once the proxy has stopped; null where there is none.
     */
    protected ShadowEvaluator shadow() {
        return proxy.shadow();
    }

    /** How many replies to requests of a class were sent, by the ordinal of their kind. */
    protected CompletableFuture<long[]> replyCounts(String requestClass) {
        CompletableFuture<long[]> counts = new CompletableFuture<>();
        proxy.runOnIoThread(
                () ->
                        counts.complete(
                                proxy.adminOperations().metrics().replies().get(requestClass)));
        return counts;
    }

    /** A thread in which the proxy drains; returns once the drain has begun. */
    protected Thread startDrain() {
        Thread drain = drainThread(proxy);
        drain.start();
        while (proxy.phase() != ProxyServer.Phase.DRAINING) {
            Thread.onSpinWait();
        }
        return drain;
    }

    /** A thread, not started yet, in which a proxy drains. */
    static Thread drainThread(ProxyServer proxy) {
        return new Thread(
                () -> {
                    try {
                        proxy.drain();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    /** Stops the proxy where it still serves, and the stand-ins. */
    @AfterEach
    protected void stop() throws Exception {
        discoveryUpdates.add(CLOSE);
        if (proxy != null && proxy.phase() == ProxyServer.Phase.SERVING) {
            proxy.drain();
        }
        for (ScriptedServer server : servers) {
            server.close();
        }
    }

    // Clients.

    /** A connection to the proxy whose reads wait without a bound. */
    protected Socket connect() throws IOException {
        return new Socket("127.0.0.1", proxyPort());
    }

    /** A connection to the proxy whose reads fail after a time. */
    protected Socket connect(int readTimeoutMillis) throws IOException {
        Socket client = connect();
        client.setSoTimeout(readTimeoutMillis);
        return client;
    }

    /** So many connections to the proxy on which nothing has been sent. */
    protected List<Socket> openSilentConnections(int count) throws IOException {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(connect());
        }
        return clients;
    }

    /** Closes connections. */
    protected static void closeAll(List<Socket> clients) throws IOException {
        for (Socket client : clients) {
            client.close();
        }
    }

    /** A request of a class, to be completed and sent by the test. */
    protected HttpRequest.Builder request(String requestClass) {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + proxyPort() + "/api/x%20y?q=1"))
                .header("X-Trace-Id", TRACE_ID)
                .header("X-Qos", requestClass)
                .header("X-Expires-In-Ms", String.valueOf(TestConfig.TIMEOUT_MILLIS));
    }

    /** Sends a request and waits for its response; fails where none comes in time. */
    protected HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        // One that is never answered fails its test instead of holding all of them up.
        return httpClient.send(
                request.timeout(Duration.ofSeconds(RESPONSE_TIMEOUT_SECONDS)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request without waiting for its response. */
    protected CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
        return httpClient.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request without a body that may be executed twice. */
    protected HttpResponse<String> sendIdempotent() throws Exception {
        return send(request(TestConfig.IDEMPOTENT_CLASS));
    }

    /** Sends a request with a body that may not be executed twice. */
    protected HttpResponse<String> sendNotIdempotent(String body) throws Exception {
        return send(
                request(TestConfig.NOT_IDEMPOTENT_CLASS)
                        .POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    /**
     * Sends a request on a connection of its own that stays open, and is added to those given; its
     * response, or null where the connection is closed without one.
     */
    protected String sendOnNewConnection(int number, List<Socket> connections) throws IOException {
        Socket client = connect();
        connections.add(client);
        writeText(client, getRequest("stay-" + number, TestConfig.TIMEOUT_MILLIS));
        return readMessage(client);
    }
}
