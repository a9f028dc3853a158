package standin2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/** A client's connection to a proxy. */
public final class Client implements AutoCloseable {
    /** How long a connection may take to come up. */
    private static final int CONNECT_MILLIS = 2000;

    /** The socket. */
    public final Socket socket;

    private final InputStream in;

    /** Opens a connection. */
    public Client(int port) throws IOException {
        socket = new Socket();
        socket.connect(new InetSocketAddress(Net.HOST, port), CONNECT_MILLIS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** A new request id. */
    public static String newId() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    }

    /** The bytes of a request; a GET without a body if the body is null. */
    public static byte[] request(String id, String grade, int expiresInMillis, String body) {
        return ((body == null ? "GET" : "POST")
                        + " /api HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: "
                        + id
                        + "\r\nX-Qos: "
                        + grade
                        + "\r\nX-Expires-In-Ms: "
                        + expiresInMillis
                        + "\r\n"
                        + (body == null ? "" : "Content-Length: " + body.length() + "\r\n")
                        + "\r\n"
                        + (body == null ? "" : body))
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Writes bytes. */
    public void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** Reads an answer; null if the connection ends first. */
    public Net.Message read() throws IOException {
        return Net.read(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
