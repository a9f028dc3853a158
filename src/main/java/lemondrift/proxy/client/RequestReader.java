package lemondrift.proxy.client;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import lemondrift.buffer.BodyBufferBudget;
import lemondrift.model.Request;
import lemondrift.proxy.events.DecisionEvents;
import lemondrift.proxy.events.PendingRequest;
import org.xnio.IoUtils;

/**
 * Reads requests and offers them for admission: with the complete body if the buffer budget allows
 * it, otherwise as soon as the body exceeds the budget. Refuses:
 *
 * <ul>
 *   <li>with 400, and closes the connection: ambiguous framing, an unreadable body, and a streamed
 *       request with an invalid field or the id of another open request;
 *   <li>with 400, and pauses reading from the connection: a buffered request with an invalid field
 *       or the id of another open request;
 *   <li>with 413, and closes the connection: a body longer than {@link #MAX_BODY_BYTES}.
 * </ul>
 *
 * <p>I/O thread only.
 */
final class RequestReader {
    /** The length of the longest body that is accepted. */
    private static final long MAX_BODY_BYTES = 40 << 20;

    private static final String HEALTH_CHECK_PATH = "/healthz";

    private final ClientConnections connections;
    private final RequestValidator validator;
    private final RequestAdmission admission;
    private final ResponseWriter responseWriter;
    private final BodyBufferBudget bufferBudget;
    private final ByteBufferPool bufferPool;
    private final double backendStallTimeoutSeconds;
    private final DecisionEvents decisionEvents;
    private final PipelinePacer pipelinePacer;

    RequestReader(
            ClientConnections connections,
            RequestValidator validator,
            RequestAdmission admission,
            ResponseWriter responseWriter,
            BodyBufferBudget bufferBudget,
            ByteBufferPool bufferPool,
            double backendStallTimeoutSeconds,
            DecisionEvents decisionEvents,
            PipelinePacer pipelinePacer) {
        this.connections = connections;
        this.validator = validator;
        this.admission = admission;
        this.responseWriter = responseWriter;
        this.bufferBudget = bufferBudget;
        this.bufferPool = bufferPool;
        this.backendStallTimeoutSeconds = backendStallTimeoutSeconds;
        this.decisionEvents = decisionEvents;
        this.pipelinePacer = pipelinePacer;
    }

    /** Handles a request whose head Undertow has read. */
    void handle(HttpServerExchange exchange) {
        ClientConnection connection = connections.find(ClientConnection.socketOf(exchange));
        if (connection == null) {
            // Guards against serving a head that Undertow read before its connection was closed.
            IoUtils.safeClose(ClientConnection.socketOf(exchange));
            return;
        }
        connection.headRead();
        connection.attachTo(exchange);
        exchange.addExchangeCompleteListener(
                (completed, next) -> {
                    exchangeCompleted(completed, connection);
                    boolean lingers = ClientCloseWatch.stopOrLinger(completed);
                    if (!lingers && ClientCloseWatch.hasBytesAhead(completed)) {
                        pipelinePacer.begin(next::proceed);
                    } else if (!lingers) {
                        next.proceed();
                    }
                });
        if (isHealthCheck(exchange)) {
            responseWriter.writeHealth(exchange);
        } else if (!RequestValidator.isUnambiguous(exchange)) {
            responseWriter.refuseAndClose(
                    exchange, StatusCodes.BAD_REQUEST, RefusalReason.AMBIGUOUS_FRAMING);
        } else if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
            responseWriter.refuseAndClose(
                    exchange, StatusCodes.REQUEST_ENTITY_TOO_LARGE, RefusalReason.BODY_TOO_LONG);
        } else if (exchange.isRequestComplete()) {
            dispatchBuffered(exchange, new byte[0]);
        } else {
            readBody(exchange, connection);
        }
    }

    private static boolean isHealthCheck(HttpServerExchange exchange) {
        return exchange.getRequestPath().equals(HEALTH_CHECK_PATH)
                && !exchange.getRequestHeaders().contains(RequestValidator.REQUEST_ID);
    }

    /**
     * Counts the response of a completed exchange and closes its request. Guards against counting
     * an exchange whose connection was closed midway: Undertow completes it too, before it reports
     * the close.
     */
    private void exchangeCompleted(HttpServerExchange exchange, ClientConnection connection) {
        if (ClientConnection.socketOf(exchange).isOpen()) {
            responseWriter.count(exchange);
            connection.responseSent();
        }
    }

    private void readBody(HttpServerExchange exchange, ClientConnection connection) {
        connection.body =
                new RequestBody(
                        exchange,
                        bufferBudget,
                        bufferPool,
                        MAX_BODY_BYTES,
                        backendStallTimeoutSeconds,
                        connections.uploadDeadline(connection, exchange.getRequestContentLength()),
                        bodyListener(exchange, connection));
        connection.body.readIntoBuffer();
    }

    private RequestBody.Listener bodyListener(
            HttpServerExchange exchange, ClientConnection connection) {
        return new RequestBody.Listener() {
            @Override
            public void buffered(byte[] body) {
                dispatchBuffered(exchange, body);
            }

            @Override
            public void streamed(RequestBody body) {
                exchange.dispatch(SameThreadExecutor.INSTANCE, () -> offerStreamed(exchange, body));
            }

            @Override
            public void readPaused() {
                connection.bodyReadPaused();
            }

            @Override
            public void readResumed() {
                connection.bodyReadResumed();
            }

            @Override
            public void streamComplete() {
                connection.requestRead();
                ClientCloseWatch.start(exchange);
                // Guards against executing a request whose client closed after its last byte, while
                // the rest of the body waited unread for a backend.
                ClientCloseWatch.checkNow(exchange);
            }

            @Override
            public void notReplayable() {
                decisionEvents.bodyNotReplayable(connection.request);
            }

            @Override
            public void tooLong() {
                responseWriter.refuseAndClose(
                        exchange,
                        StatusCodes.REQUEST_ENTITY_TOO_LARGE,
                        RefusalReason.BODY_TOO_LONG);
            }

            @Override
            public void unreadable() {
                if (connection.request == null) {
                    responseWriter.refuseAndClose(
                            exchange, StatusCodes.BAD_REQUEST, RefusalReason.UNREADABLE_BODY);
                } else {
                    IoUtils.safeClose(ClientConnection.socketOf(exchange));
                }
            }
        };
    }

    private void dispatchBuffered(HttpServerExchange exchange, byte[] body) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> offerBuffered(exchange, body));
    }

    private void offerBuffered(HttpServerExchange exchange, byte[] body) {
        Request request = openRequest(exchange);
        if (request == null) {
            responseWriter.refuseAndPause(exchange, RefusalReason.BAD_FIELD_OR_OPEN_ID);
            return;
        }
        ClientConnection connection = ClientConnection.of(exchange);
        connection.requestRead();
        ClientCloseWatch.start(exchange);
        if (connections.wasProcessPaused()) {
            // Guards against a request whose client closed while the process was paused.
            ClientCloseWatch.checkNow(exchange);
        }
        PendingRequest pending = new PendingRequest(request, exchange, body, null);
        connection.endOverdue = () -> admission.endOverdue(pending);
        connection.mayHaveBeenExecuted = pending::mayHaveBeenExecuted;
        admission.offer(pending);
    }

    /**
     * Offers a request whose body is streamed. It is decided now, and its deadline is the latest
     * possible, so that its client may take as long as it needs to send the body. The time for the
     * response is limited separately: for the backend from the last byte of the body on, and for
     * the client by {@link UploadDeadline}.
     */
    private void offerStreamed(HttpServerExchange exchange, RequestBody body) {
        Request parsedRequest = openRequest(exchange);
        if (parsedRequest == null) {
            responseWriter.refuseAndClose(
                    exchange, StatusCodes.BAD_REQUEST, RefusalReason.BAD_FIELD_OR_OPEN_ID);
            return;
        }
        double clientTimeoutSeconds = parsedRequest.deadline - parsedRequest.arrivedAt;
        body.setResponseTimeoutSeconds(
                Math.min(
                        clientTimeoutSeconds,
                        parsedRequest.terms.requestClass().latencyObjectiveSeconds()));
        double timeoutSeconds = RequestValidator.MAX_TIMEOUT_MILLIS / 1e3;
        Request request =
                new Request(
                        parsedRequest.id,
                        parsedRequest.requestClassIndex,
                        parsedRequest.tenant,
                        parsedRequest.arrivedAt,
                        timeoutSeconds,
                        parsedRequest.markedRetry);
        request.terms = parsedRequest.terms.withTimeout(timeoutSeconds);
        ClientConnection.of(exchange).request = request;
        PendingRequest pending = new PendingRequest(request, exchange, new byte[0], body);
        ClientConnection.of(exchange).mayHaveBeenExecuted = pending::mayHaveBeenExecuted;
        body.startDeadline(clientTimeoutSeconds, () -> admission.endOverdue(pending));
        admission.offer(pending);
    }

    /** Opens a request; returns null if a field is invalid or its id is in use. */
    private Request openRequest(HttpServerExchange exchange) {
        Request request = validator.parse(exchange.getRequestHeaders());
        boolean opened =
                request != null
                        && ClientConnection.of(exchange)
                                .openRequest(RequestValidator.requestIdOf(exchange), request);
        return opened ? request : null;
    }
}
