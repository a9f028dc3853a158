package lemondrift.proxy.backend;

import io.undertow.connector.ByteBufferPool;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
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
import lemondrift.proxy.time.Durations;
import lemondrift.proxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Sends attempts and probes to backends over one bounded pool of connections for each, and reports
 * how each ended to the decisions. I/O thread only.
 */
public final class BackendClient {
    private static final Logger LOG = LoggerFactory.getLogger(BackendClient.class);

    /** Bytes of a response body that is buffered; a longer one is streamed, or an error. */
    private static final int MAX_BUFFERED_BYTES = 64 * 1024;

    /** The share of the proxy's connections that go to backends. */
    private static final double BACKEND_CONNECTIONS_SHARE = 0.33;

    /** The share of the backends' connections that one backend may have. */
    private static final double PER_BACKEND_SHARE = 0.25;

    /** Idle connections are closed at this share of the time after which a backend closes them. */
    private static final double MAX_IDLE_SHARE = 0.5;

    /** How many times in the longest idle time idle connections are looked through. */
    private static final int SWEEPS_PER_MAX_IDLE_TIME = 8;

    /** How long a connection in quarantine rests, as a share of the connect timeout. */
    private static final double QUARANTINE_SHARE = 1.0 / 16;

    /** The share of its time after which a response of unknown length is streamed. */
    private static final double STREAM_AFTER_SHARE = 0.8;

    /** What a probe calls where backends report their load. */
    private static final String LOAD_REPORT_PATH = "/load";

    /** What a probe calls elsewhere. */
    private static final String HEALTH_PATH = "/healthz";

    private final ProxyConfig config;
    private final MonotonicClock clock;
    private final XnioIoThread ioThread;
    private final BackendConnector connector;
    private final ByteBufferPool bufferPool;
    private final DecisionEvents decisionEvents;
    private final ProxyMetrics metrics;
    private final Predicate<PendingRequest> isClientWaiting;
    private final ConnectionPool.ConnectionBudget budget;
    private final XnioExecutor.Key idleSweep;
    private final Map<Integer, ConnectionPool> poolsByBackend = new HashMap<>();
    private final Map<Attempt, BackendCall> callsByAttempt = new HashMap<>();

    /**
     * A client without connections; it closes idle ones regularly until {@link #stop}.
     *
     * @param isClientWaiting whether the client of a request is there and has no response yet
     */
    public BackendClient(
            ProxyConfig config,
            MonotonicClock clock,
            XnioIoThread ioThread,
            BackendConnector connector,
            ByteBufferPool bufferPool,
            DecisionEvents decisionEvents,
            ProxyMetrics metrics,
            Predicate<PendingRequest> isClientWaiting) {
        this.isClientWaiting = isClientWaiting;
        this.config = config;
        this.clock = clock;
        this.ioThread = ioThread;
        this.connector = connector;
        this.bufferPool = bufferPool;
        this.decisionEvents = decisionEvents;
        this.metrics = metrics;
        budget =
                new ConnectionPool.ConnectionBudget(
                        (int) (BACKEND_CONNECTIONS_SHARE * config.maxConnections()));
        double maxIdleSeconds = MAX_IDLE_SHARE * config.backendIdleSeconds();
        idleSweep =
                ioThread.executeAtInterval(
                        () -> closeIdle(maxIdleSeconds),
                        Durations.toNanos(maxIdleSeconds / SWEEPS_PER_MAX_IDLE_TIME),
                        TimeUnit.NANOSECONDS);
    }

    private void closeIdle(double maxIdleSeconds) {
        poolsByBackend.values().forEach(pool -> pool.closeIdleSince(clock.now() - maxIdleSeconds));
    }

    /** Sends an attempt; the decisions hear of its end once, or of its {@link #cancel}. */
    public void send(Attempt attempt, PendingRequest pending, InetSocketAddress address) {
        try {
            startAttempt(attempt, pending, address);
        } catch (RuntimeException e) {
            // Wide: guards against an attempt that never ends and keeps its request until the
            // deadline.
            LOG.error("attempt at backend {} could not be started", attempt.backend, e);
            reportNotSent(attempt);
        }
    }

    private void startAttempt(Attempt attempt, PendingRequest pending, InetSocketAddress address) {
        StreamedRequestBody streamedBody = pending.streamedBody();
        // The time that passed in the queues is the request's own.
        double responseSeconds =
                streamedBody == null
                        ? attempt.sentAt + attempt.timeoutSeconds - clock.now()
                        : streamedBody.responseTimeoutSeconds();
        if (streamedBody != null && !streamedBody.restart()) {
            reportNotSent(attempt);
            return;
        }
        BackendCall call =
                BackendCall.makeStreaming(
                        poolFor(attempt.backend, address),
                        new RequestWriter.Request(
                                RequestHead.of(pending), pending.body(), streamedBody),
                        MAX_BUFFERED_BYTES,
                        new CallTimeouts(
                                ioThread,
                                clock,
                                config.connectTimeoutSeconds(),
                                responseSeconds,
                                responseSeconds,
                                STREAM_AFTER_SHARE * responseSeconds),
                        () -> isClientWaiting.test(pending),
                        () -> {
                            pending.markAttemptSent();
                            metrics.attemptSent();
                        },
                        response -> attemptEnded(attempt, streamedBody != null, response));
        if (call == null) {
            reportNotSent(attempt);
        } else {
            callsByAttempt.put(attempt, call);
            call.start();
        }
    }

    private void attemptEnded(Attempt attempt, boolean isBodyStreamed, BackendResponse response) {
        BackendCall call = callsByAttempt.remove(attempt);
        // The time that a streamed body took is its client's, not the backend's.
        double startedAt = isBodyStreamed ? call.startedAt() : attempt.sentAt;
        decisionEvents.attemptEnded(
                attempt,
                ResponseOutcome.toAttemptOutcome(response),
                clock.now() - startedAt,
                LoadReportParser.parseHeader(response, config.loadReportFields()),
                response);
    }

    private void reportNotSent(Attempt attempt) {
        decisionEvents.attemptEnded(attempt, AttemptOutcome.NOT_SENT, 0, null, null);
    }

    /** Cancels an attempt that is out, and closes its connection; nothing if it has ended. */
    public void cancel(Attempt attempt) {
        BackendCall call = callsByAttempt.remove(attempt);
        if (call != null) {
            call.abandon();
            decisionEvents.attemptEnded(
                    attempt, AttemptOutcome.CANCELLED, clock.now() - attempt.sentAt, null, null);
        }
    }

    /** Asks a backend for its load report, or where it has none whether it is healthy. */
    public void probe(int backend, InetSocketAddress address) {
        String path = config.loadReportFields().isEmpty() ? HEALTH_PATH : LOAD_REPORT_PATH;
        // A probe may take as long as a connect.
        BackendCall call =
                BackendCall.make(
                        poolFor(backend, address),
                        BackendCall.buildGetRequest(path, "backend"),
                        MAX_BUFFERED_BYTES,
                        config.connectTimeoutSeconds(),
                        config.connectTimeoutSeconds(),
                        response -> probeEnded(backend, response));
        if (call == null) {
            decisionEvents.probeEnded(backend, AttemptOutcome.NOT_SENT, null);
        } else {
            call.start();
        }
    }

    private void probeEnded(int backend, BackendResponse response) {
        String body = new String(response.body(), StandardCharsets.ISO_8859_1);
        decisionEvents.probeEnded(
                backend,
                ResponseOutcome.toAttemptOutcome(response),
                LoadReportParser.parse(body, config.loadReportFields()));
    }

    /** How many attempts are in flight. */
    public int callsInFlight() {
        return callsByAttempt.size();
    }

    /** Sends nothing more to where the backend was; what is in flight there goes on. */
    public void retirePool(int backend) {
        ConnectionPool pool = poolsByBackend.remove(backend);
        if (pool != null) {
            pool.retire();
        }
    }

    /** Only this share of the connections, 0 to 1, is this process's from now on. */
    public void setResourceShare(double share) {
        budget.setMaxConnections(
                (int) (share * BACKEND_CONNECTIONS_SHARE * config.maxConnections()));
    }

    /** Stops looking for idle connections. */
    public void stop() {
        idleSweep.remove();
    }

    private ConnectionPool poolFor(int backend, InetSocketAddress address) {
        ConnectionPool pool = poolsByBackend.get(backend);
        if (pool == null || !pool.address.equals(address)) {
            retirePool(backend);
            pool = newPool(address);
            poolsByBackend.put(backend, pool);
        }
        return pool;
    }

    private ConnectionPool newPool(InetSocketAddress address) {
        return new ConnectionPool(
                address,
                ioThread,
                connector,
                bufferPool,
                clock,
                budget,
                (int) (PER_BACKEND_SHARE * BACKEND_CONNECTIONS_SHARE * config.maxConnections()),
                new ConnectionPool.Quarantine(
                        QUARANTINE_SHARE * config.connectTimeoutSeconds(),
                        config.backendIdleSeconds()));
    }
}
