package lemondrift.lab.load;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Locale;

/**
 * One connection of the load, opened when it is needed and again after a close. Used by one thread.
 */
final class LoadConnection implements AutoCloseable {
    /** The most characters that the head of a response may have. */
    private static final int MAX_HEAD_LENGTH = 16_384;

    private static final String HEAD_END = "\r\n\r\n";
    private static final String CONTENT_LENGTH = "content-length: ";

    /** Where the status stands in a response: after "HTTP/1.1 ". */
    private static final int STATUS_START = 9;

    private static final int STATUS_END = 12;

    private final InetSocketAddress address;
    private final int timeoutMillis;

    /** Null while it is closed. */
    private Socket socket;

    /** Whether the server closes the connection after the latest response. */
    private boolean closesAfterResponse;

    LoadConnection(InetSocketAddress address, double timeoutSeconds) {
        this.address = address;
        timeoutMillis = (int) Math.ceil(timeoutSeconds * 1000);
    }

    /** Opens the connection, unless it is open. */
    void open() throws IOException {
        if (socket == null) {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            socket.connect(address, timeoutMillis);
        }
    }

    /**
     * Sends a request, reads the whole response and returns its status.
     *
     * @throws IOException where there is no whole response in time; the connection must be closed
     */
    int sendAndReceive(byte[] request) throws IOException {
        socket.getOutputStream().write(request);
        InputStream in = socket.getInputStream();
        String head = readHead(in);
        int length = parseContentLength(head);
        if (in.readNBytes(length).length < length) {
            throw new IOException("no whole answer");
        }
        closesAfterResponse = head.contains("connection: close");
        return Integer.parseInt(head.substring(STATUS_START, STATUS_END));
    }

    /** Closes the connection where the server does so after the latest response. */
    void closeIfServerCloses() {
        if (closesAfterResponse) {
            close();
        }
    }

    /** The head of a response in small letters. */
    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(HEAD_END) < 0) {
            int next = in.read();
            if (next < 0 || head.length() > MAX_HEAD_LENGTH) {
                throw new IOException("no whole answer");
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
            // Guards against a failed close ending the thread: the socket is not used again.
        }
        socket = null;
    }
}
