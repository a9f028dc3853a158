package lemondrift.proxy.http;

import static lemondrift.proxy.DaemonThreads.startDaemon;
import static lemondrift.proxy.HttpMessages.readMessage;
import static lemondrift.proxy.HttpMessages.writeText;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** A backend that writes one response as fast as possible and counts the bytes it has written. */
final class FloodingBackend implements AutoCloseable {
    /** How many bytes are written at once. */
    static final int PIECE_BYTES = 65_536;

    final AtomicInteger writtenBytes = new AtomicInteger();
    final CountDownLatch connectionEnded = new CountDownLatch(1);
    private final ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());

    FloodingBackend(int bodyBytes) throws IOException {
        startDaemon(
                () -> {
                    try (Socket connection = server.accept()) {
                        readMessage(connection);
                        writeText(
                                connection,
                                "HTTP/1.1 200 OK\r\nContent-Length: " + bodyBytes + "\r\n\r\n");
                        byte[] piece = new byte[PIECE_BYTES];
                        while (writtenBytes.get() < bodyBytes) {
                            connection.getOutputStream().write(piece);
                            writtenBytes.addAndGet(piece.length);
                        }
                        connection.getInputStream().read();
                    } finally {
                        connectionEnded.countDown();
                    }
                });
    }

    int port() {
        return server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
