package lemondrift.proxy.events;

import io.undertow.server.HttpServerExchange;
import lemondrift.model.Request;

/**
 * A request with its client's side, which the balancer never sees.
 *
 * @param body the whole body; empty where it is streamed
 * @param streamedBody the body where it is too long to be buffered whole, else null
 */
public record PendingRequest(
        Request request,
        HttpServerExchange exchange,
        byte[] body,
        StreamedRequestBody streamedBody) {}
