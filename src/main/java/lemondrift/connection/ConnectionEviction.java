package lemondrift.connection;

import java.util.function.IntConsumer;
import java.util.function.IntPredicate;

/**
 * Which connections are closed while there are more than there should be. Candidates are, within a
 * source, first those without a byte, then first requests that take too long, then the longest
 * idle; {@link FairEviction} chooses between sources. A connection with a complete request is never
 * one.
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
     * Evicts from a table.
     *
     * @param hasNoUnreadBytes whether no unread byte waits on a connection
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

    /** Closes connections until there are no more than there should be, or no candidate is left. */
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

    /** Guards against heads without end that keep all others out; none was answered before. */
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

    /** Guards against losing a request that came and waits unread after a pause of the process. */
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
