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
import lemondrift.proxy.health.TaskMonitor;
import lemondrift.proxy.health.TaskMonitor.Task;
import lemondrift.proxy.time.Durations;
import lemondrift.proxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Sends attempts and probes to backends over a bounded connection pool for each backend, and
 * reports their outcomes to {@link DecisionEvents}. I/O thread only.
 */
public final class BackendClient {
    private static final Logger LOG = LoggerFactory.getLogger(BackendClient.class);

    /** The maximum length of a buffered response body; a longer one is streamed, or an error. */
    private static final int MAX_BUFFERED_BYTES = 64 * 1024;

    /** The share of the proxy's connections that may be open to backends. */
    private static final double BACKEND_CONNECTIONS_SHARE = 0.33;

    /** The share of the connections to backends that may be open to one backend. */
    private static final double PER_BACKEND_SHARE = 0.25;

    /** The idle time after which connections are closed, as a share of a backend's idle timeout. */
    private static final double MAX_IDLE_SHARE = 0.5;

    /** How many times idle connections are checked in the maximum idle time. */
    private static final int SWEEPS_PER_MAX_IDLE_TIME = 8;

    /** How long the quarantine of a connection lasts, as a share of the connect timeout. */
    private static final double QUARANTINE_SHARE = 1.0 / 16;

    /** The share of the response timeout after which a response of unknown length is streamed. */
    private static final double STREAM_AFTER_SHARE = 0.8;

    /** The path that a probe requests if backends report their load. */
    private static final String LOAD_REPORT_PATH = "/load";

    /** The path that a probe requests if backends don't report their load. */
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
     * Creates a client without connections; it closes idle connections regularly until {@link
     * #stop}.
     *
     * @param isClientWaiting returns whether the client of a request still waits for the response
     */
    public BackendClient(
            ProxyConfig config,
            MonotonicClock clock,
            XnioIoThread ioThread,
            BackendConnector connector,
            ByteBufferPool bufferPool,
            DecisionEvents decisionEvents,
            ProxyMetrics metrics,
            TaskMonitor tasks,
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
                        tasks.monitored(
                                Task.BACKEND_CONNECTION_SWEEP, () -> closeIdle(maxIdleSeconds)),
                        Durations.toNanos(maxIdleSeconds / SWEEPS_PER_MAX_IDLE_TIME),
                        TimeUnit.NANOSECONDS);
    }

    private void closeIdle(double maxIdleSeconds) {
        poolsByBackend.values().forEach(pool -> pool.closeIdleSince(clock.now() - maxIdleSeconds));
    }

    /** Sends an attempt; its end, or its {@link #cancel}, is reported exactly once. */
    public void send(Attempt attempt, PendingRequest pending, InetSocketAddress address) {
        try {
            startAttempt(attempt, pending, address);
        } catch (RuntimeException e) {
            // Catches every exception: guards against an attempt that never ends and keeps its
            // request open until the deadline.
            LOG.error("attempt at backend {} could not be started", attempt.backend, e);
            reportNotSent(attempt);
        }
    }

    private void startAttempt(Attempt attempt, PendingRequest pending, InetSocketAddress address) {
        StreamedRequestBody streamedBody = pending.streamedBody();
        // The time that passed in queues counts as part of the attempt's timeout.
        double responseSeconds =
                streamedBody == null
                        ? attempt.sentAt + attempt.timeoutSeconds - clock.now()
                        : streamedBody.responseTimeoutSeconds();
        if (streamedBody != null && !streamedBody.restart()) {
            reportNotSent(attempt);
            return;
        }
        BackendCall call =
                BackendCall.createStreaming(
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
                        () -> clock.now() < attempt.sendBefore && isClientWaiting.test(pending),
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
        // The time that a streamed body took depends on its client, not on the backend.
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

    /** Cancels an attempt and closes its connection; does nothing if the attempt has ended. */
    public void cancel(Attempt attempt) {
        BackendCall call = callsByAttempt.remove(attempt);
        if (call != null) {
            call.abandon();
            decisionEvents.attemptEnded(
                    attempt, AttemptOutcome.CANCELLED, clock.now() - attempt.sentAt, null, null);
        }
    }

    /** Requests a backend's load report, or its health if backends report no load. */
    public void probe(int backend, InetSocketAddress address) {
        String path = config.loadReportFields().isEmpty() ? HEALTH_PATH : LOAD_REPORT_PATH;
        // The connect timeout also applies to the entire probe.
        BackendCall call =
                BackendCall.create(
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

    /** Returns how many attempts are in flight. */
    public int callsInFlight() {
        return callsByAttempt.size();
    }

    /** Stops using the backend's connections; calls that are in flight on them continue. */
    public void retirePool(int backend) {
        ConnectionPool pool = poolsByBackend.remove(backend);
        if (pool != null) {
            pool.retire();
        }
    }

    /** Limits this process to a share, 0 to 1, of the proxy's connections to backends. */
    public void setResourceShare(double share) {
        budget.setMaxConnections(
                (int) (share * BACKEND_CONNECTIONS_SHARE * config.maxConnections()));
    }

    /** Closes idle connections now, and the others when their calls or streamed responses end. */
    public void stop() {
        idleSweep.remove();
        poolsByBackend.values().forEach(ConnectionPool::retire);
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
