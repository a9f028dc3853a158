package lemondrift.lab.load;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Locale;

/**
 * A connection of the load generator, opened when needed and reopened after a close. Used by a
 * single thread.
 */
final class LoadConnection implements AutoCloseable {
    /** The maximum number of characters of a response head. */
    private static final int MAX_HEAD_LENGTH = 16_384;

    private static final String HEAD_END = "\r\n\r\n";
    private static final String CONTENT_LENGTH = "content-length: ";

    /** The position of the status in a response: after "HTTP/1.1 ". */
    private static final int STATUS_START = 9;

    private static final int STATUS_END = 12;

    private final InetSocketAddress address;
    private final int timeoutMillis;

    /** Null while the connection is closed. */
    private Socket socket;

    /** Whether the server closes the connection after the latest response. */
    private boolean closesAfterResponse;

    LoadConnection(InetSocketAddress address, double timeoutSeconds) {
        this.address = address;
        timeoutMillis = (int) Math.ceil(timeoutSeconds * 1000);
    }

    /** Opens the connection if it is not open. */
    void open() throws IOException {
        if (socket == null) {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            socket.connect(address, timeoutMillis);
        }
    }

    /**
     * Sends a request, reads the complete response and returns its status.
     *
     * @throws IOException if no complete response arrives before the timeout; the caller must then
     *     close the connection
     */
    int sendAndReceive(byte[] request) throws IOException {
        socket.getOutputStream().write(request);
        InputStream in = socket.getInputStream();
        String head = readHead(in);
        int length = parseContentLength(head);
        if (in.readNBytes(length).length < length) {
            throw new IOException(
                    "connection closed before the response body of "
                            + length
                            + " bytes was complete");
        }
        closesAfterResponse = head.contains("connection: close");
        return Integer.parseInt(head.substring(STATUS_START, STATUS_END));
    }

    /** Closes the connection if the latest response announced that the server closes it. */
    void closeIfServerCloses() {
        if (closesAfterResponse) {
            close();
        }
    }

    /** Reads the head of a response and returns it in lower case. */
    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(HEAD_END) < 0) {
            int next = in.read();
            if (next < 0 || head.length() > MAX_HEAD_LENGTH) {
                throw new IOException(
                        "connection closed before the response head was complete, or head longer"
                                + " than "
                                + MAX_HEAD_LENGTH
                                + " characters");
            }
            head.append((char) next);
        }
        return head.toString().toLowerCase(Locale.ROOT);
    }

    private static int parseContentLength(String head) {
        int field = head.indexOf(CONTENT_LENGTH);
        if (field < 0) {
            return 0;
        }
        int start = field + CONTENT_LENGTH.length();
        return Integer.parseInt(head.substring(start, head.indexOf("\r\n", start)).strip());
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // Guards against a failed close that ends the thread: the socket is not used again.
        }
        socket = null;
    }
}
