package lemondrift.connection;

/**
 * Decides about clients' connections: which are accepted, how long each may take for what it is
 * doing, which stay open after a response, and which are evicted when there are too many. The
 * caller reports what happens on each connection, with the time in seconds, and carries out what is
 * decided; there are no sockets here. A connection is an index until it is closed.
 */
public final class ConnectionPolicy {
    /** What the policy has done to the sockets. */
    public interface Actions {
        /** Whether no unread byte waits on a connection; looks at the socket. */
        boolean hasNoUnreadBytes(int connection);

        /**
         * Closes a connection at once; {@link ConnectionPolicy#closed} is called before this
         * returns.
         */
        void close(int connection, CloseReason reason);
    }

    /** What {@link #accepted} returns where there is no place. */
    public static final int NO_CONNECTION = ConnectionTable.NONE;

    /**
     * How many requests in a row may be rejected before the connection closes with the response.
     */
    private static final int MAX_CONSECUTIVE_INVALID_REQUESTS = 6;

    /**
     * The credit of a request that was rejected or failed beside that of a usual one that was
     * served: its client is not at fault.
     */
    private static final double UNSERVED_CREDIT = 0.25;

    private final ConnectionLimits limits;
    private final Actions actions;
    private final ConnectionTable connections;
    private final ProcessPauseClock pauseClock;
    private final ClientSourceTable sources;
    private final KeepAlivePolicy keepAlive;
    private final ConnectionDrain drain;
    private final ConnectionDeadlines deadlines;
    private final ConnectionEviction eviction;
    private final ConnectionCounts counts = new ConnectionCounts();

    /**
     * A policy without connections.
     *
     * @param seed decides which connections are kept open to learn from
     */
    public ConnectionPolicy(ConnectionLimits limits, Actions actions, long seed) {
        this.limits = limits;
        this.actions = actions;
        connections = new ConnectionTable(limits);
        pauseClock = new ProcessPauseClock(limits.sweepIntervalSeconds());
        sources = new ClientSourceTable(limits.sharing(), connections.capacity());
        keepAlive = new KeepAlivePolicy(limits, connections, seed);
        drain = new ConnectionDrain(limits, connections);
        deadlines = new ConnectionDeadlines(limits, connections, keepAlive, drain);
        eviction =
                new ConnectionEviction(
                        limits,
                        connections,
                        actions::hasNoUnreadBytes,
                        connection -> close(connection, CloseReason.EVICTED));
    }

    /**
     * Since when a request that is read now may have waited unread: now, unless the process has
     * just stood still.
     */
    public double unreadSince(double now) {
        return pauseClock.unreadSince(now);
    }

    /**
     * A connection was accepted.
     *
     * @param address tells its client's address from others, 0 or more
     * @return its index, or {@link #NO_CONNECTION} if it must be closed at once
     */
    public int accepted(long address, double now) {
        double time = pauseClock.runningTime(now);
        int connection = connections.first(ConnectionState.FREE);
        if (connection == ConnectionTable.NONE) {
            counts.countRefused();
            return NO_CONNECTION;
        }
        connections.sourceKeys[connection] = address;
        connections.sources[connection] = sources.connect(address);
        connections.reset(connection, time);
        drain.connectionAccepted(connection, time);
        deadlines.setFirstByteDeadline(connection, time);
        connections.enter(connection, ConnectionState.NEW, time);
        return connection;
    }

    /** Connections' indexes are from 0 to under this. */
    public int capacity() {
        return connections.capacity();
    }

    /** How many connections are to stay open from now on, within the configured limit. */
    public void setMaxConnections(int maxConnections) {
        connections.setMaxConnections(maxConnections);
    }

    /** Whether there are more connections than there should be, so that some must be evicted. */
    public boolean isOverLimit() {
        return connections.isOverLimit();
    }

    /** So many bytes came on a connection, 1 or more. */
    public void bytesReceived(int connection, int bytes, double now) {
        double time = pauseClock.runningTime(now);
        ConnectionState state = connections.state(connection);
        if (state == ConnectionState.NEW) {
            deadlines.setFirstHeadDeadline(connection, time);
            connections.enter(connection, ConnectionState.READING_HEAD, time);
        } else if (state == ConnectionState.IDLE) {
            keepAlive.reused(connection, time);
            deadlines.setReadDeadline(connection, time);
            connections.enter(connection, ConnectionState.READING_HEAD, time);
        } else if (state == ConnectionState.READING_HEAD || state == ConnectionState.READING_BODY) {
            deadlines.extendReadDeadline(connection, bytes, time);
        } else {
            connections.pipelined[connection] = true;
        }
    }

    /**
     * The head of a request was read; it may have come in one piece with the end of the request
     * before.
     */
    public void headRead(int connection, double now) {
        double time = pauseClock.runningTime(now);
        if (connections.isIn(connection, ConnectionState.FREE)) {
            return;
        }
        if (connections.isIn(connection, ConnectionState.IDLE)) {
            keepAlive.reused(connection, time);
        }
        connections.pipelined[connection] = false;
        deadlines.setReadDeadline(connection, time);
        connections.enter(connection, ConnectionState.READING_BODY, time);
    }

    /** A request was read whole, of a tenant given as a number that is not negative. */
    public void requestRead(int connection, int tenant, double now) {
        double time = pauseClock.runningTime(now);
        connections.consecutiveInvalidRequests[connection] = 0;
        long tenantKey = ClientSourceTable.tenantKey(tenant);
        if (limits.sharing() == ConnectionLimits.Sharing.TENANT
                && connections.sourceKeys[connection] != tenantKey) {
            sources.disconnect(connections.sourceKeys[connection], connections.sources[connection]);
            connections.sourceKeys[connection] = tenantKey;
            connections.sources[connection] = sources.connect(tenantKey);
        }
        connections.enter(connection, ConnectionState.AWAITING_RESPONSE, time);
    }

    /**
     * A response is ready for a connection. Closing with the response loses nothing, where a close
     * between requests can cross one.
     *
     * @return whether the connection stays open after it
     */
    public boolean responseReady(int connection, double now) {
        double time = pauseClock.runningTime(now);
        connections.responseCounts[connection]++;
        deadlines.setWriteDeadline(connection, time);
        connections.enter(connection, ConnectionState.SENDING_RESPONSE, time);
        CloseReason reason = reasonToCloseWithResponse(connection, time);
        boolean keepsOpen = reason == CloseReason.CLIENT_CLOSED;
        connections.closeReasons[connection] = reason;
        connections.keepAliveAnnounced[connection] = keepsOpen && keepAlive.mayAnnounce();
        return keepsOpen;
    }

    /** Why a connection closes with its response; CLIENT_CLOSED where it stays open. */
    private CloseReason reasonToCloseWithResponse(int connection, double time) {
        if (drain.isDraining(time)) {
            return CloseReason.DRAINING;
        }
        if (connections.consecutiveInvalidRequests[connection]
                >= MAX_CONSECUTIVE_INVALID_REQUESTS) {
            return CloseReason.REPEATEDLY_INVALID;
        }
        return keepAlive.keepsOpen(connection, time)
                ? CloseReason.CLIENT_CLOSED
                : CloseReason.NOT_KEPT_ALIVE;
    }

    /** The Keep-Alive timeout for the response in whole seconds; 0 where none is announced. */
    public int announcedKeepAliveSeconds(int connection) {
        return connections.keepAliveAnnounced[connection] ? (int) limits.maxIdleSeconds() : 0;
    }

    /**
     * More of a response is there to be sent. Guards against blaming a client for what its backend
     * takes long to give.
     */
    public void responseBytesAvailable(int connection, double now) {
        if (connections.isIn(connection, ConnectionState.SENDING_RESPONSE)) {
            deadlines.setWriteDeadline(connection, pauseClock.runningTime(now));
        }
    }

    /** So many bytes of a response were taken by the client. */
    public void bytesSent(int connection, int bytes, double now) {
        double time = pauseClock.runningTime(now);
        if (connections.isIn(connection, ConnectionState.SENDING_RESPONSE)) {
            deadlines.extendWriteDeadline(connection, bytes, time);
        }
    }

    /**
     * A response was sent whole.
     *
     * @param priorityWeight that of the request, 0 where it was rejected or failed, below 0 where
     *     no request was open
     */
    public void responseSent(int connection, double priorityWeight, double now) {
        double time = pauseClock.runningTime(now);
        if (priorityWeight >= 0) {
            double credit =
                    priorityWeight > 0
                            ? priorityWeight / limits.typicalPriorityWeight()
                            : UNSERVED_CREDIT;
            connections.sources[connection].addCredit(credit, time, limits.halfLifeSeconds());
        }
        // What came before the response was out is the next request's beginning, unless its head is
        // read right away.
        deadlines.setReadDeadline(connection, time);
        connections.enter(
                connection,
                connections.pipelined[connection]
                        ? ConnectionState.READING_HEAD
                        : ConnectionState.IDLE,
                time);
    }

    /** A request is to be rejected; {@link #responseReady} follows, as with any response. */
    public void invalidRequestReceived(int connection, double now) {
        if (connections.isIn(connection, ConnectionState.FREE)) {
            return;
        }
        connections.consecutiveInvalidRequests[connection]++;
        connections.sources[connection].addCost(
                pauseClock.runningTime(now), limits.halfLifeSeconds());
    }

    /**
     * The response that rejected a request is out. Guards against clients that send the same again
     * at once and would take all of the processor.
     *
     * @return for how many seconds the connection is not to be read, doubled by each rejection
     */
    public double startReadPause(int connection, double now) {
        double time = pauseClock.runningTime(now);
        connections.enter(connection, ConnectionState.READ_PAUSED, time);
        double rejections =
                Math.max(
                        connections.consecutiveInvalidRequests[connection],
                        connections.sources[connection].netCost(time, limits.halfLifeSeconds()));
        double pauseSeconds =
                limits.firstReadPauseSeconds() * Math.scalb(1.0, (int) Math.max(0, rejections - 1));
        return Math.min(limits.maxReadPauseSeconds(), pauseSeconds);
    }

    /** A connection is closed, by whichever side; its index is free for another one. */
    public void closed(int connection, double now) {
        double time = pauseClock.runningTime(now);
        ConnectionState state = connections.state(connection);
        if (state == ConnectionState.FREE) {
            return;
        }
        CloseReason reason = connections.closeReasons[connection];
        if (state == ConnectionState.IDLE
                && reason != CloseReason.NOT_KEPT_ALIVE
                && reason != CloseReason.DRAINING) {
            keepAlive.closedIdle(connection, time);
        }
        ClientSource source = connections.sources[connection];
        if (connections.responseCounts[connection] == 0
                && state != ConnectionState.AWAITING_RESPONSE) {
            source.addCost(time, limits.halfLifeSeconds());
        }
        counts.countClosed(reason);
        sources.disconnect(connections.sourceKeys[connection], source);
        connections.sources[connection] = null;
        connections.enter(connection, ConnectionState.FREE, time);
    }

    private void close(int connection, CloseReason reason) {
        connections.closeReasons[connection] = reason;
        actions.close(connection, reason);
    }

    /** Closes what is over the limit; to be called once for all that were accepted at a time. */
    public void evictExcess(double now) {
        eviction.evictExcess(pauseClock.runningTime(now));
    }

    /**
     * Closes what has taken too long; to be called every {@link
     * ConnectionLimits#sweepIntervalSeconds} at the least.
     */
    public void sweep(double now) {
        double time = pauseClock.runningTime(now);
        evictExcess(now);
        keepAlive.updateIdleLimits(time);
        for (int connection = 0; connection < connections.capacity(); connection++) {
            CloseReason reason = deadlines.reasonToClose(connection, time);
            if (reason != null
                    && (hasRequest(connection) || actions.hasNoUnreadBytes(connection))) {
                close(connection, reason);
            }
        }
    }

    private boolean hasRequest(int connection) {
        return !connections.isIn(connection, ConnectionState.NEW)
                && !connections.isIn(connection, ConnectionState.IDLE);
    }

    /**
     * Starts a drain: every response closes its connection from now on, and connections without a
     * request are closed one by one until a time.
     */
    public void startDrain(double now, double until) {
        drain.start(pauseClock.runningTime(now), now, until);
    }

    /** Ends the drain: those that are still there stay. */
    public void stopDrain() {
        drain.stop();
    }

    /** Whether the drain has left no connection to which a response is owed. */
    public boolean isDrained(double now) {
        return drain.isDone(pauseClock.runningTime(now));
    }

    /** How many connections are in a state. */
    public int count(ConnectionState state) {
        return connections.count(state);
    }

    /** How many were closed for a reason. */
    public long closedCount(CloseReason reason) {
        return counts.closed(reason);
    }

    ConnectionState state(int connection) {
        return connections.state(connection);
    }

    int sourceCount() {
        return sources.size();
    }

    /** Connections by state and closed ones by reason, as key=value pairs for a log line. */
    public String summary() {
        return counts.summary(connections);
    }
}
