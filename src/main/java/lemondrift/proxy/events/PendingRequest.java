package lemondrift.proxy.events;

import io.undertow.server.HttpServerExchange;
import lemondrift.model.Request;

/** A request with its client's side, which the balancer never sees. */
public final class PendingRequest {
    private final Request request;
    private final HttpServerExchange exchange;
    private final byte[] body;
    private final StreamedRequestBody streamedBody;

    /** I/O thread only. */
    private boolean attemptSent;

    /**
     * One of which nothing has been sent to a backend.
     *
     * @param body the whole body; empty where it is streamed
     * @param streamedBody the body where it is too long to be buffered whole, else null
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

    /** The whole body; empty where it is streamed. */
    public byte[] body() {
        return body;
    }

    /** The body where it is too long to be buffered whole, else null. */
    public StreamedRequestBody streamedBody() {
        return streamedBody;
    }

    /** The last byte of an attempt is with the kernel. I/O thread only. */
    public void markAttemptSent() {
        attemptSent = true;
    }

    /**
     * Whether a backend may have executed the request, as one can only from its last byte on. I/O
     * thread only.
     */
    public boolean mayHaveBeenExecuted() {
        return attemptSent;
    }
}
