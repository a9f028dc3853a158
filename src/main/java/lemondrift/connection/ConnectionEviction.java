package lemondrift.connection;

import java.util.function.IntConsumer;
import java.util.function.IntPredicate;

/**
 * Closes connections while there are more than the limit. The candidates of a source are, in this
 * order: connections without a first byte, connections whose first request takes too long, and idle
 * connections, the longest idle first. {@link FairEviction} chooses between sources. A connection
 * with a complete request, or whose body waits for a backend, is never a candidate.
 */
final class ConnectionEviction {
    private static final ConnectionState[] STATES_READING_REQUEST = {
        ConnectionState.READING_HEAD, ConnectionState.READING_BODY
    };

    private final ConnectionLimits limits;
    private final ConnectionTable connections;
    private final FairEviction fairEviction;
    private final IntPredicate hasNoUnreadBytes;
    private final IntConsumer close;

    /**
     * Creates the eviction for a table.
     *
     * @param hasNoUnreadBytes returns whether no unread byte waits on a connection
     * @param close closes a connection at once
     */
    ConnectionEviction(
            ConnectionLimits limits,
            ConnectionTable connections,
            IntPredicate hasNoUnreadBytes,
            IntConsumer close) {
        this.limits = limits;
        this.connections = connections;
        this.hasNoUnreadBytes = hasNoUnreadBytes;
        this.close = close;
        fairEviction = new FairEviction(connections.capacity(), limits.halfLifeSeconds());
    }

    /** Closes connections until the limit is met or no candidate is left. */
    void evictExcess(double now) {
        if (!connections.isOverLimit()) {
            return;
        }
        addConnectionsWithoutFirstByte(now);
        for (ConnectionState state : STATES_READING_REQUEST) {
            addSlowFirstRequests(state, now);
        }
        addIdleConnections();
        fairEviction.evict(
                connections.openCount() - connections.maxConnections(),
                now,
                this::evictIfNoUnreadBytes);
    }

    private void addConnectionsWithoutFirstByte(double now) {
        for (int connection = connections.first(ConnectionState.NEW);
                connection != ConnectionTable.NONE;
                connection = connections.after(connection)) {
            if (ageSeconds(connection, now) > limits.evictionGraceSeconds()) {
                addCandidate(connection);
            }
        }
    }

    /**
     * Adds connections whose first request takes too long. Guards against clients whose requests
     * never end and that keep all other clients out. Connections that have had a response are not
     * added.
     */
    private void addSlowFirstRequests(ConnectionState state, double now) {
        for (int connection = connections.first(state);
                connection != ConnectionTable.NONE;
                connection = connections.after(connection)) {
            if (connections.responseCounts[connection] == 0
                    && ageSeconds(connection, now) > 2 * limits.evictionGraceSeconds()) {
                addCandidate(connection);
            }
        }
    }

    private void addIdleConnections() {
        for (int connection = connections.first(ConnectionState.IDLE);
                connection != ConnectionTable.NONE;
                connection = connections.after(connection)) {
            if (!connections.keepAliveAnnounced[connection]) {
                addCandidate(connection);
            }
        }
    }

    private double ageSeconds(int connection, double now) {
        return now - connections.acceptedAt[connection];
    }

    private void addCandidate(int connection) {
        fairEviction.addCandidate(connection, connections.sources[connection]);
    }

    /**
     * Closes a connection that has no unread bytes, or whose first request is incomplete; returns
     * whether it did. Guards against losing a request that waits unread after a pause of the
     * process.
     */
    private boolean evictIfNoUnreadBytes(int connection) {
        boolean isFirstRequest =
                connections.responseCounts[connection] == 0
                        && !connections.isIn(connection, ConnectionState.NEW);
        boolean evicts = isFirstRequest || hasNoUnreadBytes.test(connection);
        if (evicts) {
            close.accept(connection);
        }
        return evicts;
    }
}
