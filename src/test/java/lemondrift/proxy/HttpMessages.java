package lemondrift.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Requests and responses as text, and how a test reads and writes them on a socket. */
public final class HttpMessages {
    /** A whole response, whose body is "body". */
    public static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

    /** A response that ends before its declared length. */
    public static final String CUT_SHORT = "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nbo";

    /** The first chunk of a chunked response; a backend that sends it alone cuts it short. */
    public static final String FIRST_CHUNK =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n";

    /** What may follow the first chunk to make it a whole response, whose body is "body". */
    public static final String LAST_CHUNKS = "2\r\ndy\r\n0\r\n\r\n";

    /** A response that says that the request was never executed. */
    public static final String NEVER_EXECUTED =
            "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";

    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final String LENGTH_FIELD = "content-length: ";

    private HttpMessages() {}

    /** A whole response with a body of ASCII. */
    public static String okResponse(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** A request of the idempotent class, without a body. */
    public static String getRequest(String traceId, int timeoutMillis) {
        return getRequest(traceId, TestConfig.IDEMPOTENT_CLASS, timeoutMillis);
    }

    /** A request without a body. */
    public static String getRequest(String traceId, String requestClass, int timeoutMillis) {
        return "GET / HTTP/1.1\r\n" + fields(traceId, requestClass, timeoutMillis) + "\r\n";
    }

    /**
     * The head of a request that is not idempotent.
     *
     * @param framing the header field that tells the length of the body or its encoding
     */
    public static String postHead(String traceId, int timeoutMillis, String framing) {
        return "POST / HTTP/1.1\r\n"
                + fields(traceId, TestConfig.NOT_IDEMPOTENT_CLASS, timeoutMillis)
                + framing
                + "\r\n\r\n";
    }

    private static String fields(String traceId, String requestClass, int timeoutMillis) {
        return "Host: a\r\nX-Trace-Id: "
                + traceId
                + "\r\nX-Qos: "
                + requestClass
                + "\r\nX-Expires-In-Ms: "
                + timeoutMillis
                + "\r\n";
    }

    /** Sends text of which each character is one byte. */
    public static void writeText(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * One message with a declared length or none, head and body; null where the connection ends.
     */
    public static String readMessage(Socket from) throws IOException {
        InputStream in = from.getInputStream();
        StringBuilder text = new StringBuilder();
        while (text.indexOf(END_OF_HEAD) < 0) {
            int character = in.read();
            if (character < 0) {
                return null;
            }
            text.append((char) character);
        }
        return text
                + new String(
                        in.readNBytes(declaredLength(text.toString())),
                        StandardCharsets.ISO_8859_1);
    }

    private static int declaredLength(String messageHead) {
        String head = messageHead.toLowerCase(Locale.ROOT);
        int field = head.indexOf(LENGTH_FIELD);
        return field < 0
                ? 0
                : Integer.parseInt(
                        head.substring(field + LENGTH_FIELD.length(), head.indexOf("\r\n", field)));
    }
}
