package lemondrift.proxy.backend;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Methods;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import lemondrift.metrics.ProxyMetrics;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.events.DecisionEvents;
import lemondrift.proxy.events.PendingRequest;
import lemondrift.proxy.events.StreamedRequestBody;
import lemondrift.proxy.http.ProxyHeaders;
import lemondrift.proxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Forwards, probes and load reports over bounded pools of connections. I/O thread only. */
public final class BackendClient {
    private static final Logger LOG = LoggerFactory.getLogger(BackendClient.class);

    /** Of a body either way. */
    static final int MOST_BODY = 64 * 1024;

    /** The share of the proxy's connections that go to backends, and of those the share for one. */
    private static final double SHARE = 0.33;

    private static final double MOST_OF_THEM = 0.25;

    /** Idle connections are closed at this share of the time after which a backend does so. */
    private static final double IDLE_SHARE = 0.5;

    /**
     * How long a wary pool's connections rest after an answer, as a share of a connect's longest
     * time.
     */
    private static final double REST_SHARE = 1.0 / 16;

    /** The share of its time after which an answer that nobody knows the length of is passed on. */
    private static final double PATIENCE = 0.8;

    /** No figure of a load report can be as high. */
    private static final double UNHEARD_OF = 1e9;

    private final ProxyConfig config;
    private final MonotonicClock clock;
    private final XnioIoThread io;
    private final BackendConnector connector;
    private final ByteBufferPool buffers;
    private final DecisionEvents decisionEvents;
    private final ProxyMetrics metrics;
    private final Predicate<PendingRequest> awaited;
    private final ConnectionPool.Budget budget;
    private final XnioExecutor.Key sweep;
    private final Map<Integer, ConnectionPool> links = new HashMap<>();
    private final Map<Attempt, BackendCall> calls = new HashMap<>();

    /** Awaited says whether the client of an exchange is there and has no answer yet. */
    public BackendClient(
            ProxyConfig config,
            MonotonicClock clock,
            XnioIoThread io,
            BackendConnector connector,
            ByteBufferPool buffers,
            DecisionEvents decisionEvents,
            ProxyMetrics metrics,
            Predicate<PendingRequest> awaited) {
        this.awaited = awaited;
        this.config = config;
        this.clock = clock;
        this.io = io;
        this.connector = connector;
        this.buffers = buffers;
        this.decisionEvents = decisionEvents;
        this.metrics = metrics;
        budget = new ConnectionPool.Budget((int) (SHARE * config.maxConnections()));
        double limit = IDLE_SHARE * config.backendIdleSeconds();
        sweep =
                io.executeAtInterval(
                        () -> links.values().forEach(l -> l.closeIdleSince(clock.now() - limit)),
                        (long) (limit * 1e9 / 8),
                        TimeUnit.NANOSECONDS);
    }

    public void send(Attempt attempt, PendingRequest pending, InetSocketAddress to) {
        try {
            begin(attempt, pending, to);
        } catch (RuntimeException e) {
            // Danger: a forward that never ends would keep its exchange until the expiry.
            LOG.error("forward not begun", e);
            decisionEvents.attemptEnded(attempt, AttemptOutcome.NOT_SENT, 0, null, null);
        }
    }

    private void begin(Attempt attempt, PendingRequest pending, InetSocketAddress to) {
        // The time that passed in the queues is the exchange's own.
        StreamedRequestBody streamedBody = pending.streamedBody();
        double within =
                streamedBody == null
                        ? attempt.sentAt + attempt.timeoutSeconds - clock.now()
                        : streamedBody.responseTimeoutSeconds();
        if (streamedBody != null && !streamedBody.restart()) {
            decisionEvents.attemptEnded(attempt, AttemptOutcome.NOT_SENT, 0, null, null);
            return;
        }
        BackendCall[] made = new BackendCall[1];
        BackendCall call =
                BackendCall.passing(
                        links(attempt.backend, to),
                        request(pending),
                        MOST_BODY,
                        config.connectTimeoutSeconds(),
                        within,
                        PATIENCE * within,
                        () -> awaited.test(pending),
                        metrics::attemptSent,
                        response -> {
                            calls.remove(attempt);
                            // The time that an upload took is its client's, not the backend's.
                            double began = streamedBody == null ? attempt.sentAt : made[0].began();
                            decisionEvents.attemptEnded(
                                    attempt,
                                    outcome(response),
                                    clock.now() - began,
                                    report(response),
                                    response);
                        });
        made[0] = call;
        if (call == null) {
            decisionEvents.attemptEnded(attempt, AttemptOutcome.NOT_SENT, 0, null, null);
        } else {
            calls.put(attempt, call);
            call.start();
        }
    }

    /**
     * The request as it came, but for what belongs to one connection and the time there is for it.
     */
    private static BackendCall.Request request(PendingRequest pending) {
        StreamedRequestBody streamedBody = pending.streamedBody();
        BackendCall.Head head =
                streamedBody == null
                        ? left -> head(pending, left)
                        : left -> head(pending, streamedBody.responseTimeoutSeconds());
        return new BackendCall.Request(head, pending.body(), streamedBody);
    }

    private static byte[] head(PendingRequest pending, double left) {
        HttpServerExchange client = pending.exchange();
        String query = client.getQueryString();
        StringBuilder head =
                new StringBuilder(256)
                        .append(client.getRequestMethod())
                        .append(' ')
                        .append(client.getRequestURI())
                        .append(query.isEmpty() ? "" : "?")
                        .append(query)
                        .append(" HTTP/1.1\r\n");
        for (HeaderValues values : client.getRequestHeaders()) {
            for (int i = 0;
                    i < values.size() && ProxyHeaders.isEndToEnd(values.getHeaderName());
                    i++) {
                head.append(values.getHeaderName())
                        .append(": ")
                        .append(values.get(i))
                        .append("\r\n");
            }
        }
        head.append(ProxyHeaders.TIMEOUT)
                .append(": ")
                .append(Math.max(1, Math.round(left * 1000)))
                .append("\r\n");
        if (pending.streamedBody() != null && pending.streamedBody().isChunked()) {
            head.append("Transfer-Encoding: chunked\r\n");
        } else if (pending.streamedBody() != null) {
            head.append("Content-Length: ").append(client.getRequestContentLength()).append("\r\n");
        } else if (pending.body().length > 0 || !client.getRequestMethod().equals(Methods.GET)) {
            head.append("Content-Length: ").append(pending.body().length).append("\r\n");
        }
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    public void cancel(Attempt attempt) {
        BackendCall call = calls.remove(attempt);
        if (call != null) {
            call.abandon();
            decisionEvents.attemptEnded(
                    attempt, AttemptOutcome.CANCELLED, clock.now() - attempt.sentAt, null, null);
        }
    }

    /** A probe waits as long as a connect may. */
    public void probe(int backend, InetSocketAddress to) {
        String path = config.loadReportFields().isEmpty() ? "/healthz" : "/load";
        BackendCall call =
                BackendCall.make(
                        links(backend, to),
                        BackendCall.get(path, "backend"),
                        MOST_BODY,
                        config.connectTimeoutSeconds(),
                        config.connectTimeoutSeconds(),
                        response ->
                                decisionEvents.probeEnded(
                                        backend,
                                        outcome(response),
                                        report(
                                                new String(
                                                        response.body(),
                                                        StandardCharsets.ISO_8859_1),
                                                config.loadReportFields())));
        if (call == null) {
            decisionEvents.probeEnded(backend, AttemptOutcome.NOT_SENT, null);
        } else {
            call.start();
        }
    }

    /** How many forwards are out. */
    public int callsInFlight() {
        return calls.size();
    }

    public void retirePool(int backend) {
        ConnectionPool known = links.remove(backend);
        if (known != null) {
            known.retire();
        }
    }

    /** A share of its connections is this process's from now on. */
    public void setResourceShare(double share) {
        budget.most((int) (share * SHARE * config.maxConnections()));
    }

    public void stop() {
        sweep.remove();
    }

    private ConnectionPool links(int backend, InetSocketAddress to) {
        ConnectionPool known = links.get(backend);
        if (known == null || !known.address.equals(to)) {
            retirePool(backend);
            int most = (int) (MOST_OF_THEM * SHARE * config.maxConnections());
            known =
                    new ConnectionPool(
                            to,
                            io,
                            connector,
                            buffers,
                            clock,
                            budget,
                            most,
                            new ConnectionPool.Rest(
                                    REST_SHARE * config.connectTimeoutSeconds(),
                                    config.backendIdleSeconds()));
            links.put(backend, known);
        }
        return known;
    }

    static AttemptOutcome outcome(BackendResponse response) {
        boolean neverRan = "1".equals(response.headers().getFirst(ProxyHeaders.NEVER_EXECUTED));
        return switch (response.status()) {
            case BackendResponse.UNSENT -> AttemptOutcome.NOT_SENT;
            case 0 ->
                    !response.requestSent()
                            ? AttemptOutcome.CONNECT_FAILED
                            : response.timedOut() ? AttemptOutcome.TIMED_OUT : AttemptOutcome.RESET;
            case BackendResponse.OK -> AttemptOutcome.SUCCESS;
            case 503, 504 -> neverRan ? AttemptOutcome.OVERLOADED : AttemptOutcome.ERROR;
            default -> AttemptOutcome.ERROR;
        };
    }

    /** Danger: of two reports it is not known which is meant. */
    private double[] report(BackendResponse response) {
        return response.headers().count(ProxyHeaders.LOAD_REPORT) != 1
                ? null
                : report(
                        response.headers().getFirst(ProxyHeaders.LOAD_REPORT),
                        config.loadReportFields());
    }

    /**
     * Reads TEXT name=value, name=value into the figures of these names; null if one lacks or is
     * none.
     */
    public static double[] report(String text, List<String> names) {
        Map<String, String> pairs = new HashMap<>();
        String list = text.strip();
        for (String pair : list.substring(list.startsWith("TEXT ") ? 5 : 0).split(",")) {
            int equals = pair.indexOf('=');
            pairs.put(
                    pair.substring(0, Math.max(0, equals)).strip(),
                    pair.substring(equals + 1).strip());
        }
        try {
            double[] figures =
                    names.stream()
                            .mapToDouble(name -> Double.parseDouble(pairs.get(name)))
                            .toArray();
            // Danger: a figure that is none or negative would make its backend the least utilised
            // for good.
            return Arrays.stream(figures).allMatch(each -> each >= 0 && each < UNHEARD_OF)
                    ? figures
                    : null;
        } catch (NumberFormatException | NullPointerException e) {
            return null;
        }
    }
}
