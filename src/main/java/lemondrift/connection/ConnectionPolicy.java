package lemondrift.connection;

import java.util.EnumSet;
import java.util.Set;

/**
 * Decides which client connections are accepted, how long each may stay in its state, which stay
 * open after a response, and which are evicted when there are too many. The caller reports the
 * events of each connection, with the time in seconds, and executes the decisions; this class has
 * no sockets. A connection is identified by an index until it is closed.
 */
public final class ConnectionPolicy {
    /** The actions that the policy requests on the sockets. */
    public interface Actions {
        /**
         * Returns whether no unread byte waits on a connection. Reads from the socket, which may
         * find that the client has closed: the connection may be closed, and {@link
         * ConnectionPolicy#closed} called, before this returns.
         */
        boolean hasNoUnreadBytes(int connection);

        /**
         * Closes a connection at once; {@link ConnectionPolicy#closed} is called before this
         * returns.
         */
        void close(int connection, CloseReason reason);
    }

    /** Returned by {@link #accepted} if no index is free. */
    public static final int NO_CONNECTION = ConnectionTable.NONE;

    /**
     * The number of consecutive invalid requests at which a connection closes with the response.
     */
    private static final int MAX_CONSECUTIVE_INVALID_REQUESTS = 6;

    /**
     * The credit of a request that was rejected or failed, relative to a typical request that was
     * served. It is not 0 because the client is not at fault.
     */
    private static final double UNSERVED_CREDIT = 0.25;

    /** The states in which received bytes belong to the current request. */
    private static final Set<ConnectionState> STATES_READING_REQUEST =
            EnumSet.of(
                    ConnectionState.READING_HEAD,
                    ConnectionState.READING_BODY,
                    ConnectionState.AWAITING_BACKEND,
                    ConnectionState.DISCARDING_REQUEST);

    /** The states in which the client is not at fault if its connection closes. */
    private static final Set<ConnectionState> STATES_AWAITING_PROXY =
            EnumSet.of(ConnectionState.AWAITING_BACKEND, ConnectionState.AWAITING_RESPONSE);

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
     * Creates a policy without connections.
     *
     * @param seed the seed of the random choice of connections that are kept open to learn from
     *     them
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
                        connection -> closeUnlessUnread(connection, CloseReason.EVICTED),
                        connection -> close(connection, CloseReason.EVICTED));
    }

    /**
     * Returns the earliest time from which a request that is read now may have waited unread: now,
     * unless the process was just paused.
     */
    public double unreadSince(double now) {
        return pauseClock.unreadSince(now);
    }

    /**
     * Called when a connection was accepted.
     *
     * @param address a number that identifies the client's address, 0 or more
     * @return the index of the connection, or {@link #NO_CONNECTION} if it must be closed at once
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

    /** Returns the number of indexes: each index is from 0 to this number minus 1. */
    public int capacity() {
        return connections.capacity();
    }

    /**
     * Sets the number of connections above which some are evicted, bounded to 1 and the configured
     * limit.
     */
    public void setMaxConnections(int maxConnections) {
        connections.setMaxConnections(maxConnections);
    }

    /** Returns whether there are more connections than the limit, so that some must be evicted. */
    public boolean isOverLimit() {
        return connections.isOverLimit();
    }

    /**
     * Called when bytes were received on a connection.
     *
     * @param bytes the number of bytes, 1 or more
     */
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
        } else if (STATES_READING_REQUEST.contains(state)) {
            deadlines.extendReadDeadline(connection, bytes, time);
        } else {
            connections.pipelined[connection] = true;
        }
    }

    /**
     * Called when the head of a request was read. The head may have arrived together with the end
     * of the previous request. Ignored if the connection is closed.
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

    /**
     * Called when the body of a request is not read on until a backend has taken more of it. From
     * now on no time counts against the client.
     */
    public void bodyReadPaused(int connection, double now) {
        if (connections.isIn(connection, ConnectionState.READING_BODY)) {
            connections.enter(
                    connection, ConnectionState.AWAITING_BACKEND, pauseClock.runningTime(now));
        }
    }

    /** Called when more of the body is awaited from the client after {@link #bodyReadPaused}. */
    public void bodyReadResumed(int connection, double now) {
        double time = pauseClock.runningTime(now);
        if (connections.isIn(connection, ConnectionState.AWAITING_BACKEND)) {
            deadlines.postponeReadDeadline(connection, time);
            connections.enter(connection, ConnectionState.READING_BODY, time);
        }
    }

    /**
     * Called when a request was completely read.
     *
     * @param tenant the index of the request's tenant, 0 or more
     */
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
     * Called when a response is ready to be sent on a connection. Decides whether the connection
     * closes with it: this loses no request, whereas a close between requests can cross a request
     * in transit.
     *
     * @return whether the connection stays open after the response
     */
    public boolean responseReady(int connection, double now) {
        double time = pauseClock.runningTime(now);
        connections.responseCounts[connection]++;
        connections.responseStreamed[connection] = false;
        deadlines.setWriteDeadline(connection, time);
        connections.enter(connection, ConnectionState.SENDING_RESPONSE, time);
        CloseReason reason = reasonToCloseWithResponse(connection, time);
        boolean keepsOpen = reason == CloseReason.CLIENT_CLOSED;
        connections.closeReasons[connection] = reason;
        connections.keepAliveAnnounced[connection] = keepsOpen && keepAlive.mayAnnounce();
        return keepsOpen;
    }

    /** Returns why a connection closes with its response; CLIENT_CLOSED if it stays open. */
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

    /**
     * Returns the Keep-Alive timeout that the response announces, in whole seconds; 0 if it
     * announces none.
     */
    public int announcedKeepAliveSeconds(int connection) {
        return connections.keepAliveAnnounced[connection] ? (int) limits.maxIdleSeconds() : 0;
    }

    /**
     * Called when more bytes of a streamed response are available to be sent. Guards against
     * closing a client's connection because of a slow backend.
     */
    public void responseBytesAvailable(int connection, double now) {
        if (connections.isIn(connection, ConnectionState.SENDING_RESPONSE)) {
            connections.responseStreamed[connection] = true;
            deadlines.setWriteDeadline(connection, pauseClock.runningTime(now));
        }
    }

    /** Called when bytes of a response were written to the client's connection. */
    public void bytesSent(int connection, int bytes, double now) {
        double time = pauseClock.runningTime(now);
        if (connections.isIn(connection, ConnectionState.SENDING_RESPONSE)) {
            deadlines.extendWriteDeadline(connection, bytes, time);
        }
    }

    /**
     * Called when a response was completely sent.
     *
     * @param priorityWeight the priority weight of the request; 0 if the request was rejected or
     *     failed, negative if no request was open
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
        // Bytes that arrived before the response was sent begin the next request, unless its head
        // has already been read.
        deadlines.setReadDeadline(connection, time);
        connections.enter(
                connection,
                connections.pipelined[connection]
                        ? ConnectionState.READING_HEAD
                        : ConnectionState.IDLE,
                time);
    }

    /**
     * Called when a request is invalid and is going to be refused. {@link #responseReady} follows,
     * as for any response. Ignored if the connection is closed.
     */
    public void invalidRequestReceived(int connection, double now) {
        if (connections.isIn(connection, ConnectionState.FREE)) {
            return;
        }
        connections.consecutiveInvalidRequests[connection]++;
        connections.sources[connection].addCost(
                pauseClock.runningTime(now), limits.halfLifeSeconds());
    }

    /**
     * Starts a pause in which a connection is not read, after the response to an invalid request
     * was sent. Guards against clients that send the same request again at once and use up the CPU.
     *
     * @return the duration of the pause in seconds, which doubles with each invalid request of the
     *     connection or of its source, up to a maximum
     */
    public double startReadPause(int connection, double now) {
        double time = pauseClock.runningTime(now);
        connections.enter(connection, ConnectionState.READ_PAUSED, time);
        double invalidRequests =
                Math.max(
                        connections.consecutiveInvalidRequests[connection],
                        connections.sources[connection].netCost(time, limits.halfLifeSeconds()));
        double pauseSeconds =
                limits.firstReadPauseSeconds()
                        * Math.scalb(1.0, (int) Math.max(0, invalidRequests - 1));
        return Math.min(limits.maxReadPauseSeconds(), pauseSeconds);
    }

    /**
     * Called when a response was sent before its request had been read completely, and the rest of
     * the request is read and dropped. The connection is closed after that, or at a deadline.
     */
    public void discardingRequest(int connection, double now) {
        double time = pauseClock.runningTime(now);
        deadlines.setReadDeadline(connection, time);
        connections.enter(connection, ConnectionState.DISCARDING_REQUEST, time);
    }

    /**
     * Called when a connection was closed by either side. Its index is free for another connection
     * from now on. Ignored if the connection is already closed.
     */
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
        if (connections.responseCounts[connection] == 0 && !STATES_AWAITING_PROXY.contains(state)) {
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

    /**
     * Closes a connection unless an unread byte waits on it. The check may find that the client has
     * closed the connection.
     *
     * @return whether the connection is closed now
     */
    private boolean closeUnlessUnread(int connection, CloseReason reason) {
        if (!actions.hasNoUnreadBytes(connection)) {
            return false;
        }
        if (!connections.isIn(connection, ConnectionState.FREE)) {
            close(connection, reason);
        }
        return true;
    }

    /**
     * Evicts connections above the limit. Must be called after each batch of accepted connections
     * and before each {@link #sweep}.
     */
    public void evictExcess(double now) {
        eviction.evictExcess(pauseClock.runningTime(now));
    }

    /**
     * Closes overdue connections. Must be called at least once every {@link
     * ConnectionLimits#sweepIntervalSeconds}.
     */
    public void sweep(double now) {
        double time = pauseClock.runningTime(now);
        keepAlive.updateIdleLimits(time);
        for (int connection = 0; connection < connections.capacity(); connection++) {
            CloseReason reason = deadlines.reasonToClose(connection, time);
            if (reason == null) {
                continue;
            }
            if (hasRequest(connection)) {
                close(connection, reason);
            } else {
                closeUnlessUnread(connection, reason);
            }
        }
    }

    private boolean hasRequest(int connection) {
        return !connections.isIn(connection, ConnectionState.NEW)
                && !connections.isIn(connection, ConnectionState.IDLE);
    }

    /**
     * Starts a drain: every response closes its connection from now on, and connections without a
     * request are closed one by one.
     *
     * @param until the time by which all of them are closed
     */
    public void startDrain(double now, double until) {
        drain.start(pauseClock.runningTime(now), now, until);
    }

    /** Ends the drain: connections that are still open stay open. */
    public void stopDrain() {
        drain.stop();
    }

    /**
     * Closes every connection on which no response is being sent, except those that were sent their
     * closing response. Used at the end of a drain, when no more requests are served.
     */
    public void closeAllWithoutResponse() {
        for (int connection = 0; connection < connections.capacity(); connection++) {
            if (drain.mayCloseAtEnd(connection)) {
                close(connection, CloseReason.DRAINING);
            }
        }
    }

    /**
     * Returns whether no connection is open, except those that were sent the closing response of
     * the drain and had enough time to read it.
     */
    public boolean isDrained(double now) {
        return drain.isDone(pauseClock.runningTime(now));
    }

    /** Returns how many connections are in a state; for FREE, the number of free indexes. */
    public int count(ConnectionState state) {
        return connections.count(state);
    }

    /** Returns how many connections were closed for a reason. */
    public long closedCount(CloseReason reason) {
        return counts.closed(reason);
    }

    ConnectionState state(int connection) {
        return connections.state(connection);
    }

    int sourceCount() {
        return sources.size();
    }

    /**
     * Returns the number of connections in each state, of closed ones by reason, and of refused
     * ones, as key=value pairs for a log line.
     */
    public String summary() {
        return counts.summary(connections);
    }
}
