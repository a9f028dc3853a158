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
 * Runs the proxy on loopback between a test's clients and scripted servers that act as backends and
 * discovery. Fields that a test sets before the start apply to the proxy that it starts.
 */
public abstract class LoopbackFixture {
    /** Default trace id of the fixture's requests. */
    protected static final String TRACE_ID = "abc";

    /** Seconds after which a request without a response fails its test. */
    private static final int RESPONSE_TIMEOUT_SECONDS = 20;

    /** Maximum seconds for which a backend waits for its release. */
    private static final int RELEASE_TIMEOUT_SECONDS = 5;

    /** The scripted servers. All are closed after the test. */
    private final List<ScriptedServer> servers = new ArrayList<>();

    /** The next responses of discovery to the watch for changes. */
    protected final LinkedBlockingQueue<String> discoveryUpdates = new LinkedBlockingQueue<>();

    /** Sends the requests that a test does not write on a socket. */
    protected final HttpClient httpClient = HttpClient.newHttpClient();

    /** How the proxy gets its endpoint list, see {@link TestConfig#json(int, String, boolean)}. */
    protected String membershipMode = "pushed";

    /** Whether the proxy may ask backends for load reports. */
    protected boolean probes;

    /** Changes the configuration before the start. */
    protected UnaryOperator<ProxyConfig> configChange = config -> config;

    /** The discovery server that the proxy was started with. */
    protected ScriptedServer discovery;

    /** The proxy; null until a test starts it. */
    protected ProxyServer proxy;

    /** Holds back connections to backends; null to open them without delay. */
    HeldConnector heldConnector;

    // The configuration and the scripted servers.

    /** Returns the configuration of a proxy whose discovery listens on a port. */
    protected String config(int discoveryPort) {
        return TestConfig.json(discoveryPort, membershipMode, probes);
    }

    /** Starts a server that responds with a script. */
    protected ScriptedServer scriptedServer(Function<String, String> script) throws IOException {
        ScriptedServer server = new ScriptedServer(script);
        servers.add(server);
        return server;
    }

    /** Starts a backend that responds with a script. */
    protected ScriptedServer backend(Function<String, String> script) throws IOException {
        return scriptedServer(script);
    }

    /** Starts a backend that always sends the same response. */
    protected ScriptedServer backend(String response) throws IOException {
        return scriptedServer(request -> response);
    }

    /** Starts a backend that responds once it is released. */
    protected ScriptedServer backend(CountDownLatch release) throws IOException {
        return scriptedServer(
                request -> awaitRelease(release, RELEASE_TIMEOUT_SECONDS) ? OK : CLOSE);
    }

    /** Waits for a latch. Returns false on a timeout or an interrupt. */
    protected static boolean awaitRelease(CountDownLatch release, int timeoutSeconds) {
        try {
            return release.await(timeoutSeconds, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            return false;
        }
    }

    /** Starts a discovery server that sends its full list and never responds to a watch. */
    protected ScriptedServer discoveryWithoutChanges(String fullList) throws IOException {
        return scriptedServer(request -> request.contains("?") ? SILENCE : okResponse(fullList));
    }

    /** Returns the ports of servers, in the same order. */
    protected static int[] ports(ScriptedServer... servers) {
        return Arrays.stream(servers).mapToInt(ScriptedServer::port).toArray();
    }

    // The proxy.

    /** Starts the proxy with backends and returns once it knows them. */
    protected void start(ScriptedServer... backends) throws Exception {
        startWithPorts(ports(backends));
    }

    /** Starts the proxy with backends on loopback ports and returns once it knows them. */
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
        // Once the watch has started, the proxy has received the list.
        awaitDiscoveryRequest("from=1");
    }

    /**
     * Waits until discovery has received a request that contains a text, such as "from=2". The
     * proxy requests changes from a revision only after it has passed that list to the decision
     * loop, which applies lists as short as those of the tests at once.
     */
    protected void awaitDiscoveryRequest(String text) throws InterruptedException {
        for (String request = ""; !request.contains(text); ) {
            request = discovery.requests.take();
        }
    }

    /** Returns the port on which the proxy accepts clients. */
    protected int proxyPort() {
        return proxy.address().getPort();
    }

    /** Returns the name of the proxy's phase, such as "STOPPED". */
    protected String phase() {
        return proxy.phase().name();
    }

    /**
     * Returns the shadow evaluation, or null if there is none. Call after the proxy has stopped.
     */
    protected ShadowEvaluator shadow() {
        return proxy.shadow();
    }

    /** Returns how many replies to requests of a class were sent, by the ordinal of their kind. */
    protected CompletableFuture<long[]> replyCounts(String requestClass) {
        CompletableFuture<long[]> counts = new CompletableFuture<>();
        proxy.runOnIoThread(
                () ->
                        counts.complete(
                                proxy.adminOperations().metrics().replies().get(requestClass)));
        return counts;
    }

    /** Starts a thread that drains the proxy. Returns the thread once the drain has started. */
    protected Thread startDrain() {
        Thread drain = drainThread(proxy);
        drain.start();
        while (proxy.phase() != ProxyServer.Phase.DRAINING) {
            Thread.onSpinWait();
        }
        return drain;
    }

    /** Creates, but does not start, a thread that drains a proxy. */
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

    /** Stops the proxy if it still serves, and the scripted servers. */
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

    /** Opens a connection to the proxy whose reads have no timeout. */
    protected Socket connect() throws IOException {
        return new Socket("127.0.0.1", proxyPort());
    }

    /** Opens a connection to the proxy whose reads have a timeout. */
    protected Socket connect(int readTimeoutMillis) throws IOException {
        Socket client = connect();
        client.setSoTimeout(readTimeoutMillis);
        return client;
    }

    /** Opens connections to the proxy and sends nothing on them. */
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

    /** Returns a request of a class, which the test completes and sends. */
    protected HttpRequest.Builder request(String requestClass) {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + proxyPort() + "/api/x%20y?q=1"))
                .header("X-Trace-Id", TRACE_ID)
                .header("X-Qos", requestClass)
                .header("X-Expires-In-Ms", String.valueOf(TestConfig.TIMEOUT_MILLIS));
    }

    /** Sends a request and waits for its response. Fails if there is none in time. */
    protected HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        // A request that is never answered fails its test instead of blocking all tests.
        return httpClient.send(
                request.timeout(Duration.ofSeconds(RESPONSE_TIMEOUT_SECONDS)).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request without waiting for its response. */
    protected CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
        return httpClient.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends an idempotent request without a body. */
    protected HttpResponse<String> sendIdempotent() throws Exception {
        return send(request(TestConfig.IDEMPOTENT_CLASS));
    }

    /** Sends a non-idempotent request with a body. */
    protected HttpResponse<String> sendNotIdempotent(String body) throws Exception {
        return send(
                request(TestConfig.NOT_IDEMPOTENT_CLASS)
                        .POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    /**
     * Sends a request on a new connection, which stays open and is added to a list.
     *
     * @return the response, or null if the connection is closed without one
     */
    protected String sendOnNewConnection(int number, List<Socket> connections) throws IOException {
        Socket client = connect();
        connections.add(client);
        writeText(client, getRequest("stay-" + number, TestConfig.TIMEOUT_MILLIS));
        return readMessage(client);
    }
}
