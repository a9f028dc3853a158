package lemondrift.lab.fleet;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A client that only occupies a connection to a proxy: it connects, sends nothing or half a
 * request, waits, disconnects, and connects again. I/O thread only.
 */
final class IdleClient implements HttpConnection.Listener {
    /** The longest time for which it stays connected. */
    private static final double MAX_CONNECTED_SECONDS = 4;

    /** The longest time until it connects again. */
    private static final double MAX_DISCONNECTED_SECONDS = 1;

    private static final byte[] HALF_REQUEST =
            "GET /api HTTP/1.1\r\nHost: origin".getBytes(StandardCharsets.US_ASCII);

    private final TestbedContext context;
    private final InetSocketAddress proxy;
    private Optional<HttpConnection> latestConnection = Optional.empty();
    private volatile boolean stopped;

    /** Schedules the first connection after a random delay. */
    IdleClient(TestbedContext context, InetSocketAddress proxy) {
        this.context = context;
        this.proxy = proxy;
        connectLater();
    }

    private void connectLater() {
        if (!stopped) {
            context.scheduler().after(randomSeconds(MAX_DISCONNECTED_SECONDS), this::connect);
        }
    }

    private double randomSeconds(double max) {
        return max * context.random().nextDouble();
    }

    private void connect() {
        if (!stopped) {
            HttpConnection.open(context.ioThread(), proxy, this, this::onConnect);
        }
    }

    private void onConnect(Optional<HttpConnection> connection) {
        if (connection.isEmpty() || stopped) {
            connection.ifPresent(HttpConnection::close);
            connectLater();
        } else {
            holdOpen(connection.get());
        }
    }

    private void holdOpen(HttpConnection connection) {
        latestConnection = Optional.of(connection);
        if (context.random().nextBoolean()) {
            connection.write(HALF_REQUEST);
        }
        context.scheduler()
                .after(
                        randomSeconds(MAX_CONNECTED_SECONDS),
                        () -> {
                            if (connection.isOpen()) {
                                connection.close();
                                connectLater();
                            }
                        });
    }

    @Override
    public void onMessage(HttpConnection connection, String head, byte[] body) {
        // The client has sent no complete request, so a response is ignored.
    }

    @Override
    public void onClosed(HttpConnection connection) {
        connectLater();
    }

    /** Prevents further connections. Any thread. */
    void stop() {
        stopped = true;
    }

    void close() {
        stop();
        latestConnection.ifPresent(HttpConnection::close);
    }
}
