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
        private double quarantineUntil = Double.NEGATIVE_INFINITY;

        /** Idle longest first. */
        private final Set<PooledConnection> idle = new LinkedHashSet<>();

        /** Places that are taken, by connections or by attempts to connect. */
        private int reservedSlots;

        /** A budget of so many connections. */
        public ConnectionBudget(int maxConnections) {
            this.maxConnections = maxConnections;
        }

        /** Sets another bound; idle connections beyond it are closed. */
        void setMaxConnections(int maxConnections) {
            this.maxConnections = maxConnections;
            while (reservedSlots > maxConnections && !idle.isEmpty()) {
                closeLongestIdle();
            }
        }

        /** Guards against idle connections to other backends that keep the chosen one from use. */
        private boolean makeRoom() {
            if (reservedSlots >= maxConnections && !idle.isEmpty()) {
                closeLongestIdle();
            }
            return reservedSlots < maxConnections;
        }

        private void closeLongestIdle() {
            idle.iterator().next().close();
        }
    }

    /**
     * The quarantine of answered connections: for some seconds a connection is not used again,
     * while a backend has sent more than its response not long ago.
     *
     * @param minIdleSeconds how long a connection rests after a response
     * @param activeSeconds how long after unexpected bytes connections still rest
     */
    public record Quarantine(double minIdleSeconds, double activeSeconds) {
        /** Connections are used again at once. */
        public static final Quarantine NONE = new Quarantine(0, 0);
    }

    /** Where all its connections lead. */
    public final InetSocketAddress address;

    final XnioIoThread ioThread;
    final BackendConnector connector;
    final ByteBufferPool bufferPool;
    final MonotonicClock clock;
    private final ConnectionBudget budget;
    private final int maxConnections;
    private final Quarantine quarantine;

    /** Idle longest last. */
    private final Deque<PooledConnection> idle = new ArrayDeque<>();

    /** Places that are taken here, by connections or by attempts to connect. */
    private int reservedSlots;

    private boolean retired;

    /** A pool of at most so many connections, all of which also count against the budget. */
    public ConnectionPool(
            InetSocketAddress address,
            XnioIoThread ioThread,
            BackendConnector connector,
            ByteBufferPool bufferPool,
            MonotonicClock clock,
            ConnectionBudget budget,
            int maxConnections,
            Quarantine quarantine) {
        this.address = address;
        this.ioThread = ioThread;
        this.connector = connector;
        this.bufferPool = bufferPool;
        this.clock = clock;
        this.budget = budget;
        this.maxConnections = maxConnections;
        this.quarantine = quarantine;
    }

    /**
     * Takes the connection that has been idle longest, if it has rested; null if there is none.
     * Guards against bytes or a close that follow a response late and would meet the next request.
     */
    PooledConnection takeUnquarantined() {
        double now = clock.now();
        return takeIdleSince(now < budget.quarantineUntil ? now - quarantine.minIdleSeconds : now);
    }

    /** Takes the connection that has been idle longest, rested or not; null if there is none. */
    PooledConnection takeAnyIdle() {
        return takeIdleSince(Double.POSITIVE_INFINITY);
    }

    private PooledConnection takeIdleSince(double instant) {
        while (!idle.isEmpty() && idle.peekLast().idleSince <= instant) {
            PooledConnection pooledConnection = idle.pollLast();
            budget.idle.remove(pooledConnection);
            IdleState state = pooledConnection.idleState();
            if (state == IdleState.QUIET) {
                return pooledConnection;
            }
            closeIdle(pooledConnection, state);
        }
        return null;
    }

    /** A backend has sent more than its response: connections rest from now on. */
    void startQuarantine() {
        budget.quarantineUntil = clock.now() + quarantine.activeSeconds;
    }

    /** Whether another connection may be opened; its place is taken from now on. */
    public boolean tryReserveSlot() {
        if (reservedSlots >= maxConnections || !budget.makeRoom()) {
            return false;
        }
        reservedSlots++;
        budget.reservedSlots++;
        return true;
    }

    /** Frees a reserved place: its connection is closed, or was not established. */
    void releaseSlot() {
        reservedSlots--;
        budget.reservedSlots--;
    }

    /** Adds a connection that was established for a reserved place; it is in use. */
    public PooledConnection addConnection(StreamConnection connection) {
        PooledConnection pooledConnection = new PooledConnection(connection);
        connection.setCloseListener(
                closed -> {
                    releaseSlot();
                    idle.remove(pooledConnection);
                    budget.idle.remove(pooledConnection);
                });
        return pooledConnection;
    }

    /** Takes back a connection after its request: closes it unless it can be used again. */
    void release(PooledConnection pooledConnection, boolean reusable) {
        if (reusable) {
            releaseReusable(pooledConnection);
        } else {
            pooledConnection.close();
        }
    }

    /** Takes back a connection that can be used again; it is idle from now on. */
    public void releaseReusable(PooledConnection pooledConnection) {
        if (retired || !pooledConnection.connection.isOpen()) {
            pooledConnection.close();
            return;
        }
        pooledConnection.idleSince = clock.now();
        idle.addFirst(pooledConnection);
        budget.idle.add(pooledConnection);
        // Whatever comes now, its end or more bytes, makes it useless.
        pooledConnection
                .connection
                .getSourceChannel()
                .setReadListener(
                        source -> closeIdle(pooledConnection, pooledConnection.idleState()));
        pooledConnection.connection.getSourceChannel().resumeReads();
    }

    private void closeIdle(PooledConnection pooledConnection, IdleState state) {
        if (state == IdleState.UNEXPECTED_BYTES) {
            startQuarantine();
        }
        pooledConnection.close();
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
