package lemondrift.lab.fleet;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalInt;
import lemondrift.lab.Experiment;
import lemondrift.lab.simulation.Scheduler;
import lemondrift.model.Idempotency;

/**
 * One try of a client's request: from the pick of a target until the response arrives or the client
 * stops waiting. I/O thread only.
 */
final class ClientTry implements HttpConnection.Listener {
    /**
     * How many targets one try may pick, if each is unreachable or, without proxies, rejects the
     * request.
     */
    private static final int MAX_TARGETS = 5;

    /** Without proxies, the recorder attributes all requests to the first proxy. */
    private static final int FIRST_PROXY = 0;

    private static final byte[] REQUEST_BODY = "what".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NO_BODY = {};
    private static final double MILLIS_PER_SECOND = 1000;

    /** The index of the status code in the head of a response, after "HTTP/1.1 ". */
    private static final int STATUS_START = 9;

    private static final int STATUS_END = 12;

    private final ClientFleet fleet;
    private final TestbedContext context;
    private final OutcomeRecorder recorder;
    private final ClientTargets targets;
    private final ClientConnections connections;
    private final ClientRequest clientRequest;
    private final String traceId;

    private int target;
    private int targetsTried;
    private boolean inFlight;
    private boolean ended;

    /**
     * Whether the request was sent again because its connection was closed while it was being sent.
     */
    private boolean resent;

    /** Null until the request is sent for the first time. */
    private OutcomeRecorder.PendingRequest pending;

    /** Null until the request is sent for the first time. */
    private Scheduler.Entry timeout;

    /**
     * The connection on which the request was last sent; null until it is sent for the first time.
     */
    private HttpConnection connection;

    ClientTry(
            ClientFleet fleet,
            TestbedContext context,
            ClientTargets targets,
            ClientConnections connections,
            ClientRequest clientRequest,
            String traceId) {
        this.fleet = fleet;
        this.context = context;
        this.recorder = context.recorder();
        this.targets = targets;
        this.connections = connections;
        this.clientRequest = clientRequest;
        this.traceId = traceId;
    }

    /** Sends the request on an open connection to a target. */
    void startOn(HttpConnection openConnection, int targetOfConnection) {
        target = targetOfConnection;
        send(openConnection);
    }

    /**
     * Picks a target and sends the request to it. If no target can be picked, the request is
     * retried later or given up.
     */
    void start() {
        OptionalInt picked = targets.pick(fleet::inFlightCount);
        if (picked.isEmpty() || ++targetsTried > MAX_TARGETS) {
            clientRequest.result.unreached++;
            fleet.retryOrGiveUp(clientRequest);
            return;
        }
        target = picked.getAsInt();
        connections.takeMostRecentlyUsed(target).ifPresentOrElse(this::send, this::connect);
    }

    private void connect() {
        connections.open(targets.address(target), this::onConnect);
    }

    private void onConnect(Optional<HttpConnection> newConnection) {
        if (ended) {
            newConnection.ifPresent(HttpConnection::close);
        } else if (newConnection.isPresent()) {
            send(newConnection.get());
        } else if (pending == null) {
            targets.reportUnreachable(target);
            start();
        } else {
            // The request was sent on a connection that was closed, and no other connection could
            // be established.
            endWithoutResponse();
        }
    }

    private void send(HttpConnection openConnection) {
        connections.setListener(openConnection, this);
        connection = openConnection;
        countInFlight();
        if (pending == null) {
            recordFirstSend();
        }
        double secondsLeft = pending.request.deadline - context.scheduler().now();
        connection.write(encodeRequest(Math.round(MILLIS_PER_SECOND * secondsLeft)));
    }

    private void recordFirstSend() {
        pending =
                recorder.recordFirstSend(
                        traceId,
                        targets.areBackends() ? FIRST_PROXY : target,
                        clientRequest.requestClassIndex,
                        clientRequest.workSeconds);
        timeout =
                context.scheduler()
                        .at(
                                pending.request.deadline + OutcomeRecorder.SLACK_SECONDS,
                                this::onTimeout);
    }

    private byte[] encodeRequest(long millisLeft) {
        boolean idempotent = isIdempotent();
        String head =
                (idempotent ? "GET" : "POST")
                        + " /api HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: "
                        + traceId
                        + "\r\nX-Qos: "
                        + Experiment.REQUEST_CLASS_NAMES.get(clientRequest.requestClassIndex)
                        + "\r\nX-Expires-In-Ms: "
                        + millisLeft;
        return HttpConnection.encodeMessage(head, idempotent ? NO_BODY : REQUEST_BODY);
    }

    private boolean isIdempotent() {
        return clientRequest.requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    private void countInFlight() {
        if (!inFlight) {
            inFlight = true;
            fleet.addInFlight(target);
        }
    }

    private void uncountInFlight() {
        if (inFlight) {
            inFlight = false;
            fleet.removeInFlight(target);
        }
    }

    @Override
    public void onMessage(HttpConnection responseConnection, String head, byte[] body) {
        connections.removeListener(responseConnection);
        uncountInFlight();
        keepOrClose(responseConnection, head);
        String status = head.length() < STATUS_END ? "" : head.substring(STATUS_START, STATUS_END);
        boolean rejected = status.equals("503") || status.equals("429");
        if (targets.areBackends() && rejected && targetsTried < MAX_TARGETS) {
            start();
            return;
        }
        recorder.recordResponse(pending, rejected);
        end();
        if (status.equals("200")) {
            recordSuccess();
        } else if (rejected) {
            recordRejection(head);
        } else {
            clientRequest.result.failed++;
            fleet.finish();
        }
    }

    private void keepOrClose(HttpConnection responseConnection, String head) {
        Optional<String> connectionField = HttpConnection.findField(head, "connection");
        if (connectionField.filter("close"::equalsIgnoreCase).isPresent()) {
            responseConnection.close();
        } else {
            connections.addIdle(target, responseConnection);
        }
    }

    private void recordSuccess() {
        double latencySeconds = context.scheduler().now() - clientRequest.dueAt;
        recorder.recordLatency(clientRequest.result, latencySeconds);
        clientRequest.recordSuccess(latencySeconds);
        fleet.finish();
    }

    private void recordRejection(String head) {
        clientRequest.recordRejection(recorder.secondOfRun(context.scheduler().now()));
        double retryAfterSeconds =
                HttpConnection.findField(head, "retry-after").map(Double::parseDouble).orElse(0.0);
        if (retryAfterSeconds > 0) {
            fleet.retryOrGiveUp(clientRequest, retryAfterSeconds);
        } else {
            fleet.retryOrGiveUp(clientRequest);
        }
    }

    @Override
    public void onClosed(HttpConnection closedConnection) {
        connections.removeListener(connection);
        // Guards against resending a request that a killed proxy may already have sent to a
        // backend: its connections were not closed because they were idle.
        boolean closedWhileIdle =
                closedConnection.hasReceivedMessage()
                        && !targets.areBackends()
                        && !recorder.isUnavailable(target);
        if (closedWhileIdle && !resent) {
            resend();
        } else {
            endWithoutResponse();
        }
    }

    /**
     * Sends the request once more: a proxy may close an idle connection while a request is being
     * sent on it.
     */
    private void resend() {
        resent = true;
        if (!targets.isOpen(target)) {
            uncountInFlight();
            target = targets.pick(fleet::inFlightCount).orElse(0);
        }
        connect();
    }

    private void endWithoutResponse() {
        recorder.recordUnanswered(pending);
        end();
        clientRequest.result.unanswered++;
        targets.reportUnreachable(target);
        if (isIdempotent() && recorder.wasProxyUnavailable(pending)) {
            fleet.retryOrGiveUp(clientRequest);
        } else {
            fleet.finish();
        }
    }

    private void onTimeout() {
        connections.removeListener(connection);
        connection.close();
        endWithoutResponse();
    }

    private void end() {
        ended = true;
        uncountInFlight();
        timeout.cancel();
        // An attempt of this request may still be in flight.
        context.scheduler()
                .after(
                        2 * clientRequest.requestClass.timeoutSeconds()
                                + OutcomeRecorder.SLACK_SECONDS,
                        () -> recorder.forget(traceId));
    }
}
