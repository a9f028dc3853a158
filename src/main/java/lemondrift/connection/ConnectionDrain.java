package lemondrift.connection;

import java.util.Arrays;

/**
 * What a graceful shutdown does to clients' connections: every response closes its connection, and
 * those without a request are closed one by one over a span of time. Guards against all clients
 * falling on the other proxies at one instant.
 */
final class ConnectionDrain {
    private static final ConnectionState[] STATES_WITHOUT_REQUEST = {
        ConnectionState.IDLE, ConnectionState.NEW
    };

    private final ConnectionLimits limits;
    private final ConnectionTable connections;

    /** When each connection is to be closed if it has no request then; infinity without a drain. */
    private final double[] closeAt;

    private double startedAt = Double.POSITIVE_INFINITY;
    private double endsAt;

    ConnectionDrain(ConnectionLimits limits, ConnectionTable connections) {
        this.limits = limits;
        this.connections = connections;
        closeAt = new double[connections.capacity()];
    }

    /**
     * Starts a drain.
     *
     * @param runningNow the pause clock's time
     * @param now the time on the clock that the end is given in
     * @param until when all connections without a request are to be closed
     */
    void start(double runningNow, double now, double until) {
        startedAt = runningNow;
        endsAt = startedAt + until - now;
        int count =
                connections.count(ConnectionState.NEW) + connections.count(ConnectionState.IDLE);
        int rank = 0;
        for (ConnectionState state : STATES_WITHOUT_REQUEST) {
            for (int connection = connections.first(state);
                    connection != ConnectionTable.NONE;
                    connection = connections.after(connection)) {
                closeAt[connection] = startedAt + (until - now) * rank++ / count;
            }
        }
    }

    void stop() {
        startedAt = Double.POSITIVE_INFINITY;
        Arrays.fill(closeAt, Double.POSITIVE_INFINITY);
    }

    boolean isDraining(double now) {
        return now >= startedAt;
    }

    /** A connection was accepted, which during a drain has a moment to bring its request. */
    void connectionAccepted(int connection, double now) {
        closeAt[connection] =
                isDraining(now)
                        ? Math.max(endsAt, now + limits.firstByteTimeoutSeconds() / 2)
                        : Double.POSITIVE_INFINITY;
    }

    /** Whether a connection without a request is to be closed now. */
    boolean isDue(int connection, double now) {
        return now >= closeAt[connection];
    }

    /** Whether the drain has left no connection to which a response is owed. */
    boolean isDone(double now) {
        for (int connection = 0; connection < connections.capacity(); connection++) {
            if (!connections.isIn(connection, ConnectionState.FREE)
                    && !hasTakenClosingResponse(connection, now)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Whether a connection has had its closing response and a moment to take it. Guards against a
     * reset that destroys a response on its way: the process's end with bytes unread would send
     * one.
     */
    private boolean hasTakenClosingResponse(int connection, double now) {
        return connections.closeReasons[connection] == CloseReason.DRAINING
                && connections.secondsInState(connection, now) >= limits.firstReadPauseSeconds()
                && (connections.isIn(connection, ConnectionState.IDLE)
                        || connections.isIn(connection, ConnectionState.READING_HEAD));
    }
}
