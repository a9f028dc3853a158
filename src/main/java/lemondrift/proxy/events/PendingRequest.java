package lemondrift.proxy.events;

import io.undertow.server.HttpServerExchange;
import lemondrift.model.Request;

/**
 * An exchange with its client's side: the request as it came, which the decisions never see. The
 * upload is null where all of the body is here.
 */
public record PendingRequest(
        Request request,
        HttpServerExchange exchange,
        byte[] body,
        StreamedRequestBody streamedBody) {}
