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
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * The operators' address: fixed calls, one to a connection. It never waits for another thread. Its
 * places and buffers are its own. Danger: with the clients' own, a crowd of theirs would keep
 * operators out.
 */
public final class AdminServer {
    private static final Logger LOG = LoggerFactory.getLogger(AdminServer.class);

    /** How many calls may be open, and how many seconds one may take. */
    private static final int PLACES = 16;

    private static final double LONGEST = 2;

    /** Bytes of a head, and of a buffer. */
    private static final int HEAD = 4 * 1024;

    private final XnioWorker worker;
    private final HttpOpenListener http;
    private final AcceptingChannel<StreamConnection> server;

    /** Whoever connected first is first. */
    private final Set<StreamConnection> open = new LinkedHashSet<>();

    /** Null until there is something to operate. */
    private AdminOperations operated;

    public AdminServer(InetSocketAddress address, XnioWorker worker) throws IOException {
        this.worker = worker;
        ByteBufferPool buffers = new DefaultByteBufferPool(true, HEAD, PLACES, 0);
        http =
                new HttpOpenListener(
                        buffers,
                        OptionMap.builder()
                                .set(UndertowOptions.MAX_HEADER_SIZE, HEAD)
                                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                                .getMap());
        http.setRootHandler(this::handle);
        server =
                worker.createStreamConnectionServer(
                        address,
                        ChannelListeners.openListenerAdapter(this::came),
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.BACKLOG, 4 * PLACES)
                                .getMap());
        server.resumeAccepts();
        LOG.info("operators call at {}", address());
    }

    public InetSocketAddress address() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    /** From now on there is something to operate. */
    public void operates(AdminOperations it) {
        worker.getIoThread().execute(() -> operated = it);
    }

    private void came(StreamConnection connection) {
        // Danger: callers that finish nothing would keep all others out.
        if (open.size() >= PLACES) {
            Iterator<StreamConnection> oldest = open.iterator();
            IoUtils.safeClose(oldest.next());
        }
        open.add(connection);
        http.handleEvent(connection);
        ChannelListener<? super StreamConnection> its = connection.getCloseListener();
        var timer =
                worker.getIoThread()
                        .executeAfter(
                                () -> IoUtils.safeClose(connection),
                                (long) (LONGEST * 1e9),
                                TimeUnit.NANOSECONDS);
        connection.setCloseListener(
                closed -> {
                    open.remove(connection);
                    timer.remove();
                    ChannelListeners.invokeChannelListener(closed, its);
                });
        if (!connection.isOpen()) {
            open.remove(connection);
            timer.remove();
        }
    }

    private void handle(HttpServerExchange call) {
        call.setPersistent(false);
        String path = call.getRequestPath();
        boolean reads =
                path.equals("/admin/health")
                        || path.equals("/admin/stats")
                        || path.equals("/admin/recovery")
                        || path.equals("/admin/loop");
        if (!reads && !path.equals("/admin/quiesce") && !path.equals("/admin/resume")) {
            answer(call, StatusCodes.NOT_FOUND);
            return;
        }
        HttpString method = reads ? Methods.GET : Methods.PUT;
        if (!call.getRequestMethod().equals(method)) {
            call.getResponseHeaders().put(Headers.ALLOW, method.toString());
            answer(call, StatusCodes.METHOD_NOT_ALLOWED);
            return;
        }
        if (path.equals("/admin/stats")) {
            ProxyMetrics.Figures figures =
                    operated == null ? new ProxyMetrics().snapshot() : operated.figures();
            call.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
            call.getResponseSender().send(json(figures));
            return;
        }
        if (path.equals("/admin/recovery") || path.equals("/admin/loop")) {
            String told =
                    operated == null
                            ? null
                            : path.equals("/admin/loop") ? operated.loop() : operated.recovery();
            if (told == null) {
                answer(call, StatusCodes.NOT_FOUND);
                return;
            }
            call.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
            call.getResponseSender().send(told);
            return;
        }
        boolean yes =
                operated != null
                        && (reads
                                ? operated.isReady()
                                : path.equals("/admin/quiesce")
                                        ? operated.quiesce()
                                        : operated.resume());
        answer(call, yes ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
    }

    private static void answer(HttpServerExchange call, int status) {
        call.setStatusCode(status);
        call.getResponseSender().send(StatusCodes.getReason(status) + "\n");
    }

    static String json(ProxyMetrics.Figures figures) {
        JsonObject replies = new JsonObject();
        figures.replies()
                .forEach(
                        (grade, counts) -> {
                            JsonObject own = new JsonObject();
                            for (ProxyMetrics.Reply reply : ProxyMetrics.Reply.values()) {
                                own.addProperty(
                                        reply.name().toLowerCase(Locale.ROOT),
                                        counts[reply.ordinal()]);
                            }
                            replies.add(grade, own);
                        });
        JsonObject all = new JsonObject();
        all.add("replies", replies);
        all.addProperty("concurrent", figures.concurrent());
        all.addProperty("dispatches", figures.dispatches());
        all.addProperty("targets", figures.targets());
        all.addProperty("targets_disabled", figures.targetsDisabled());
        all.addProperty("reload_success", figures.reloadSuccess());
        all.addProperty("reload_failure", figures.reloadFailure());
        return all.toString();
    }
}
