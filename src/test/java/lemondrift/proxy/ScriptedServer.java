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
 * An HTTP server on loopback that stands in for a backend or for discovery: a script gives the
 * response to each request, or what is done in place of one.
 */
public final class ScriptedServer implements AutoCloseable {
    /** In place of a response: the connection is closed. */
    public static final String CLOSE = "close";

    /** In place of a response: nothing is sent, and the connection stays open. */
    public static final String SILENCE = "silence";

    private static final int BACKLOG = 50;

    /** Seconds after which what a test waits for counts as missing. */
    private static final long WAIT_SECONDS = 5;

    /** Whole requests but those for load reports, in the order in which they came. */
    public final LinkedBlockingQueue<String> requests = new LinkedBlockingQueue<>();

    private final ServerSocket serverSocket =
            new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final CountDownLatch connectionEnded = new CountDownLatch(1);
    private final Function<String, String> script;

    /** One that serves until it is closed. */
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

    /** The port on which it listens. */
    public int port() {
        return serverSocket.getLocalPort();
    }

    /** The next request; null where none comes in time. */
    public String nextRequest() throws InterruptedException {
        return requests.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Whether any of its connections has ended, closed by either side, or ends in time. */
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

    /** Accepts no more connections; those that are open stay. */
    @Override
    public void close() throws IOException {
        serverSocket.close();
    }
}
