package lemondrift.connection;

/**
 * Limits how long a connection may stay in its state. A request that is being received and a
 * response that is being sent must make progress: each byte extends the deadline by the time it
 * takes at the minimum rate, but never to more than the state's timeout from now.
 *
 * <table>
 * <caption>What closes a connection in each state</caption>
 * <tr><td>NEW</td><td>first-byte timeout: NO_REQUEST</td></tr>
 * <tr><td>READING_HEAD, READING_BODY</td><td>read timeout: SLOW_REQUEST; for the first head of a
 * connection also the first-head timeout, counted from its accept</td></tr>
 * <tr><td>DISCARDING_REQUEST</td><td>read timeout, or write timeout from its start:
 * SLOW_REQUEST</td></tr>
 * <tr><td>SENDING_RESPONSE</td><td>write timeout: SLOW_READER</td></tr>
 * <tr><td>IDLE</td><td>longest idle time: IDLE_TIMEOUT; learned idle limit:
 * REUSE_UNLIKELY</td></tr>
 * <tr><td>NEW, IDLE</td><td>its close time in a drain: DRAINING</td></tr>
 * </table>
 */
final class ConnectionDeadlines {
    private final ConnectionLimits limits;
    private final ConnectionTable connections;
    private final KeepAlivePolicy keepAlive;
    private final ConnectionDrain drain;

    ConnectionDeadlines(
            ConnectionLimits limits,
            ConnectionTable connections,
            KeepAlivePolicy keepAlive,
            ConnectionDrain drain) {
        this.limits = limits;
        this.connections = connections;
        this.keepAlive = keepAlive;
        this.drain = drain;
    }

    void setFirstByteDeadline(int connection, double now) {
        connections.deadlines[connection] = now + limits.firstByteTimeoutSeconds();
    }

    /**
     * Sets the deadline of the first head. Guards against a client that sends one late byte and so
     * holds its connection slot twice as long.
     */
    void setFirstHeadDeadline(int connection, double now) {
        connections.deadlines[connection] =
                Math.min(
                        now + limits.readTimeoutSeconds(),
                        connections.acceptedAt[connection] + limits.firstHeadTimeoutSeconds());
    }

    void setReadDeadline(int connection, double now) {
        connections.deadlines[connection] = now + limits.readTimeoutSeconds();
    }

    void extendReadDeadline(int connection, int bytes, double now) {
        extendDeadline(connection, bytes, limits.readTimeoutSeconds(), now);
    }

    /** Moves the read deadline on by the time that the connection has been in its state. */
    void postponeReadDeadline(int connection, double now) {
        connections.deadlines[connection] =
                Math.min(
                        now + limits.readTimeoutSeconds(),
                        connections.deadlines[connection]
                                + connections.secondsInState(connection, now));
    }

    void setWriteDeadline(int connection, double now) {
        connections.deadlines[connection] = now + limits.writeTimeoutSeconds();
    }

    void extendWriteDeadline(int connection, int bytes, double now) {
        extendDeadline(connection, bytes, limits.writeTimeoutSeconds(), now);
    }

    private void extendDeadline(int connection, int bytes, double timeoutSeconds, double now) {
        connections.deadlines[connection] =
                Math.min(
                        now + timeoutSeconds,
                        connections.deadlines[connection] + bytes / limits.minBytesPerSecond());
    }

    /** Returns why a connection must be closed now; null if it may stay open. */
    CloseReason reasonToClose(int connection, double now) {
        boolean isOverdue = now > connections.deadlines[connection];
        return switch (connections.state(connection)) {
            case NEW -> isOverdue ? CloseReason.NO_REQUEST : reasonToCloseInDrain(connection, now);
            case READING_HEAD, READING_BODY -> isOverdue ? CloseReason.SLOW_REQUEST : null;
            case SENDING_RESPONSE -> isOverdue ? CloseReason.SLOW_READER : null;
            case DISCARDING_REQUEST ->
                    isOverdue || isDiscardingTooLong(connection, now)
                            ? CloseReason.SLOW_REQUEST
                            : null;
            case IDLE -> reasonToCloseIdle(connection, now);
            case FREE, AWAITING_BACKEND, AWAITING_RESPONSE, READ_PAUSED -> null;
        };
    }

    private boolean isDiscardingTooLong(int connection, double now) {
        return connections.secondsInState(connection, now) > limits.writeTimeoutSeconds();
    }

    private CloseReason reasonToCloseIdle(int connection, double now) {
        double idleSeconds = connections.secondsInState(connection, now);
        if (idleSeconds > limits.maxIdleSeconds()) {
            return CloseReason.IDLE_TIMEOUT;
        }
        if (idleSeconds > keepAlive.idleLimitSeconds(connection)
                && !connections.keepAliveAnnounced[connection]) {
            return CloseReason.REUSE_UNLIKELY;
        }
        return reasonToCloseInDrain(connection, now);
    }

    private CloseReason reasonToCloseInDrain(int connection, double now) {
        return drain.isDue(connection, now) ? CloseReason.DRAINING : null;
    }
}
