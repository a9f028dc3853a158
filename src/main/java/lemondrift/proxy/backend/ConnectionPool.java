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
 * A bounded pool of connections to one address, with one request at a time on each connection. The
 * connection that has been idle longest is used first. A byte that arrives on an idle connection
 * closes it. I/O thread only.
 */
public final class ConnectionPool {
    /** A connection of the pool, in use for one request or idle. */
    public static final class PooledConnection {
        /** The socket. */
        public final StreamConnection connection;

        /** The time at which the connection became idle; not valid while it is in use. */
        private double idleSince;

        private PooledConnection(StreamConnection connection) {
            this.connection = connection;
        }

        void close() {
            IoUtils.safeClose(connection);
        }

        /** Determines the state by reading a byte, which an idle connection should not have. */
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

    /** The state of an idle connection's socket. */
    private enum IdleState {
        /** Open, and no byte has arrived: the connection can be used. */
        QUIET,
        /** Bytes have arrived that belong to no response. */
        UNEXPECTED_BYTES,
        /** The backend has closed the connection, or it is broken. */
        CLOSED
    }

    /**
     * The state that several pools share: how many connections all of them together may open, their
     * idle connections, and whether connections are quarantined after a response.
     */
    public static final class ConnectionBudget {
        private int maxConnections;

        /** The time until which connections are quarantined after a response. */
        private double quarantineUntil = Double.NEGATIVE_INFINITY;

        /** The idle connections of all pools, longest idle first. */
        private final Set<PooledConnection> idle = new LinkedHashSet<>();

        /** The slots in use, by connections or by attempts to connect. */
        private int reservedSlots;

        /** Creates a budget for a number of connections. */
        public ConnectionBudget(int maxConnections) {
            this.maxConnections = maxConnections;
        }

        /** Changes the limit; idle connections are closed while it is exceeded. */
        void setMaxConnections(int maxConnections) {
            this.maxConnections = maxConnections;
            while (reservedSlots > maxConnections && !idle.isEmpty()) {
                closeLongestIdle();
            }
        }

        /**
         * Closes the longest idle connection if the budget is used up; returns whether another
         * connection may be opened. Guards against idle connections to other backends that prevent
         * one to the chosen backend.
         */
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
     * The quarantine of connections after a response: while it is active, a connection is not
     * reused until it has been idle for some time. It becomes active when a backend sends bytes
     * beyond its response.
     *
     * @param minIdleSeconds how long a connection must have been idle to be reused
     * @param activeSeconds how long the quarantine stays active after unexpected bytes
     */
    public record Quarantine(double minIdleSeconds, double activeSeconds) {
        /** No quarantine: connections are reused immediately. */
        public static final Quarantine NONE = new Quarantine(0, 0);
    }

    /** The remote address of all connections. */
    public final InetSocketAddress address;

    final XnioIoThread ioThread;
    final BackendConnector connector;
    final ByteBufferPool bufferPool;
    final MonotonicClock clock;
    private final ConnectionBudget budget;
    private final int maxConnections;
    private final Quarantine quarantine;

    /** The idle connections of this pool, longest idle last. */
    private final Deque<PooledConnection> idle = new ArrayDeque<>();

    /** The slots of this pool in use, by connections or by attempts to connect. */
    private int reservedSlots;

    private boolean retired;

    /**
     * Creates an empty pool.
     *
     * @param budget the shared budget, against which all connections of this pool count, too
     * @param maxConnections the maximum number of connections of this pool
     */
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
     * Takes the connection that has been idle longest and is not in quarantine. Guards against late
     * bytes or a late close after a response, which would affect the next request.
     *
     * @return the connection; null if there is none
     */
    PooledConnection takeUnquarantined() {
        double now = clock.now();
        return takeIdleSince(now < budget.quarantineUntil ? now - quarantine.minIdleSeconds : now);
    }

    /** Takes the connection that has been idle longest, even in quarantine; null if none. */
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

    /** Activates the quarantine, as a backend has sent bytes beyond its response. */
    void startQuarantine() {
        budget.quarantineUntil = clock.now() + quarantine.activeSeconds;
    }

    /** Reserves a slot for another connection; returns false if none may be opened. */
    public boolean tryReserveSlot() {
        if (reservedSlots >= maxConnections || !budget.makeRoom()) {
            return false;
        }
        reservedSlots++;
        budget.reservedSlots++;
        return true;
    }

    /** Frees a reserved slot, as its connection is closed or could not be established. */
    void releaseSlot() {
        reservedSlots--;
        budget.reservedSlots--;
    }

    /** Adds a connection that was established for a reserved slot; it counts as in use. */
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

    /** Returns a connection to the pool after its request, or closes it if it is not reusable. */
    void release(PooledConnection pooledConnection, boolean reusable) {
        if (reusable) {
            releaseReusable(pooledConnection);
        } else {
            pooledConnection.close();
        }
    }

    /** Returns a reusable connection to the pool; closes it if the pool is retired. */
    public void releaseReusable(PooledConnection pooledConnection) {
        if (retired || !pooledConnection.connection.isOpen()) {
            pooledConnection.close();
            return;
        }
        pooledConnection.idleSince = clock.now();
        idle.addFirst(pooledConnection);
        budget.idle.add(pooledConnection);
        // Any event now, a close or more bytes, makes the connection unusable.
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

    /** Retires the pool: idle connections close now, busy ones when their request ends. */
    public void retire() {
        retired = true;
        closeIdleSince(Double.POSITIVE_INFINITY);
    }

    boolean isRetired() {
        return retired;
    }

    /** Closes the connections that have been idle since an instant or longer. */
    void closeIdleSince(double instant) {
        while (!idle.isEmpty() && idle.peekLast().idleSince <= instant) {
            idle.pollLast().close();
        }
    }
}
