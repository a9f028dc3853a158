package lemondrift.proxy.client;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.util.Arrays;
import java.util.List;
import lemondrift.model.Request;
import lemondrift.model.RequestTerms;
import lemondrift.model.Settings;
import lemondrift.proxy.http.HttpFieldRules;
import lemondrift.proxy.http.ProxyHeaders;
import lemondrift.settings.RequestClassIndex;

/**
 * Creates requests from the heads of messages, and detects messages that are answered with 400:
 * ambiguous framing, and a field of the protocol that is missing, malformed or repeated. I/O thread
 * only, unless a method says otherwise.
 */
final class RequestValidator {
    static final HttpString REQUEST_ID = new HttpString("X-Trace-Id");
    static final HttpString REQUEST_CLASS = new HttpString("X-Qos");
    private static final HttpString RETRY = new HttpString("X-Second-Try");
    private static final HttpString TENANT = new HttpString("X-Customer");

    /** The longest timeout of a request; a longer one is shortened to it. */
    static final int MAX_TIMEOUT_MILLIS = 600_000;

    /** The maximum number of digits of a timeout in milliseconds. */
    private static final int MAX_TIMEOUT_DIGITS = 9;

    /** The index of the only tenant if none are configured. */
    private static final int SINGLE_TENANT = 0;

    private final List<String> tenantNames;
    private final ClientConnections connections;
    private RequestClassIndex requestClasses;

    /** The terms of a request, by the index of its request class. */
    private volatile RequestTerms[] termsByClass;

    /** The latest deadline of a request; infinite if a drain has not limited it. */
    private volatile double lastResponsesAt = Double.POSITIVE_INFINITY;

    private long lastRequestNumber;

    RequestValidator(List<String> tenantNames, ClientConnections connections) {
        this.tenantNames = tenantNames;
        this.connections = connections;
    }

    /** Sets the request classes and their terms for requests that are read from now on. */
    void settingsChanged(RequestClassIndex changedClasses, Settings settings) {
        requestClasses = changedClasses;
        termsByClass = new RequestTerms[settings.requestClasses().size()];
        Arrays.setAll(termsByClass, settings::termsFor);
    }

    /**
     * Returns the number of indexes of request classes, including indexes that no class has any
     * more. May be called from any thread.
     */
    int classIndexCount() {
        return termsByClass.length;
    }

    /**
     * Limits the deadline of requests that are read from now on. May be called from any thread.
     *
     * @param instant the latest deadline, in seconds of the proxy's clock
     */
    void setLastResponsesAt(double instant) {
        lastResponsesAt = instant;
    }

    /** Returns the value of a field that occurs exactly once, otherwise an empty string. */
    static String singleValue(HeaderMap headers, HttpString field) {
        return headers.count(field) == 1 ? headers.getFirst(field) : "";
    }

    /** Returns the request's id; empty if the field is missing or repeated. */
    static String requestIdOf(HttpServerExchange exchange) {
        return singleValue(exchange.getRequestHeaders(), REQUEST_ID);
    }

    /** Returns the name of the request's class; empty if the field is missing or repeated. */
    static String requestClassOf(HttpServerExchange exchange) {
        return singleValue(exchange.getRequestHeaders(), REQUEST_CLASS);
    }

    /**
     * Returns whether a message can be interpreted in one way only. Guards against request
     * smuggling: a backend may interpret a message that Undertow reads leniently in another way,
     * and find a second request in it.
     */
    static boolean isUnambiguous(HttpServerExchange exchange) {
        return hasKnownLength(exchange)
                && !exchange.isHostIncludedInRequestURI()
                && !exchange.getRequestMethod().equals(Methods.CONNECT)
                && hasWellFormedFields(exchange.getRequestHeaders());
    }

    /** Guards against a body in an unknown transfer coding, whose end can't be determined. */
    private static boolean hasKnownLength(HttpServerExchange exchange) {
        HeaderMap headers = exchange.getRequestHeaders();
        String coding = headers.getFirst(Headers.TRANSFER_ENCODING);
        boolean isKnownCoding =
                coding == null || (coding.equalsIgnoreCase("chunked") && exchange.isHttp11());
        return isKnownCoding
                && headers.count(Headers.TRANSFER_ENCODING) + headers.count(Headers.CONTENT_LENGTH)
                        <= 1;
    }

    private static boolean hasWellFormedFields(HeaderMap headers) {
        for (HeaderValues values : headers) {
            if (!HttpFieldRules.isToken(values.getHeaderName().toString())) {
                return false;
            }
            for (String value : values) {
                if (!HttpFieldRules.isFieldValue(value)) {
                    return false;
                }
            }
        }
        return true;
    }

    /**
     * Creates a request from the fields of a head; returns null if one of them is missing,
     * malformed or repeated.
     */
    Request parse(HeaderMap headers) {
        int requestClass = requestClasses.indexOf(singleValue(headers, REQUEST_CLASS));
        int tenant =
                tenantNames.isEmpty()
                        ? SINGLE_TENANT
                        : tenantNames.indexOf(singleValue(headers, TENANT));
        int timeoutMillis =
                HttpFieldRules.parseNumber(
                        singleValue(headers, ProxyHeaders.TIMEOUT), MAX_TIMEOUT_DIGITS);
        if (singleValue(headers, REQUEST_ID).isEmpty()
                || requestClass < 0
                || tenant < 0
                || timeoutMillis < 0) {
            return null;
        }
        double arrivedAt = connections.requestArrivedAt();
        double timeoutSeconds =
                Math.min(
                        Math.min(MAX_TIMEOUT_MILLIS, timeoutMillis) / 1e3,
                        lastResponsesAt - arrivedAt);
        Request request =
                new Request(
                        ++lastRequestNumber,
                        requestClass,
                        tenant,
                        arrivedAt,
                        timeoutSeconds,
                        singleValue(headers, RETRY).equals("1"));
        request.terms = termsByClass[requestClass];
        return request;
    }
}
