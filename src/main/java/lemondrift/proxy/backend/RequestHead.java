package lemondrift.proxy.backend;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Methods;
import java.nio.charset.StandardCharsets;
import lemondrift.proxy.events.PendingRequest;
import lemondrift.proxy.events.StreamedRequestBody;
import lemondrift.proxy.http.ProxyHeaders;

/** Encodes the head of a request only when it is written, as the head states the time left. */
interface RequestHead {
    /**
     * Encodes the head.
     *
     * @param secondsLeft the time left for the response
     */
    byte[] encode(double secondsLeft);

    /**
     * Returns the head of a client's request, unchanged except for the fields that belong to one
     * connection and the time for the response. If the body is streamed, that time counts from the
     * end of the body.
     */
    static RequestHead of(PendingRequest pending) {
        StreamedRequestBody streamedBody = pending.streamedBody();
        return streamedBody == null
                ? secondsLeft -> encode(pending, secondsLeft)
                : secondsLeft -> encode(pending, streamedBody.responseTimeoutSeconds());
    }

    private static byte[] encode(PendingRequest pending, double secondsLeft) {
        HttpServerExchange exchange = pending.exchange();
        String query = exchange.getQueryString();
        StringBuilder head =
                new StringBuilder(256)
                        .append(exchange.getRequestMethod())
                        .append(' ')
                        .append(exchange.getRequestURI())
                        .append(query.isEmpty() ? "" : "?")
                        .append(query)
                        .append(" HTTP/1.1\r\n");
        appendEndToEndFields(head, exchange);
        long millisLeft = Math.max(1, Math.round(secondsLeft * 1000));
        head.append(ProxyHeaders.TIMEOUT).append(": ").append(millisLeft).append("\r\n");
        appendFraming(head, pending);
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void appendEndToEndFields(StringBuilder head, HttpServerExchange exchange) {
        for (HeaderValues values : exchange.getRequestHeaders()) {
            if (!ProxyHeaders.isEndToEnd(values.getHeaderName())) {
                continue;
            }
            for (int index = 0; index < values.size(); index++) {
                head.append(values.getHeaderName())
                        .append(": ")
                        .append(values.get(index))
                        .append("\r\n");
            }
        }
    }

    private static void appendFraming(StringBuilder head, PendingRequest pending) {
        HttpServerExchange exchange = pending.exchange();
        StreamedRequestBody streamedBody = pending.streamedBody();
        if (streamedBody != null && streamedBody.isChunked()) {
            head.append("Transfer-Encoding: chunked\r\n");
        } else if (streamedBody != null) {
            head.append("Content-Length: ")
                    .append(exchange.getRequestContentLength())
                    .append("\r\n");
        } else if (pending.body().length > 0 || !exchange.getRequestMethod().equals(Methods.GET)) {
            head.append("Content-Length: ").append(pending.body().length).append("\r\n");
        }
    }
}
