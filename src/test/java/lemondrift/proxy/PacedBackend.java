package lemondrift.proxy;

import static lemondrift.proxy.DaemonThreads.startDaemon;
import static lemondrift.proxy.HttpMessages.readMessage;
import static lemondrift.proxy.HttpMessages.writeText;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;

/** A backend that answers each request with the same long response, in pieces over a time. */
final class PacedBackend implements AutoCloseable {
    /** The response's body. */
    final byte[] body;

    private final ServerSocket server = new ServerSocket(0, 20, InetAddress.getLoopbackAddress());
    private final int pieceBytes;
    private final long pieceIntervalMillis;

    /** Starts a backend whose responses consist of a number of random pieces. */
    PacedBackend(int pieces, int pieceBytes, long pieceIntervalMillis) throws IOException {
        this.pieceBytes = pieceBytes;
        this.pieceIntervalMillis = pieceIntervalMillis;
        body = new byte[pieces * pieceBytes];
        new Random(pieces).nextBytes(body);
        startDaemon(
                () -> {
                    while (true) {
                        Socket connection = server.accept();
                        startDaemon(() -> serve(connection));
                    }
                });
    }

    int port() {
        return server.getLocalPort();
    }

    private void serve(Socket connection) throws IOException, InterruptedException {
        try (connection) {
            while (readMessage(connection) != null) {
                writeText(
                        connection,
                        "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
                for (int offset = 0; offset < body.length; offset += pieceBytes) {
                    connection.getOutputStream().write(body, offset, pieceBytes);
                    Thread.sleep(pieceIntervalMillis);
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
