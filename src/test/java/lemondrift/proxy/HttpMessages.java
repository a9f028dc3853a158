package lemondrift.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Requests and responses as text, and methods to read and write them on a socket. */
public final class HttpMessages {
    /** A complete response with the body "body". */
    public static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

    /** A response that is shorter than its declared length. */
    public static final String CUT_SHORT = "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nbo";

    /**
     * The first chunk of a chunked response. If a backend sends only this, the response is cut
     * short.
     */
    public static final String FIRST_CHUNK =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n";

    /** Completes {@link #FIRST_CHUNK} to a response with the body "body". */
    public static final String LAST_CHUNKS = "2\r\ndy\r\n0\r\n\r\n";

    /** A response with the information that the request was never executed. */
    public static final String NEVER_EXECUTED =
            "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";

    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final String LENGTH_FIELD = "content-length: ";

    private HttpMessages() {}

    /** Returns a complete response with an ASCII body. */
    public static String okResponse(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns a request of the idempotent class, without a body. */
    public static String getRequest(String traceId, int timeoutMillis) {
        return getRequest(traceId, TestConfig.IDEMPOTENT_CLASS, timeoutMillis);
    }

    /** Returns a request without a body. */
    public static String getRequest(String traceId, String requestClass, int timeoutMillis) {
        return "GET / HTTP/1.1\r\n" + fields(traceId, requestClass, timeoutMillis) + "\r\n";
    }

    /**
     * Returns the head of a request that is not idempotent.
     *
     * @param framing the header field with the length or the encoding of the body
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

    /** Sends text. Each character is encoded as one byte. */
    public static void writeText(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Reads the head and body of a message. Without a declared length, the body is empty.
     *
     * @return the message, or null if the connection ends before the end of the head
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
