package lemondrift.proxy.events;

import io.undertow.server.HttpServerExchange;
import lemondrift.model.Request;

/** A request with its HTTP exchange and body, which the balancer never sees. */
public final class PendingRequest {
    private final Request request;
    private final HttpServerExchange exchange;
    private final byte[] body;
    private final StreamedRequestBody streamedBody;

    /** Whether the last byte of an attempt was handed to the kernel. I/O thread only. */
    private boolean attemptSent;

    /**
     * Creates a pending request of which nothing has been sent to a backend.
     *
     * @param body the whole body; empty if it is streamed
     * @param streamedBody the body if it is too long to be buffered completely, else null
     */
    public PendingRequest(
            Request request,
            HttpServerExchange exchange,
            byte[] body,
            StreamedRequestBody streamedBody) {
        this.request = request;
        this.exchange = exchange;
        this.body = body;
        this.streamedBody = streamedBody;
    }

    public Request request() {
        return request;
    }

    public HttpServerExchange exchange() {
        return exchange;
    }

    /** Returns the whole body; empty if it is streamed. */
    public byte[] body() {
        return body;
    }

    /** Returns the body if it is too long to be buffered completely, else null. */
    public StreamedRequestBody streamedBody() {
        return streamedBody;
    }

    /** Records that the last byte of an attempt was handed to the kernel. I/O thread only. */
    public void markAttemptSent() {
        attemptSent = true;
    }

    /**
     * Returns whether a backend may have executed the request. A backend can execute it only after
     * receiving its last byte. I/O thread only.
     */
    public boolean mayHaveBeenExecuted() {
        return attemptSent;
    }
}
