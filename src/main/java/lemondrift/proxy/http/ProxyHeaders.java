package lemondrift.proxy.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Set;

/**
 * The header fields that the proxy itself reads or writes, with their names on the wire, and which
 * fields it forwards.
 */
public final class ProxyHeaders {
    /** How long the sender waits for the response, in milliseconds. */
    public static final HttpString TIMEOUT = new HttpString("X-Expires-In-Ms");

    /** A backend's load report. */
    public static final HttpString LOAD_REPORT = new HttpString("Endpoint-Load-Metrics");

    /** Set to 1 by a backend that has not started to execute the request. */
    public static final HttpString NEVER_EXECUTED = new HttpString("X-Never-Ran");

    /** Fields that belong to one connection, or that the proxy writes itself. */
    private static final Set<HttpString> NOT_FORWARDED =
            Set.of(
                    Headers.CONNECTION,
                    Headers.KEEP_ALIVE,
                    Headers.TE,
                    Headers.TRAILER,
                    Headers.TRANSFER_ENCODING,
                    Headers.UPGRADE,
                    Headers.EXPECT,
                    Headers.CONTENT_LENGTH,
                    TIMEOUT,
                    LOAD_REPORT);

    private ProxyHeaders() {}

    /** Returns whether a field is forwarded between client and backend. */
    public static boolean isEndToEnd(HttpString name) {
        return !NOT_FORWARDED.contains(name);
    }

    /** Copies the fields that are forwarded. */
    public static void copyEndToEnd(HeaderMap from, HeaderMap to) {
        for (HeaderValues values : from) {
            if (isEndToEnd(values.getHeaderName())) {
                to.putAll(values.getHeaderName(), values);
            }
        }
    }
}
