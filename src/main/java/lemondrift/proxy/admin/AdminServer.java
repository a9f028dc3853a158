package lemondrift.proxy.admin;

import com.google.gson.JsonObject;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import lemondrift.metrics.ProxyMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * HTTP server of the admin address. Serves a fixed set of calls, one per connection, and never
 * waits for another thread. Has its own connections and buffers, which guards against clients
 * locking operators out.
 */
public final class AdminServer {
    private static final Logger LOG = LoggerFactory.getLogger(AdminServer.class);

    /** Maximum number of open connections. */
    private static final int MAX_CONNECTIONS = 16;

    /** Maximum number of connections that wait to be accepted. */
    private static final int BACKLOG = 4 * MAX_CONNECTIONS;

    /** Maximum duration of a call from the moment its connection is accepted, in seconds. */
    private static final long CALL_TIMEOUT_SECONDS = 2;

    /** Maximum size of a request head, and size of a buffer, in bytes. */
    private static final int MAX_HEAD_BYTES = 4 * 1024;

    private static final String HEALTH = "/admin/health";
    private static final String STATS = "/admin/stats";
    private static final String RECOVERY = "/admin/recovery";
    private static final String LOOP = "/admin/loop";
    private static final String TASKS = "/admin/tasks";
    private static final String NOT_SERVED = "/admin/not-served";
    private static final String QUIESCE = "/admin/quiesce";
    private static final String RESUME = "/admin/resume";

    private final XnioWorker worker;
    private final HttpOpenListener http;
    private final AcceptingChannel<StreamConnection> server;

    /** Open connections, oldest first. */
    private final Set<StreamConnection> connections = new LinkedHashSet<>();

    /** Null until {@link #setOperations} is called. */
    private AdminOperations operations;

    /**
     * Creates a server and starts to listen.
     *
     * @throws IOException if the address cannot be bound
     */
    public AdminServer(InetSocketAddress address, XnioWorker worker) throws IOException {
        this.worker = worker;
        ByteBufferPool buffers =
                new DefaultByteBufferPool(true, MAX_HEAD_BYTES, MAX_CONNECTIONS, 0);
        http =
                new HttpOpenListener(
                        buffers,
                        OptionMap.builder()
                                .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .getMap());
        http.setRootHandler(this::handle);
        server =
                worker.createStreamConnectionServer(
                        address,
                        ChannelListeners.openListenerAdapter(this::accepted),
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.BACKLOG, BACKLOG)
                                .getMap());
        server.resumeAccepts();
        LOG.info("admin server listens on {}", address());
    }

    /** Returns the address on which the server listens. */
    public InetSocketAddress address() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    /**
     * Sets the operations of the proxy. Until then, {@link #STATS} returns metrics without counts,
     * {@link #HEALTH}, {@link #QUIESCE} and {@link #RESUME} are answered with 503 and the other
     * calls with 404. May be called from any thread.
     */
    public void setOperations(AdminOperations newOperations) {
        worker.getIoThread().execute(() -> operations = newOperations);
    }

    private void accepted(StreamConnection connection) {
        // Guards against callers that never complete a call and block all others.
        if (connections.size() >= MAX_CONNECTIONS) {
            Iterator<StreamConnection> oldestFirst = connections.iterator();
            IoUtils.safeClose(oldestFirst.next());
        }
        connections.add(connection);
        http.handleEvent(connection);
        ChannelListener<? super StreamConnection> httpCloseListener = connection.getCloseListener();
        XnioExecutor.Key timeout =
                worker.getIoThread()
                        .executeAfter(
                                () -> IoUtils.safeClose(connection),
                                CALL_TIMEOUT_SECONDS,
                                TimeUnit.SECONDS);
        connection.setCloseListener(
                closed -> {
                    connections.remove(connection);
                    timeout.remove();
                    ChannelListeners.invokeChannelListener(closed, httpCloseListener);
                });
        if (!connection.isOpen()) {
            connections.remove(connection);
            timeout.remove();
        }
    }

    private void handle(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        HttpString method = allowedMethod(exchange.getRequestPath());
        if (method == null) {
            sendStatus(exchange, StatusCodes.NOT_FOUND);
        } else if (!exchange.getRequestMethod().equals(method)) {
            exchange.getResponseHeaders().put(Headers.ALLOW, method.toString());
            sendStatus(exchange, StatusCodes.METHOD_NOT_ALLOWED);
        } else {
            answer(exchange);
        }
    }

    /** Returns the HTTP method of the call at a path, or null if there is no such call. */
    private static HttpString allowedMethod(String path) {
        return switch (path) {
            case HEALTH, STATS, RECOVERY, LOOP, TASKS, NOT_SERVED -> Methods.GET;
            case QUIESCE, RESUME -> Methods.PUT;
            default -> null;
        };
    }

    private void answer(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case STATS ->
                    sendJson(
                            exchange,
                            toJson(
                                    operations == null
                                            ? new ProxyMetrics().snapshot()
                                            : operations.metrics()));
            case RECOVERY ->
                    sendJson(exchange, operations == null ? null : operations.recoveryJson());
            case LOOP -> sendJson(exchange, operations == null ? null : operations.loopJson());
            case TASKS -> sendJson(exchange, operations == null ? null : operations.tasksJson());
            case NOT_SERVED ->
                    sendJson(exchange, operations == null ? null : operations.notServedJson());
            case HEALTH -> sendSuccess(exchange, operations != null && operations.isHealthy());
            case QUIESCE -> sendSuccess(exchange, operations != null && operations.quiesce());
            default -> sendSuccess(exchange, operations != null && operations.resume());
        }
    }

    /** Sends JSON, or status 404 if it is null. */
    private static void sendJson(HttpServerExchange exchange, String json) {
        if (json == null) {
            sendStatus(exchange, StatusCodes.NOT_FOUND);
            return;
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(json);
    }

    private static void sendSuccess(HttpServerExchange exchange, boolean success) {
        sendStatus(exchange, success ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
    }

    private static void sendStatus(HttpServerExchange exchange, int status) {
        exchange.setStatusCode(status);
        exchange.getResponseSender().send(StatusCodes.getReason(status) + "\n");
    }

    /** Returns the metrics as JSON, under the names that operators' tools read. */
    static String toJson(ProxyMetrics.Snapshot metrics) {
        JsonObject repliesByClass = new JsonObject();
        metrics.replies()
                .forEach(
                        (requestClass, counts) ->
                                repliesByClass.add(requestClass, repliesJson(counts)));
        JsonObject json = new JsonObject();
        json.add("replies", repliesByClass);
        json.addProperty("concurrent", metrics.requestsInFlight());
        json.addProperty("dispatches", metrics.attemptsSent());
        json.addProperty("targets", metrics.backendsListed());
        json.addProperty("targets_disabled", metrics.backendsDisabled());
        json.addProperty("reload_success", metrics.reloadsSucceeded());
        json.addProperty("reload_failure", metrics.reloadsFailed());
        return json.toString();
    }

    private static JsonObject repliesJson(long[] counts) {
        JsonObject replies = new JsonObject();
        for (ProxyMetrics.Reply reply : ProxyMetrics.Reply.values()) {
            replies.addProperty(reply.name().toLowerCase(Locale.ROOT), counts[reply.ordinal()]);
        }
        return replies;
    }
}
