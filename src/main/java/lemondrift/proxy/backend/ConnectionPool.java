package lemondrift.proxy.backend;

import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import lemondrift.proxy.time.MonotonicClock;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * A bounded pool of connections to one address; one request at a time on each. The connection that
 * has been idle longest is used first, and any byte that comes on an idle one closes it. I/O thread
 * only.
 */
public final class ConnectionPool {
    /** A connection of the pool, in use for one request or idle. */
    public static final class PooledConnection {
        /** Its socket. */
        public final StreamConnection connection;

        /** Since when it is idle; without meaning while it is in use. */
        private double idleSince;

        private PooledConnection(StreamConnection connection) {
            this.connection = connection;
        }

        void close() {
            IoUtils.safeClose(connection);
        }

        /** Reads a byte, which no idle connection should have, to see how it stands. */
        private IdleState idleState() {
            if (!connection.isOpen()) {
                return IdleState.CLOSED;
            }
            try {
                int count = connection.getSourceChannel().read(ByteBuffer.allocate(1));
                return count > 0
                        ? IdleState.UNEXPECTED_BYTES
                        : count < 0 ? IdleState.CLOSED : IdleState.QUIET;
            } catch (IOException e) {
                return IdleState.CLOSED;
            }
        }
    }

    /** What an idle connection shows when it is looked at. */
    private enum IdleState {
        /** Open and nothing has come: it can be used. */
        QUIET,
        /** Bytes have come that belong to no response. */
        UNEXPECTED_BYTES,
        /** The backend has closed it, or it is broken. */
        CLOSED
    }

    /**
     * What several pools share: how many connections may be open over all of them, their idle
     * connections, and whether answered connections rest before they are used again.
     */
    public static final class ConnectionBudget {
        private int maxConnections;

        /** Until this instant connections rest after a response; see {@link Quarantine}. */
        private double restsUntil = Double.NEGATIVE_INFINITY;

        /** Idle longest first. */
        private final Set<PooledConnection> idle = new LinkedHashSet<>();

        /** Places that are taken, by connections or by attempts to connect. */
        private int reserved;

        /** A budget of so many connections. */
        public ConnectionBudget(int maxConnections) {
            this.maxConnections = maxConnections;
        }

        /** Sets another bound; idle connections beyond it are closed. */
        void setMaxConnections(int maxConnections) {
            this.maxConnections = maxConnections;
            while (reserved > maxConnections && !idle.isEmpty()) {
                closeLongestIdle();
            }
        }

        /** Guards against idle connections to other backends that keep the chosen one from use. */
        private boolean makePlace() {
            if (reserved >= maxConnections && !idle.isEmpty()) {
                closeLongestIdle();
            }
            return reserved < maxConnections;
        }

        private void closeLongestIdle() {
            idle.iterator().next().close();
        }
    }

    /**
     * The quarantine of answered connections: for some seconds a connection is not used again,
     * while a backend has sent more than its response not long ago.
     *
     * @param restSeconds how long a connection rests after a response
     * @param memorySeconds how long after unexpected bytes connections still rest
     */
    public record Quarantine(double restSeconds, double memorySeconds) {
        /** Connections are used again at once. */
        public static final Quarantine NONE = new Quarantine(0, 0);
    }

    /** Where all its connections lead. */
    public final InetSocketAddress address;

    final XnioIoThread io;
    final BackendConnector connector;
    final ByteBufferPool buffers;
    final MonotonicClock clock;
    private final ConnectionBudget budget;
    private final int maxConnections;
    private final Quarantine quarantine;

    /** Idle longest last. */
    private final Deque<PooledConnection> idle = new ArrayDeque<>();

    /** Places that are taken here, by connections or by attempts to connect. */
    private int reserved;

    private boolean retired;

    /** A pool of at most so many connections, all of which also count against the budget. */
    public ConnectionPool(
            InetSocketAddress address,
            XnioIoThread io,
            BackendConnector connector,
            ByteBufferPool buffers,
            MonotonicClock clock,
            ConnectionBudget budget,
            int maxConnections,
            Quarantine quarantine) {
        this.address = address;
        this.io = io;
        this.connector = connector;
        this.buffers = buffers;
        this.clock = clock;
        this.budget = budget;
        this.maxConnections = maxConnections;
        this.quarantine = quarantine;
    }

    /**
     * Takes the connection that has been idle longest, if it has rested; null if there is none.
     * Guards against bytes or a close that follow a response late and would meet the next request.
     */
    PooledConnection takeRested() {
        double now = clock.now();
        return takeIdleSince(now < budget.restsUntil ? now - quarantine.restSeconds : now);
    }

    /** Takes the connection that has been idle longest, rested or not; null if there is none. */
    PooledConnection takeIdle() {
        return takeIdleSince(Double.POSITIVE_INFINITY);
    }

    private PooledConnection takeIdleSince(double instant) {
        while (!idle.isEmpty() && idle.peekLast().idleSince <= instant) {
            PooledConnection link = idle.pollLast();
            budget.idle.remove(link);
            IdleState state = link.idleState();
            if (state == IdleState.QUIET) {
                return link;
            }
            closeIdle(link, state);
        }
        return null;
    }

    /** A backend has sent more than its response: connections rest from now on. */
    void sawUnexpectedBytes() {
        budget.restsUntil = clock.now() + quarantine.memorySeconds;
    }

    /** Whether another connection may be opened; its place is taken from now on. */
    public boolean reserve() {
        if (reserved >= maxConnections || !budget.makePlace()) {
            return false;
        }
        reserved++;
        budget.reserved++;
        return true;
    }

    /** Frees a reserved place: its connection is closed, or was not established. */
    void releasePlace() {
        reserved--;
        budget.reserved--;
    }

    /** Adds a connection that was established for a reserved place; it is in use. */
    public PooledConnection opened(StreamConnection connection) {
        PooledConnection link = new PooledConnection(connection);
        connection.setCloseListener(
                closed -> {
                    releasePlace();
                    idle.remove(link);
                    budget.idle.remove(link);
                });
        return link;
    }

    /** Takes back a connection after its request: closes it unless it can be used again. */
    void giveBack(PooledConnection link, boolean reusable) {
        if (reusable) {
            giveBackReusable(link);
        } else {
            link.close();
        }
    }

    /** Takes back a connection that can be used again; it is idle from now on. */
    public void giveBackReusable(PooledConnection link) {
        if (retired || !link.connection.isOpen()) {
            link.close();
            return;
        }
        link.idleSince = clock.now();
        idle.addFirst(link);
        budget.idle.add(link);
        // Whatever comes now, its end or more bytes, makes it useless.
        link.connection
                .getSourceChannel()
                .setReadListener(source -> closeIdle(link, link.idleState()));
        link.connection.getSourceChannel().resumeReads();
    }

    private void closeIdle(PooledConnection link, IdleState state) {
        if (state == IdleState.UNEXPECTED_BYTES) {
            sawUnexpectedBytes();
        }
        link.close();
    }

    /** Sends nothing more here: idle connections close now, busy ones when their request ends. */
    public void retire() {
        retired = true;
        closeIdleSince(Double.POSITIVE_INFINITY);
    }

    boolean isRetired() {
        return retired;
    }

    /** Closes the connections that have been idle since this instant or longer. */
    void closeIdleSince(double instant) {
        while (!idle.isEmpty() && idle.peekLast().idleSince <= instant) {
            idle.pollLast().close();
        }
    }
}
