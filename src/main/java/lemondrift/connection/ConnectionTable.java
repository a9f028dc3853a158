package lemondrift.connection;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;

/**
 * The facts about each client's connection, in parallel arrays under its index, and for each state
 * the connections in it. Decides nothing. Times are in seconds of {@link ProcessPauseClock}.
 */
final class ConnectionTable {
    /** Stands for no connection where an index is expected. */
    static final int NONE = -1;

    /** Indexes beyond the limit for closes that the kernel has seen and this table has not. */
    private static final int SPARE_INDEXES = 16;

    /** One more spare index for each so many connections of the limit. */
    private static final int CONNECTIONS_PER_SPARE_INDEX = 16;

    /** Whose connection it is, null while the index is free. */
    final ClientSource[] sources;

    /** The key under which the source is found. */
    final long[] sourceKeys;

    /** Why it is to be closed, or was; CLIENT_CLOSED as long as the policy has no reason to. */
    final CloseReason[] closeReasons;

    /** Whether the last response announced for how long the connection stays open. */
    final boolean[] keepAliveAnnounced;

    /** Whether bytes of the next request came before the response to the present one was out. */
    final boolean[] pipelined;

    final int[] responseCounts;
    final int[] consecutiveInvalidRequests;
    final double[] acceptedAt;
    final double[] enteredStateAt;

    /** Until when it may stay in its state without progress. */
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

    /** A new connection takes an index; the caller enters it into its state. */
    void reset(int connection, double now) {
        closeReasons[connection] = CloseReason.CLIENT_CLOSED;
        keepAliveAnnounced[connection] = false;
        pipelined[connection] = false;
        responseCounts[connection] = 0;
        consecutiveInvalidRequests[connection] = 0;
        acceptedAt[connection] = now;
    }

    /** The connection that has been longest in a state, or NONE. */
    int first(ConnectionState state) {
        return connectionsByState.get(state).first();
    }

    /** The next one in the same state, or NONE. */
    int after(int connection) {
        return connectionsByState.get(states[connection]).after(connection);
    }

    int count(ConnectionState state) {
        return connectionsByState.get(state).size();
    }

    int openCount() {
        return states.length - count(ConnectionState.FREE);
    }

    /** How many connections are to stay open, 1 to the configured limit. */
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
