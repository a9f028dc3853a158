package lemondrift.proxy.client;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import lemondrift.buffer.BodyBufferBudget;
import lemondrift.connection.CloseReason;
import lemondrift.connection.ConnectionLimits;
import lemondrift.connection.ConnectionPolicy;
import lemondrift.connection.ConnectionState;
import lemondrift.metrics.ProxyMetrics;
import lemondrift.model.Request;
import lemondrift.proxy.health.TaskMonitor;
import lemondrift.proxy.health.TaskMonitor.Task;
import lemondrift.proxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * The sockets of all client connections, and the ids of the requests that are open on them. Reports
 * accepted and closed connections to the policy, and closes the connections that the policy
 * chooses. I/O thread only.
 */
final class ClientConnections implements ConnectionPolicy.Actions {
    private static final Logger LOG = LoggerFactory.getLogger(ClientConnections.class);

    /** How many sweeps run in each sweep interval of the policy during a drain. */
    private static final int DRAIN_SWEEPS_PER_INTERVAL = 4;

    /** Seconds after its deadline at which a request that is still open is ended here. */
    private static final double OVERDUE_GRACE_SECONDS = 0.1;

    /** Minimum seconds between two log lines about too many connections. */
    private static final double LOG_INTERVAL_SECONDS = 1;

    private final MonotonicClock clock;
    private final XnioIoThread ioThread;
    private final TaskMonitor tasks;
    private final ConnectionPolicy policy;
    private final ClientConnection.Context context;
    private final double sweepIntervalSeconds;
    private final int maxConnections;
    private final ClientConnection[] byIndex;
    private final Map<StreamConnection, ClientConnection> bySocket = new HashMap<>();
    private final RequestIds requestIds = new RequestIds();

    /** Receives the open request of a connection that has been closed. */
    private final Consumer<Request> onClientClosed;

    private XnioExecutor.Key sweepTimer;
    private boolean evictionQueued;
    private boolean stopped;
    private double overLimitLoggedAt = Double.NEGATIVE_INFINITY;

    ClientConnections(
            MonotonicClock clock,
            XnioIoThread ioThread,
            TaskMonitor tasks,
            ConnectionLimits limits,
            long seed,
            ProxyMetrics metrics,
            BodyBufferBudget readAheadBudget,
            Consumer<Request> onClientClosed) {
        this.clock = clock;
        this.ioThread = ioThread;
        this.tasks = tasks;
        this.onClientClosed = onClientClosed;
        policy = new ConnectionPolicy(limits, this, seed);
        context = new ClientConnection.Context(policy, clock, metrics, readAheadBudget, requestIds);
        sweepIntervalSeconds = limits.sweepIntervalSeconds();
        maxConnections = limits.maxConnections();
        byIndex = new ClientConnection[policy.capacity()];
        // Loads classes now: guards against loading them when no descriptors are left, which fails.
        sweep();
        sweepEvery(sweepIntervalSeconds);
    }

    private void sweepEvery(double seconds) {
        sweepTimer =
                ioThread.executeAtInterval(
                        this::sweep, (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    /** Limits this process to a share, 0 to 1, of the configured connections. */
    void setShare(double share) {
        policy.setMaxConnections((int) (share * maxConnections));
    }

    int openRequestCount() {
        return requestIds.openCount();
    }

    /** Returns the indexes of the request classes of open requests. */
    Set<Integer> classesInUse() {
        return bySocket.values().stream()
                .filter(each -> each.request != null)
                .map(each -> each.request.requestClassIndex)
                .collect(Collectors.toSet());
    }

    /**
     * Returns the arrival time of a request that is read now: the current time, or the start of a
     * pause of the process that has just ended, since the request may have waited during it.
     */
    double requestArrivedAt() {
        return policy.unreadSince(clock.now());
    }

    /** Returns whether a request that is read now may have waited during a process pause. */
    boolean wasProcessPaused() {
        double now = clock.now();
        return policy.unreadSince(now) < now;
    }

    /**
     * Returns whether no connection is open, except those that were sent the closing response of
     * the drain and had enough time to read it.
     */
    boolean isDrained() {
        return policy.isDrained(clock.now());
    }

    /**
     * Returns a deadline for the response to a request whose body is read now.
     *
     * @param bodyLength the length of the body in bytes, negative if it is not known
     */
    UploadDeadline uploadDeadline(ClientConnection connection, long bodyLength) {
        return new UploadDeadline(ioThread, clock, connection.socket, bodyLength);
    }

    /** Returns on how many connections a response is being sent. */
    int sendingCount() {
        return policy.count(ConnectionState.SENDING_RESPONSE);
    }

    /**
     * Closes every connection on which no response is being sent, except those that were sent their
     * closing response.
     */
    void closeAllWithoutResponse() {
        policy.closeAllWithoutResponse();
    }

    /** Returns the connection of a socket; null if it has been closed. */
    ClientConnection find(StreamConnection socket) {
        return bySocket.get(socket);
    }

    /**
     * Registers an accepted connection and passes it to a reader, or closes it if there are too
     * many.
     */
    void accepted(StreamConnection socket, ChannelListener<StreamConnection> reader) {
        int index =
                policy.accepted(
                        addressKey(socket.getPeerAddress(InetSocketAddress.class)), clock.now());
        if (index == ConnectionPolicy.NO_CONNECTION) {
            IoUtils.safeClose(socket);
            return;
        }
        ClientConnection connection = new ClientConnection(socket, index, context);
        byIndex[index] = connection;
        bySocket.put(socket, connection);
        connection.observe();
        reader.handleEvent(socket);
        // Undertow has a close listener of its own, which must run first.
        ChannelListener<? super StreamConnection> undertowListener = socket.getCloseListener();
        socket.setCloseListener(
                closed -> {
                    ChannelListeners.invokeChannelListener(closed, undertowListener);
                    closed(connection);
                });
        if (!socket.isOpen()) {
            closed(connection);
        } else if (policy.isOverLimit() && !evictionQueued) {
            evictionQueued = true;
            ioThread.execute(this::evictExcess);
        }
    }

    /**
     * Returns a number that distinguishes addresses, 0 or more; 0 if the address is unknown. Of an
     * IPv6 address only the /64 network counts, as one client has all of it.
     */
    private static long addressKey(InetSocketAddress peer) {
        InetAddress address = peer == null ? null : peer.getAddress();
        if (address == null) {
            return 0;
        }
        ByteBuffer bytes = ByteBuffer.wrap(address.getAddress());
        return bytes.remaining() == Integer.BYTES
                ? bytes.getInt() & 0xffff_ffffL
                : bytes.getLong() & Long.MAX_VALUE;
    }

    private void evictExcess() {
        evictionQueued = false;
        tasks.run(Task.CONNECTION_EVICTION, () -> policy.evictExcess(clock.now()));
        logOverLimit();
    }

    /** Runs each task whether or not the ones before it fail. */
    private void sweep() {
        if (!stopped) {
            evictExcess();
            tasks.run(Task.CONNECTION_SWEEP, () -> policy.sweep(clock.now()));
            tasks.run(Task.OVERDUE_REQUESTS, () -> endOverdue(clock.now()));
        }
    }

    /** Guards against requests that are never answered, whatever delays the balancer. */
    private void endOverdue(double now) {
        if (requestIds.openCount() == 0) {
            return;
        }
        for (ClientConnection connection : byIndex) {
            if (connection != null
                    && connection.endOverdue != null
                    && now > connection.request.deadline + OVERDUE_GRACE_SECONDS) {
                connection.endOverdue.run();
            }
        }
    }

    private void logOverLimit() {
        double now = clock.now();
        if (policy.isOverLimit() && now >= overLimitLoggedAt + LOG_INTERVAL_SECONDS) {
            overLimitLoggedAt = now;
            LOG.info("too many client connections: {}", policy.summary());
        }
    }

    private void closed(ClientConnection connection) {
        if (connection.isClosed()) {
            return;
        }
        policy.closed(connection.index, clock.now());
        connection.markClosed();
        byIndex[connection.index] = null;
        bySocket.remove(connection.socket);
        if (connection.stopRelay != null) {
            connection.stopRelay.run();
        }
        Request request = connection.abandonRequest();
        if (request != null) {
            onClientClosed.accept(request);
        }
    }

    @Override
    public boolean hasNoUnreadBytes(int connection) {
        return byIndex[connection].hasNoUnreadBytes();
    }

    @Override
    public void close(int index, CloseReason reason) {
        ClientConnection connection = byIndex[index];
        IoUtils.safeClose(connection.socket);
        closed(connection);
    }

    /**
     * Starts a drain: each response closes its connection, and connections without a request are
     * closed one by one.
     *
     * @param closeIdleBy the time by which connections without a request are closed, in seconds of
     *     the clock
     */
    void drain(double closeIdleBy) {
        LOG.info("client connections drain: {}", policy.summary());
        policy.startDrain(clock.now(), closeIdleBy);
        sweepTimer.remove();
        sweepEvery(sweepIntervalSeconds / DRAIN_SWEEPS_PER_INTERVAL);
    }

    /** Ends the drain. */
    void resume() {
        LOG.info("client connections are kept open again: {}", policy.summary());
        policy.stopDrain();
        sweepTimer.remove();
        sweepEvery(sweepIntervalSeconds);
    }

    /** Stops the sweeps; open connections stay as they are. */
    void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        sweepTimer.remove();
        long closedForCapacity =
                policy.closedCount(CloseReason.EVICTED)
                        + policy.closedCount(CloseReason.NOT_KEPT_ALIVE);
        if (closedForCapacity > 0) {
            LOG.info("client connections stop: {}", policy.summary());
        }
    }
}
