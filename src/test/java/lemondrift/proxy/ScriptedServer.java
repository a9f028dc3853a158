package lemondrift.proxy;

import static lemondrift.proxy.DaemonThreads.startDaemon;
import static lemondrift.proxy.HttpMessages.readMessage;
import static lemondrift.proxy.HttpMessages.writeText;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * An HTTP server on loopback that acts as a backend or as discovery. A script returns the response
 * to each request, or {@link #CLOSE} or {@link #SILENCE}.
 */
public final class ScriptedServer implements AutoCloseable {
    /** Instead of a response, closes the connection. */
    public static final String CLOSE = "close";

    /** Instead of a response, sends nothing and keeps the connection open. */
    public static final String SILENCE = "silence";

    private static final int BACKLOG = 50;

    /** Maximum seconds to wait for a request or the end of a connection. */
    private static final long WAIT_SECONDS = 5;

    /** Complete requests except those for load reports, in the order of arrival. */
    public final LinkedBlockingQueue<String> requests = new LinkedBlockingQueue<>();

    private final ServerSocket serverSocket =
            new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final CountDownLatch connectionEnded = new CountDownLatch(1);
    private final Function<String, String> script;

    /** Starts a server that accepts connections until it is closed. */
    public ScriptedServer(Function<String, String> script) throws IOException {
        this.script = script;
        startDaemon(
                () -> {
                    while (true) {
                        Socket connection = serverSocket.accept();
                        startDaemon(() -> serve(connection));
                    }
                });
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return serverSocket.getLocalPort();
    }

    /** Waits for the next request. Returns null if there is none in time. */
    public String nextRequest() throws InterruptedException {
        return requests.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Waits until either side has closed one of the connections, now or earlier. Returns false if
     * this does not happen in time.
     */
    public boolean awaitConnectionEnd() throws InterruptedException {
        return connectionEnded.await(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private void serve(Socket connection) throws IOException {
        try (connection) {
            for (String request = readMessage(connection);
                    request != null;
                    request = readMessage(connection)) {
                if (!request.startsWith("GET /load")) {
                    requests.add(request);
                }
                String response = script.apply(request);
                if (response.equals(CLOSE)) {
                    return;
                } else if (!response.equals(SILENCE)) {
                    writeText(connection, response);
                }
                if (endsConnection(response)) {
                    return;
                }
            }
        } finally {
            connectionEnded.countDown();
        }
    }

    private static boolean endsConnection(String response) {
        return response.equals(HttpMessages.CUT_SHORT)
                || response.equals(HttpMessages.FIRST_CHUNK)
                || response.contains("close\r\n");
    }

    /** Stops accepting connections. Open connections stay open. */
    @Override
    public void close() throws IOException {
        serverSocket.close();
    }
}
