package lemondrift.connection;

import java.util.Arrays;

/**
 * Closes the clients' connections during a graceful shutdown: every response closes its connection,
 * and connections without a request are closed one by one over a time span. Guards against all
 * clients reconnecting to the other proxies at the same instant.
 */
final class ConnectionDrain {
    private static final ConnectionState[] STATES_WITHOUT_REQUEST = {
        ConnectionState.IDLE, ConnectionState.NEW
    };

    /** States of a connection whose response may have promised that it stays open. */
    private static final ConnectionState[] STATES_WITH_RESPONSE = {
        ConnectionState.SENDING_RESPONSE, ConnectionState.READ_PAUSED
    };

    private final ConnectionLimits limits;
    private final ConnectionTable connections;

    /**
     * When each connection is closed if it has no request at that time; infinity without a drain.
     */
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
     * @param now the current time on the clock of {@code until}
     * @param until the time by which all connections without a request are closed
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
        closeAfterResponse();
    }

    /**
     * Sets the close time of connections whose current response keeps them open. Guards against
     * connections that stay idle after a response that began before the drain and ends late in it.
     */
    private void closeAfterResponse() {
        for (ConnectionState state : STATES_WITH_RESPONSE) {
            for (int connection = connections.first(state);
                    connection != ConnectionTable.NONE;
                    connection = connections.after(connection)) {
                if (connections.closeReasons[connection] == CloseReason.CLIENT_CLOSED) {
                    closeAt[connection] = endsAt;
                }
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

    /**
     * Sets the close time of an accepted connection. A connection accepted during a drain has until
     * the end of the drain to send its request, and at least half the first-byte timeout.
     */
    void connectionAccepted(int connection, double now) {
        closeAt[connection] =
                isDraining(now)
                        ? Math.max(endsAt, now + limits.firstByteTimeoutSeconds() / 2)
                        : Double.POSITIVE_INFINITY;
    }

    /** Returns whether a connection without a request must be closed now. */
    boolean isDue(int connection, double now) {
        return now >= closeAt[connection];
    }

    /**
     * Returns whether no connection is open, except those that were sent their closing response and
     * had enough time to read it.
     */
    boolean isDone(double now) {
        for (int connection = 0; connection < connections.capacity(); connection++) {
            if (!connections.isIn(connection, ConnectionState.FREE)
                    && !hasTakenClosingResponse(connection, now)
                    && !hasDiscardedLongEnough(connection, now)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether an open connection is closed when no more requests are served: no response is
     * being sent on it, nor was its closing response sent.
     */
    boolean mayCloseAtEnd(int connection) {
        return !connections.isIn(connection, ConnectionState.FREE)
                && !connections.isIn(connection, ConnectionState.SENDING_RESPONSE)
                && !isClosingResponseSent(connection);
    }

    /**
     * Returns whether a connection was sent its closing response and had enough time to read it.
     * Guards against a reset that destroys the response in transit: if the process ends with unread
     * bytes on a connection, the kernel sends a reset. A streamed response can fill the kernel's
     * buffers, so its client has as long as an idle connection.
     */
    private boolean hasTakenClosingResponse(int connection, double now) {
        double secondsToRead =
                connections.responseStreamed[connection]
                        ? limits.maxIdleSeconds()
                        : limits.firstReadPauseSeconds();
        return isClosingResponseSent(connection)
                && connections.secondsInState(connection, now) >= secondsToRead;
    }

    /** Returns whether the rest of a rejected request was dropped for long enough. */
    private boolean hasDiscardedLongEnough(int connection, double now) {
        return connections.isIn(connection, ConnectionState.DISCARDING_REQUEST)
                && connections.secondsInState(connection, now) >= limits.maxReadPauseSeconds();
    }

    private boolean isClosingResponseSent(int connection) {
        return connections.closeReasons[connection] == CloseReason.DRAINING
                && (connections.isIn(connection, ConnectionState.IDLE)
                        || connections.isIn(connection, ConnectionState.READING_HEAD));
    }
}
