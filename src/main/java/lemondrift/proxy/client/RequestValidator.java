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
 * What makes a request of a message's head, and what is answered 400 instead: ambiguous framing,
 * and a field of the protocol that is missing, malformed or there twice. I/O thread only, but for
 * what says otherwise.
 */
final class RequestValidator {
    static final HttpString REQUEST_ID = new HttpString("X-Trace-Id");
    static final HttpString REQUEST_CLASS = new HttpString("X-Qos");
    private static final HttpString RETRY = new HttpString("X-Second-Try");
    private static final HttpString TENANT = new HttpString("X-Customer");

    /** The longest timeout that a client is granted. */
    static final int MAX_TIMEOUT_MILLIS = 600_000;

    /** The most digits of a timeout in milliseconds. */
    private static final int MAX_TIMEOUT_DIGITS = 9;

    /** The only tenant where none are configured. */
    private static final int SINGLE_TENANT = 0;

    private final List<String> tenantNames;
    private final ClientConnections connections;
    private RequestClassIndex requestClasses;

    /** What holds for a request of each class. */
    private volatile RequestTerms[] termsByClass;

    /** When the last responses are to be out. */
    private volatile double lastResponsesAt = Double.POSITIVE_INFINITY;

    private long lastRequestNumber;

    RequestValidator(List<String> tenantNames, ClientConnections connections) {
        this.tenantNames = tenantNames;
        this.connections = connections;
    }

    /** Sets the request classes for what is read from now on. */
    void settingsChanged(RequestClassIndex changedClasses, Settings settings) {
        requestClasses = changedClasses;
        termsByClass = new RequestTerms[settings.requestClasses().size()];
        Arrays.setAll(termsByClass, settings::termsFor);
    }

    /** Any thread. */
    int requestClassCount() {
        return termsByClass.length;
    }

    /** Shortens the time of what is read from now on to a last instant. Any thread. */
    void setLastResponsesAt(double instant) {
        lastResponsesAt = instant;
    }

    /** The value of a field that is there once, else an empty text. */
    static String singleValue(HeaderMap headers, HttpString field) {
        return headers.count(field) == 1 ? headers.getFirst(field) : "";
    }

    static String requestIdOf(HttpServerExchange exchange) {
        return singleValue(exchange.getRequestHeaders(), REQUEST_ID);
    }

    static String requestClassOf(HttpServerExchange exchange) {
        return singleValue(exchange.getRequestHeaders(), REQUEST_CLASS);
    }

    /**
     * Whether a message can be read in one way only. Guards against request smuggling: what
     * Undertow reads leniently a backend may read in another way, and find a second request.
     */
    static boolean isUnambiguous(HttpServerExchange exchange) {
        return hasKnownLength(exchange)
                && !exchange.isHostIncludedInRequestURI()
                && !exchange.getRequestMethod().equals(Methods.CONNECT)
                && hasWellFormedFields(exchange.getRequestHeaders());
    }

    /** Guards against a body in an unknown coding, which has no end. */
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

    /** Makes a request of a head's fields; null where one is missing, malformed or there twice. */
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
