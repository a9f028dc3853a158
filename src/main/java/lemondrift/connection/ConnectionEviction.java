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
    private final IntPredicate closeUnlessUnread;
    private final IntConsumer close;

    /**
     * Creates the eviction for a table.
     *
     * @param closeUnlessUnread closes a connection on which no unread byte waits; returns whether
     *     it is closed
     * @param close closes a connection at once
     */
    ConnectionEviction(
            ConnectionLimits limits,
            ConnectionTable connections,
            IntPredicate closeUnlessUnread,
            IntConsumer close) {
        this.limits = limits;
        this.connections = connections;
        this.closeUnlessUnread = closeUnlessUnread;
        this.close = close;
    }

    /** Closes connections until the limit is met or no candidate is left. */
    void evictExcess(double now) {
        if (!connections.isOverLimit()) {
            return;
        }
        FairEviction eviction = new FairEviction(connections.capacity(), limits.halfLifeSeconds());
        addConnectionsWithoutFirstByte(eviction, now);
        for (ConnectionState state : STATES_READING_REQUEST) {
            addSlowFirstRequests(eviction, state, now);
        }
        addIdleConnections(eviction);
        eviction.evict(
                connections.openCount() - connections.maxConnections(),
                now,
                this::evictUnlessUnread);
    }

    private void addConnectionsWithoutFirstByte(FairEviction eviction, double now) {
        for (int connection = connections.first(ConnectionState.NEW);
                connection != ConnectionTable.NONE;
                connection = connections.after(connection)) {
            if (ageSeconds(connection, now) > limits.evictionGraceSeconds()) {
                eviction.addCandidate(connection, connections.sources[connection]);
            }
        }
    }

    /**
     * Adds connections whose first request takes too long. Guards against clients whose requests
     * never end and that keep all other clients out. Connections that have had a response are not
     * added.
     */
    private void addSlowFirstRequests(FairEviction eviction, ConnectionState state, double now) {
        for (int connection = connections.first(state);
                connection != ConnectionTable.NONE;
                connection = connections.after(connection)) {
            if (connections.responseCounts[connection] == 0
                    && ageSeconds(connection, now) > 2 * limits.evictionGraceSeconds()) {
                eviction.addCandidate(connection, connections.sources[connection]);
            }
        }
    }

    private void addIdleConnections(FairEviction eviction) {
        for (int connection = connections.first(ConnectionState.IDLE);
                connection != ConnectionTable.NONE;
                connection = connections.after(connection)) {
            if (!connections.keepAliveAnnounced[connection]) {
                eviction.addCandidate(connection, connections.sources[connection]);
            }
        }
    }

    private double ageSeconds(int connection, double now) {
        return now - connections.acceptedAt[connection];
    }

    /**
     * Closes a connection that has no unread bytes, or whose first request is incomplete; returns
     * whether it is closed. Guards against losing a request that waits unread after a pause of the
     * process.
     */
    private boolean evictUnlessUnread(int connection) {
        boolean isFirstRequest =
                connections.responseCounts[connection] == 0
                        && !connections.isIn(connection, ConnectionState.NEW);
        if (!isFirstRequest) {
            return closeUnlessUnread.test(connection);
        }
        close.accept(connection);
        return true;
    }
}
