package lemondrift.lab.fleet;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntConsumer;
import lemondrift.lab.simulation.Backend;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import org.xnio.StreamConnection;

/** Answers the requests that arrive on the connections to the backends. I/O thread only. */
final class BackendRequestHandler implements HttpConnection.Listener {
    /**
     * Requests whose trace id starts with this prefix are answered at once and not checked against
     * the rules.
     */
    static final String UNCHECKED_TRACE_ID_PREFIX = "aside-";

    private static final String OK = "200 OK";
    private static final String NO_FIELDS = "";
    private static final byte[] SUCCESS_BODY = "done".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NO_BODY = {};

    /** One connection to a backend. */
    private static final class BackendConnection {
        final HttpConnection httpConnection;
        final int segment;
        final int backend;

        /**
         * The latest attempt received on the connection; null before the first one and after a
         * response.
         */
        Attempt attempt;

        /** The job of that attempt while the backend holds it; null otherwise. */
        Backend.Job job;

        BackendConnection(HttpConnection httpConnection, int segment, int backend) {
            this.httpConnection = httpConnection;
            this.segment = segment;
            this.backend = backend;
        }
    }

    private final TestbedContext context;
    private final OutcomeRecorder recorder;
    private final Backend[] backends;
    private final int maxConnections;
    private final int lastRequestClass;
    private final Map<HttpConnection, BackendConnection> connections = new HashMap<>();
    private IntConsumer overloadListener = backend -> {};

    /**
     * Creates the handler for all backends.
     *
     * @param maxConnections how many connections a backend may hold before it rejects requests; 0
     *     means no limit
     */
    BackendRequestHandler(TestbedContext context, Backend[] backends, int maxConnections) {
        this.context = context;
        this.backends = backends;
        this.maxConnections = maxConnections;
        recorder = context.recorder();
        lastRequestClass = context.scenario().settings().requestClasses().size() - 1;
    }

    void setOverloadListener(IntConsumer listener) {
        overloadListener = listener;
    }

    /** Accepts a connection from a proxy of a segment to a backend. */
    void accept(StreamConnection stream, int segment, int backend) {
        HttpConnection connection = new HttpConnection(stream, this);
        connections.put(connection, new BackendConnection(connection, segment, backend));
    }

    /** Closes all connections to a backend. */
    void closeConnections(int backend) {
        List<HttpConnection> connectionsToBackend =
                connections.values().stream()
                        .filter(each -> each.backend == backend)
                        .map(each -> each.httpConnection)
                        .toList();
        connectionsToBackend.forEach(HttpConnection::close);
        connectionsToBackend.forEach(connections::remove);
    }

    /** Records how many requests a backend holds now and whether it is available. */
    void recordLoad(int backend) {
        recorder.recordBackendLoad(
                backend, backends[backend].heldRequestCount(), backends[backend].isAvailable());
    }

    @Override
    public void onMessage(HttpConnection connection, String head, byte[] body) {
        BackendConnection backendConnection = connections.get(connection);
        if (backendConnection == null) {
            return;
        }
        int segment = backendConnection.segment;
        int backend = backendConnection.backend;
        double now = context.scheduler().now();
        double cutUntil = context.faultPlan().backendCutUntil(segment, backend, now);
        double delaySeconds = context.faultPlan().backendDelaySeconds(segment, backend, now);
        if (cutUntil > now || delaySeconds > 0) {
            context.scheduler()
                    .at(cutUntil + delaySeconds, () -> handleRequest(backendConnection, head));
        } else {
            handleRequest(backendConnection, head);
        }
    }

    private void handleRequest(BackendConnection connection, String head) {
        if (!connection.httpConnection.isOpen()
                || backends[connection.backend].activeSilenceFaults > 0) {
            return;
        }
        Optional<String> traceId = HttpConnection.findField(head, "x-trace-id");
        if (traceId.isEmpty()) {
            answerStatusRequest(connection, head);
            return;
        }
        Optional<OutcomeRecorder.PendingRequest> pending = recorder.pendingRequest(traceId.get());
        if (traceId.get().startsWith(UNCHECKED_TRACE_ID_PREFIX)) {
            respond(connection, OK, NO_FIELDS, SUCCESS_BODY);
        } else if (pending.isEmpty()) {
            respond(connection, "400 Unknown", NO_FIELDS, NO_BODY);
        } else {
            handleAttempt(connection, pending.get());
        }
    }

    private void answerStatusRequest(BackendConnection connection, String head) {
        String path = head.substring(head.indexOf(' ') + 1);
        if (path.startsWith("/load")) {
            byte[] report = loadReport(connection.backend).getBytes(StandardCharsets.US_ASCII);
            respond(connection, OK, NO_FIELDS, report);
        } else if (path.startsWith("/healthz")) {
            respond(connection, OK, NO_FIELDS, NO_BODY);
        } else {
            respond(connection, "404 Not Found", NO_FIELDS, NO_BODY);
        }
    }

    private void handleAttempt(
            BackendConnection connection, OutcomeRecorder.PendingRequest pending) {
        Backend backend = backends[connection.backend];
        connection.attempt = recorder.recordAttempt(pending, connection.backend);
        boolean failing = context.random().nextDouble() < errorProbability(backend, pending);
        if (backend.addWorkAndCheckOverload(pending.workSeconds)) {
            recorder.result().overloadedColdBackends++;
            recorder.recordAttemptEnd(connection.attempt, AttemptOutcome.RESET);
            overloadListener.accept(connection.backend);
        } else if (backend.isFull() || hasTooManyConnections(connection.backend)) {
            endAttempt(connection, AttemptOutcome.OVERLOADED, "503 Full", "\r\nX-Never-Ran: 1");
        } else if (failing) {
            endAttempt(connection, AttemptOutcome.ERROR, "500 Error", NO_FIELDS);
        } else {
            connection.job =
                    backend.submit(
                            pending.workSeconds, completed -> finishJob(connection, completed));
            recordLoad(connection.backend);
        }
    }

    private double errorProbability(Backend backend, OutcomeRecorder.PendingRequest pending) {
        boolean isLastClass = pending.request.requestClassIndex == lastRequestClass;
        return Math.max(
                backend.faultErrorShare, isLastClass ? backend.lastClassFaultErrorShare : 0);
    }

    private boolean hasTooManyConnections(int backend) {
        return maxConnections > 0
                && connections.values().stream().filter(each -> each.backend == backend).count()
                        > maxConnections;
    }

    private void finishJob(BackendConnection connection, boolean completed) {
        connection.job = null;
        recordLoad(connection.backend);
        if (completed) {
            endAttempt(connection, AttemptOutcome.SUCCESS, OK, NO_FIELDS);
        } else {
            recorder.recordAttemptEnd(connection.attempt, AttemptOutcome.RESET);
        }
    }

    private void endAttempt(
            BackendConnection connection, AttemptOutcome outcome, String status, String fields) {
        recorder.recordAttemptEnd(connection.attempt, outcome);
        connection.attempt = null;
        byte[] body = outcome == AttemptOutcome.SUCCESS ? SUCCESS_BODY : NO_BODY;
        respond(connection, status, fields, body);
    }

    private void respond(BackendConnection connection, String status, String fields, byte[] body) {
        byte[] message =
                HttpConnection.encodeMessage(
                        "HTTP/1.1 "
                                + status
                                + "\r\nEndpoint-Load-Metrics: TEXT "
                                + loadReport(connection.backend)
                                + fields,
                        body);
        double now = context.scheduler().now();
        double cutUntil =
                context.faultPlan().backendCutUntil(connection.segment, connection.backend, now);
        if (cutUntil > now) {
            context.scheduler().at(cutUntil, () -> connection.httpConnection.write(message));
        } else {
            connection.httpConnection.write(message);
        }
    }

    private String loadReport(int backend) {
        return String.format(
                Locale.ROOT,
                "util=%.3f, queue=%d",
                backends[backend].utilization(),
                backends[backend].queuedRequestCount());
    }

    @Override
    public void onClosed(HttpConnection connection) {
        BackendConnection closed = connections.remove(connection);
        if (closed != null && closed.job != null) {
            // The other side no longer waits: queued work is dropped, running work is finished.
            backends[closed.backend].drop(closed.job);
            recorder.recordAttemptEnd(closed.attempt, AttemptOutcome.CANCELLED);
            recordLoad(closed.backend);
        }
    }

    /** Closes all connections. */
    void close() {
        connections.keySet().forEach(HttpConnection::close);
        connections.clear();
    }
}
