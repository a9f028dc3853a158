package lemondrift.proxy.client;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lemondrift.metrics.ProxyMetrics;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.events.PendingRequest;
import lemondrift.proxy.http.BodyRelay;
import lemondrift.proxy.http.ProxyHeaders;
import lemondrift.proxy.logging.FailureLog;
import lemondrift.proxy.time.MonotonicClock;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/** Writes responses of backends and of the proxy itself to clients, and counts them. */
final class ResponseWriter {
    /** The Retry-After in seconds of a rejection that sends none. */
    private static final double NO_RETRY_AFTER = 0;

    private static final HttpString KEEP_ALIVE = new HttpString("Keep-Alive");

    private final XnioIoThread ioThread;
    private final MonotonicClock clock;
    private final ProxyMetrics metrics;
    private final FailureLog failureLog;
    private final double backendStallTimeoutSeconds;
    private volatile boolean draining;

    ResponseWriter(
            XnioIoThread ioThread,
            MonotonicClock clock,
            ProxyMetrics metrics,
            double backendStallTimeoutSeconds) {
        this.ioThread = ioThread;
        this.clock = clock;
        this.metrics = metrics;
        failureLog = new FailureLog(metrics);
        this.backendStallTimeoutSeconds = backendStallTimeoutSeconds;
    }

    /**
     * Starts or ends a drain, in which each response closes its connection and health checks fail.
     * May be called from any thread.
     */
    void setDraining(boolean isDraining) {
        draining = isDraining;
    }

    boolean isDraining() {
        return draining;
    }

    /** Answers a health check: 200, or 503 during a drain. */
    void writeHealth(HttpServerExchange exchange) {
        writeEmpty(exchange, draining ? StatusCodes.SERVICE_UNAVAILABLE : BackendResponse.OK);
    }

    /**
     * Refuses a request with a 4xx status and closes its connection. The request need not have
     * arrived completely. The response has a body: guards against a delay, as Undertow holds an
     * empty response back until the whole request has arrived.
     */
    void refuseAndClose(HttpServerExchange exchange, int status, RefusalReason reason) {
        exchange.setPersistent(false);
        logRefused(exchange, status, reason);
        writeReason(
                exchange,
                status,
                sent -> {
                    if (sent.isRequestComplete()) {
                        sent.endExchange();
                    } else {
                        closeAfterPause(sent);
                    }
                });
    }

    /** Refuses a complete but invalid request with 400, and pauses reading from its connection. */
    void refuseAndPause(HttpServerExchange exchange, RefusalReason reason) {
        logRefused(exchange, StatusCodes.BAD_REQUEST, reason);
        writeReason(
                exchange, StatusCodes.BAD_REQUEST, sent -> afterReadPause(sent, sent::endExchange));
    }

    private void logRefused(HttpServerExchange exchange, int status, RefusalReason reason) {
        failureLog.logRefused(
                status, reason.name(), RequestValidator.requestIdOf(exchange), clock.now());
    }

    private void closeAfterPause(HttpServerExchange exchange) {
        afterReadPause(exchange, () -> IoUtils.safeClose(ClientConnection.socketOf(exchange)));
    }

    private void afterReadPause(HttpServerExchange exchange, Runnable task) {
        double seconds = ClientConnection.of(exchange).startReadPause();
        ioThread.executeAfter(task, (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    /** Writes a status with its reason phrase as the body, and counts it once it is sent. */
    private void writeReason(
            HttpServerExchange exchange, int status, Consumer<HttpServerExchange> whenSent) {
        if (isClientError(status)) {
            ClientConnection.of(exchange).requestInvalid();
        }
        write(
                exchange,
                status,
                StatusCodes.getReason(status).getBytes(StandardCharsets.US_ASCII),
                new IoCallback() {
                    @Override
                    public void onComplete(HttpServerExchange sent, Sender sender) {
                        count(sent);
                        whenSent.accept(sent);
                    }

                    @Override
                    public void onException(
                            HttpServerExchange failed, Sender sender, IOException e) {
                        IoUtils.safeClose(ClientConnection.socketOf(failed));
                    }
                });
    }

    /** Counts a completed response, unless it was counted when it was sent. */
    void count(HttpServerExchange exchange) {
        count(exchange, replyFor(exchange.getStatusCode()));
    }

    private void count(HttpServerExchange exchange, ProxyMetrics.Reply reply) {
        if (ClientConnection.of(exchange).countReplyOnce()) {
            metrics.replySent(RequestValidator.requestClassOf(exchange), reply);
        }
    }

    private static boolean isClientError(int status) {
        return status / 100 == 4;
    }

    private static ProxyMetrics.Reply replyFor(int status) {
        return switch (status) {
            case BackendResponse.OK -> ProxyMetrics.Reply.SUCCESS;
            case StatusCodes.SERVICE_UNAVAILABLE -> ProxyMetrics.Reply.OVERLOAD;
            default -> ProxyMetrics.Reply.ERROR;
        };
    }

    /**
     * Answers a request that no backend serves with 503, which promises that a retry is harmless.
     * Does nothing if a response has been started or the client has closed.
     *
     * @param retryAfterSeconds the value of Retry-After in seconds, rounded up to milliseconds; 0
     *     to send none
     */
    void reject(PendingRequest pending, double retryAfterSeconds) {
        if (!ClientCloseWatch.isUnanswered(pending)) {
            return;
        }
        logNotServed(pending, true);
        if (retryAfterSeconds > NO_RETRY_AFTER) {
            double wholeMillis = Math.ceil(retryAfterSeconds * 1000);
            pending.exchange()
                    .getResponseHeaders()
                    .put(Headers.RETRY_AFTER, String.valueOf(wholeMillis / 1000));
        }
        writeNotServed(pending.exchange(), StatusCodes.SERVICE_UNAVAILABLE);
    }

    /**
     * Answers a request that no backend serves with 502, which promises nothing about a retry. Does
     * nothing if a response has been started or the client has closed.
     */
    void fail(PendingRequest pending) {
        if (!ClientCloseWatch.isUnanswered(pending)) {
            return;
        }
        logNotServed(pending, false);
        writeNotServed(pending.exchange(), StatusCodes.BAD_GATEWAY);
    }

    private void logNotServed(PendingRequest pending, boolean rejected) {
        failureLog.logNotServed(
                pending.request(),
                RequestValidator.requestIdOf(pending.exchange()),
                RequestValidator.requestClassOf(pending.exchange()),
                rejected,
                clock.now());
    }

    private void writeNotServed(HttpServerExchange exchange, int status) {
        ClientConnection.of(exchange).stopBody();
        if (exchange.isRequestComplete()) {
            writeEmpty(exchange, status);
        } else {
            // Undertow would hold an empty response back until the whole request has arrived.
            exchange.setPersistent(false);
            writeReason(exchange, status, ResponseWriter::discardBody);
        }
    }

    /**
     * Reads and drops the rest of a request, then closes its connection. Guards against a reset
     * that destroys the response: the kernel sends one if a connection closes with unread bytes.
     */
    private static void discardBody(HttpServerExchange exchange) {
        ClientConnection.of(exchange).discardBody(exchange::endExchange);
    }

    /** Forwards a backend's response to the client. */
    void deliver(PendingRequest pending, BackendResponse response) {
        HttpServerExchange exchange = pending.exchange();
        ClientConnection.of(exchange)
                .requestServed(pending.request().terms.requestClass().priorityWeight());
        ProxyHeaders.copyEndToEnd(response.headers(), exchange.getResponseHeaders());
        if (response.remainder() == null) {
            write(exchange, BackendResponse.OK, response.body(), IoCallback.END_EXCHANGE);
        } else {
            relay(exchange, response);
        }
    }

    /** Forwards a long response as it arrives. */
    private void relay(HttpServerExchange exchange, BackendResponse response) {
        ClientConnection connection = ClientConnection.of(exchange);
        if (!startResponse(exchange, BackendResponse.OK)) {
            response.remainder().abandonResponse();
            return;
        }
        frame(exchange, response.remainder().declaredLength());
        BodyRelay relay =
                new BodyRelay(
                        new LongResponseBody(response),
                        exchange.getResponseChannel(),
                        ioThread,
                        clock::now,
                        new BodyRelay.StallTimeouts(backendStallTimeoutSeconds, 0),
                        connection::responseBytesAvailable,
                        complete -> {
                            connection.stopRelay = null;
                            relayEnded(exchange, response, complete);
                        });
        connection.stopRelay =
                () -> {
                    relay.stop();
                    response.remainder().abandonResponse();
                };
        relay.run();
    }

    /**
     * Chooses how the client is told where a long response ends. The end of the connection alone
     * must not tell it, as a response that breaks off ends its connection, too.
     *
     * @param declaredBytes the length of the body; negative if it is not known
     */
    private static void frame(HttpServerExchange exchange, int declaredBytes) {
        if (declaredBytes >= 0) {
            exchange.setResponseContentLength(declaredBytes);
        } else if (exchange.isHttp11()) {
            // Undertow does so by itself only where the connection stays open.
            exchange.getResponseHeaders()
                    .put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        } else {
            ClientConnection.of(exchange).resetUnlessResponseSent();
        }
    }

    private void relayEnded(
            HttpServerExchange exchange, BackendResponse response, boolean complete) {
        if (complete) {
            response.remainder().relayCompleted();
            exchange.endExchange();
        } else {
            // The client detects that the body is incomplete: bytes of its length or the last
            // chunk are missing, or the connection is reset.
            response.remainder().abandonResponse();
            count(exchange, ProxyMetrics.Reply.ERROR);
            IoUtils.safeClose(ClientConnection.socketOf(exchange));
        }
    }

    private void writeEmpty(HttpServerExchange exchange, int status) {
        write(exchange, status, new byte[0], IoCallback.END_EXCHANGE);
    }

    private void write(HttpServerExchange exchange, int status, byte[] body, IoCallback whenSent) {
        if (!startResponse(exchange, status)) {
            return;
        }
        exchange.setResponseContentLength(body.length);
        if (body.length == 0) {
            exchange.endExchange();
        } else {
            exchange.getResponseSender().send(ByteBuffer.wrap(body), whenSent);
        }
    }

    /**
     * Prepares the head of a response. Returns false if a response has been started already or the
     * connection is closed.
     */
    private boolean startResponse(HttpServerExchange exchange, int status) {
        ClientConnection connection = ClientConnection.of(exchange);
        if (exchange.isResponseStarted()
                || exchange.isComplete()
                || !ClientConnection.socketOf(exchange).isOpen()) {
            return false;
        }
        if (!connection.responseReady() || draining) {
            exchange.setPersistent(false);
        } else if (connection.announcedKeepAliveSeconds() > 0) {
            exchange.getResponseHeaders()
                    .put(KEEP_ALIVE, "timeout=" + connection.announcedKeepAliveSeconds());
        }
        exchange.setStatusCode(status);
        return true;
    }
}
