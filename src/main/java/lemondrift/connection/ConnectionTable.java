package lemondrift.connection;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;

/**
 * The data of each client's connection, in parallel arrays by its index, and a list of the
 * connections in each state. Makes no decisions. Times are in seconds of {@link ProcessPauseClock}.
 */
final class ConnectionTable {
    /** An index that stands for no connection. */
    static final int NONE = -1;

    /**
     * Indexes beyond the limit, for connections that the kernel has already closed but this table
     * has not.
     */
    private static final int SPARE_INDEXES = 16;

    /** For each this many connections of the limit there is one more spare index. */
    private static final int CONNECTIONS_PER_SPARE_INDEX = 16;

    /** The source of each connection; null while the index is free. */
    final ClientSource[] sources;

    /** The key of the source of each connection. */
    final long[] sourceKeys;

    /**
     * Why each connection is going to be closed or was closed; CLIENT_CLOSED as long as the policy
     * has no reason to close it.
     */
    final CloseReason[] closeReasons;

    /** Whether the last response announced for how long the connection stays open. */
    final boolean[] keepAliveAnnounced;

    /**
     * Whether bytes of the next request arrived before the response to the current request was
     * sent.
     */
    final boolean[] pipelined;

    /** Whether the response that is being sent, or was sent last, is forwarded as it arrives. */
    final boolean[] responseStreamed;

    final int[] responseCounts;
    final int[] consecutiveInvalidRequests;
    final double[] acceptedAt;
    final double[] enteredStateAt;

    /** Until when each connection may stay in its state without progress. */
    final double[] deadlines;

    private final ConnectionState[] states;
    private final Map<ConnectionState, ConnectionList> connectionsByState =
            new EnumMap<>(ConnectionState.class);
    private final int configuredMaxConnections;
    private int maxConnections;

    ConnectionTable(ConnectionLimits limits) {
        configuredMaxConnections = limits.maxConnections();
        maxConnections = limits.maxConnections();
        int capacity =
                limits.acceptLimit()
                        + SPARE_INDEXES
                        + limits.acceptLimit() / CONNECTIONS_PER_SPARE_INDEX;
        sources = new ClientSource[capacity];
        sourceKeys = new long[capacity];
        closeReasons = new CloseReason[capacity];
        keepAliveAnnounced = new boolean[capacity];
        pipelined = new boolean[capacity];
        responseStreamed = new boolean[capacity];
        responseCounts = new int[capacity];
        consecutiveInvalidRequests = new int[capacity];
        acceptedAt = new double[capacity];
        enteredStateAt = new double[capacity];
        deadlines = new double[capacity];
        states = new ConnectionState[capacity];
        int[] next = ConnectionList.newLinks(capacity);
        int[] previous = ConnectionList.newLinks(capacity);
        for (ConnectionState state : ConnectionState.values()) {
            connectionsByState.put(state, new ConnectionList(next, previous));
        }
        Arrays.fill(states, ConnectionState.FREE);
        for (int connection = 0; connection < capacity; connection++) {
            connectionsByState.get(ConnectionState.FREE).add(connection);
        }
    }

    int capacity() {
        return states.length;
    }

    ConnectionState state(int connection) {
        return states[connection];
    }

    boolean isIn(int connection, ConnectionState state) {
        return states[connection] == state;
    }

    void enter(int connection, ConnectionState state, double now) {
        connectionsByState.get(states[connection]).remove(connection);
        connectionsByState.get(state).add(connection);
        states[connection] = state;
        enteredStateAt[connection] = now;
    }

    double secondsInState(int connection, double now) {
        return now - enteredStateAt[connection];
    }

    /**
     * Initializes the data of a new connection under a free index. The caller then enters it into
     * its state.
     */
    void reset(int connection, double now) {
        closeReasons[connection] = CloseReason.CLIENT_CLOSED;
        keepAliveAnnounced[connection] = false;
        pipelined[connection] = false;
        responseStreamed[connection] = false;
        responseCounts[connection] = 0;
        consecutiveInvalidRequests[connection] = 0;
        acceptedAt[connection] = now;
    }

    /** Returns the connection that has been in a state for longest, or NONE. */
    int first(ConnectionState state) {
        return connectionsByState.get(state).first();
    }

    /** Returns the connection that entered the same state next, or NONE. */
    int after(int connection) {
        return connectionsByState.get(states[connection]).after(connection);
    }

    int count(ConnectionState state) {
        return connectionsByState.get(state).size();
    }

    int openCount() {
        return states.length - count(ConnectionState.FREE);
    }

    /**
     * Returns the number of connections above which some are evicted, 1 to the configured limit.
     */
    int maxConnections() {
        return maxConnections;
    }

    void setMaxConnections(int connections) {
        maxConnections = Math.min(configuredMaxConnections, Math.max(1, connections));
    }

    boolean isOverLimit() {
        return openCount() > maxConnections;
    }
}
