package lemondrift.lab.fleet;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalInt;
import lemondrift.lab.Experiment;
import lemondrift.lab.simulation.Scheduler;
import lemondrift.model.Idempotency;

/**
 * One try of a client's request: from the pick of a target to the response, or until the client
 * stops waiting. I/O thread only.
 */
final class ClientTry implements HttpConnection.Listener {
    /** How many targets one try may pick, where each is unreachable. */
    private static final int MAX_TARGETS = 5;

    /** Without proxies the recorder counts all requests with the first. */
    private static final int FIRST_PROXY = 0;

    private static final byte[] REQUEST_BODY = "what".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] NO_BODY = {};
    private static final double MILLIS_PER_SECOND = 1000;

    /** Where "HTTP/1.1 " ends and the status begins in the head of a response. */
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

    /** Whether it was sent again because its connection was closed as it was sent. */
    private boolean resent;

    /** Null until it is sent for the first time. */
    private OutcomeRecorder.PendingRequest pending;

    /** Null until it is sent for the first time. */
    private Scheduler.Entry timeout;

    /** The connection on which it was sent last; null until it is sent for the first time. */
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

    /** Sends it on a connection that is open. */
    void startOn(HttpConnection openConnection, int targetOfConnection) {
        target = targetOfConnection;
        send(openConnection);
    }

    /** Picks a target and sends it there. */
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
            // It was sent as its connection was closed, and there is no other one to the target.
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
        // Guards against repeating what a killed proxy may have had executed: its connections were
        // not closed as idle ones.
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

    /** Sends it once more: an idle connection may be closed just as a request is sent on it. */
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
        // An attempt may still be in flight for it.
        context.scheduler()
                .after(
                        2 * clientRequest.requestClass.timeoutSeconds()
                                + OutcomeRecorder.SLACK_SECONDS,
                        () -> recorder.forget(traceId));
    }
}
