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
 * The connections of the clients: a pool of idle connections for each target, and the listeners of
 * the connections in use. I/O thread only.
 */
final class ClientConnections implements HttpConnection.Listener, AutoCloseable {
    private final XnioIoThread ioThread;
    private final Map<Integer, Deque<HttpConnection>> idleByTarget = new HashMap<>();
    private final Map<HttpConnection, HttpConnection.Listener> listeners = new HashMap<>();

    ClientConnections(XnioIoThread ioThread) {
        this.ioThread = ioThread;
    }

    /**
     * Opens a connection, which has no listener at first. The callback receives an empty optional
     * if the connection cannot be established.
     */
    void open(InetSocketAddress address, Consumer<Optional<HttpConnection>> callback) {
        HttpConnection.open(ioThread, address, this, callback);
    }

    private Deque<HttpConnection> idleConnections(int target) {
        return idleByTarget.computeIfAbsent(target, key -> new ArrayDeque<>());
    }

    void addIdle(int target, HttpConnection connection) {
        idleConnections(target).addFirst(connection);
    }

    /**
     * Removes and returns the most recently used idle connection that is still open; empty if there
     * is none.
     */
    Optional<HttpConnection> takeMostRecentlyUsed(int target) {
        HttpConnection latest = idleConnections(target).pollFirst();
        while (latest != null && !latest.isOpen()) {
            latest = idleConnections(target).pollFirst();
        }
        return Optional.ofNullable(latest);
    }

    /**
     * Removes and returns the connection that has been idle for longest; empty if there is none or
     * if it is closed.
     */
    Optional<HttpConnection> takeLongestIdle(int target) {
        return Optional.ofNullable(idleConnections(target).pollLast())
                .filter(HttpConnection::isOpen);
    }

    /** Delivers the events of a connection to a listener. */
    void setListener(HttpConnection connection, HttpConnection.Listener listener) {
        listeners.put(connection, listener);
    }

    /** Removes the listener of a connection. */
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
