package lemondrift.lab.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.xnio.XnioIoThread;

/**
 * The connections of the clients: those that are idle by their target, and of the others who uses
 * them. I/O thread only.
 */
final class ClientConnections implements HttpConnection.Listener, AutoCloseable {
    private final XnioIoThread ioThread;
    private final Map<Integer, Deque<HttpConnection>> idleByTarget = new HashMap<>();
    private final Map<HttpConnection, HttpConnection.Listener> listeners = new HashMap<>();

    ClientConnections(XnioIoThread ioThread) {
        this.ioThread = ioThread;
    }

    /** Opens a connection, which nobody uses at first; the callback gets nothing at a failure. */
    void open(InetSocketAddress address, Consumer<Optional<HttpConnection>> callback) {
        HttpConnection.open(ioThread, address, this, callback);
    }

    private Deque<HttpConnection> idleConnections(int target) {
        return idleByTarget.computeIfAbsent(target, key -> new ArrayDeque<>());
    }

    void addIdle(int target, HttpConnection connection) {
        idleConnections(target).addFirst(connection);
    }

    /** Takes the open connection that was used last. */
    Optional<HttpConnection> takeMostRecentlyUsed(int target) {
        HttpConnection latest = idleConnections(target).pollFirst();
        while (latest != null && !latest.isOpen()) {
            latest = idleConnections(target).pollFirst();
        }
        return Optional.ofNullable(latest);
    }

    /** Takes the connection that has been idle for longest; empty where it is not open. */
    Optional<HttpConnection> takeLongestIdle(int target) {
        return Optional.ofNullable(idleConnections(target).pollLast())
                .filter(HttpConnection::isOpen);
    }

    /** Sends the events of a connection to a listener. */
    void setListener(HttpConnection connection, HttpConnection.Listener listener) {
        listeners.put(connection, listener);
    }

    /** Nobody uses a connection any more. */
    void removeListener(HttpConnection connection) {
        listeners.remove(connection);
    }

    @Override
    public void onMessage(HttpConnection connection, String head, byte[] body) {
        HttpConnection.Listener user = listeners.get(connection);
        if (user != null) {
            user.onMessage(connection, head, body);
        } else {
            connection.close();
        }
    }

    @Override
    public void onClosed(HttpConnection connection) {
        HttpConnection.Listener user = listeners.get(connection);
        if (user != null) {
            user.onClosed(connection);
        }
    }

    @Override
    public void close() {
        idleByTarget.values().forEach(idle -> idle.forEach(HttpConnection::close));
        listeners.keySet().forEach(HttpConnection::close);
    }
}
