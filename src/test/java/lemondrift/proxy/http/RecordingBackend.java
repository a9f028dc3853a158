package lemondrift.proxy.http;

import static lemondrift.proxy.DaemonThreads.startDaemon;
import static lemondrift.proxy.HttpMessages.OK;
import static lemondrift.proxy.HttpMessages.writeText;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** A backend that records the heads and decoded bodies of requests as they arrive. */
final class RecordingBackend implements AutoCloseable {
    private static final String LENGTH_FIELD = "Content-Length: ";
    private static final int PIECE_BYTES = 4096;

    /** Small, so that a pause of the backend stops the proxy after few bytes. */
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    final ByteArrayOutputStream body = new ByteArrayOutputStream();
    final AtomicInteger bodyBytes = new AtomicInteger();

    /** How many requests have arrived completely. */
    final AtomicInteger completeRequests = new AtomicInteger();

    final CountDownLatch connectionEnded = new CountDownLatch(1);
    volatile String head = "";

    /** The number of body bytes after which the backend reads nothing until {@link #resume}. */
    volatile int pauseAfterBytes = Integer.MAX_VALUE;

    private final CountDownLatch resumed = new CountDownLatch(1);
    private final ServerSocket server = new ServerSocket();
    private final int maxBodyBytes;

    /** Starts a backend that accepts bodies of any length. */
    RecordingBackend() throws IOException {
        this(Integer.MAX_VALUE);
    }

    /** Starts a backend that closes the connection when its bodies exceed a number of bytes. */
    RecordingBackend(int maxBodyBytes) throws IOException {
        this.maxBodyBytes = maxBodyBytes;
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 5);
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

    /** Ends the pause of the backend, now or before it has begun. */
    void resume() {
        resumed.countDown();
    }

    private void awaitResume() {
        try {
            resumed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(Socket connection) throws IOException {
        try (connection) {
            while (true) {
                readRequest(connection.getInputStream());
                writeText(connection, OK);
            }
        } finally {
            connectionEnded.countDown();
        }
    }

    private void readRequest(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            text.append(readCharacter(in));
        }
        head = text.toString();
        if (head.contains("chunked")) {
            for (int size = readChunkSize(in); size > 0; size = readChunkSize(in)) {
                readBody(in, size);
                readEmptyLine(in);
            }
            readEmptyLine(in);
        } else {
            int start = head.indexOf(LENGTH_FIELD) + LENGTH_FIELD.length();
            readBody(in, Integer.parseInt(head.substring(start, head.indexOf('\r', start))));
        }
        completeRequests.incrementAndGet();
    }

    private void readBody(InputStream in, int length) throws IOException {
        for (int received = 0; received < length; ) {
            if (bodyBytes.get() >= pauseAfterBytes) {
                awaitResume();
            }
            byte[] piece = in.readNBytes(Math.min(PIECE_BYTES, length - received));
            if (piece.length == 0 || bodyBytes.addAndGet(piece.length) > maxBodyBytes) {
                throw new IOException("connection closed in the middle of a body");
            }
            body.writeBytes(piece);
            received += piece.length;
        }
    }

    private static int readChunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in), 16);
    }

    private static void readEmptyLine(InputStream in) throws IOException {
        String line = readLine(in);
        if (!line.isEmpty()) {
            throw new IOException("expected an empty line at the end of a chunk, found: " + line);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (char character = readCharacter(in); character != '\n'; character = readCharacter(in)) {
            text.append(character);
        }
        return text.toString().strip();
    }

    private static char readCharacter(InputStream in) throws IOException {
        int character = in.read();
        if (character < 0) {
            throw new IOException("connection closed before the end of the request");
        }
        return (char) character;
    }

    @Override
    public void close() throws IOException {
        resume();
        server.close();
    }
}
