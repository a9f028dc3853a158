package lemondrift.proxy.client;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import lemondrift.connection.CloseReason;
import lemondrift.connection.ConnectionLimits;
import lemondrift.connection.ConnectionPolicy;
import lemondrift.metrics.ProxyMetrics;
import lemondrift.model.Request;
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
 * All clients' connections as sockets, and the ids of the requests open on them: reports accepts
 * and closes to the policy, and closes what the policy says. I/O thread only.
 */
final class ClientConnections implements ConnectionPolicy.Actions {
    private static final Logger LOG = LoggerFactory.getLogger(ClientConnections.class);

    /** While it drains, sweeps in each interval that the policy asks for. */
    private static final int DRAIN_SWEEPS_PER_INTERVAL = 4;

    /** Seconds after its deadline from which a request that is still open is ended here. */
    private static final double OVERDUE_GRACE_SECONDS = 0.1;

    /** The least time between two log lines about too many connections. */
    private static final double LOG_INTERVAL_SECONDS = 1;

    private final MonotonicClock clock;
    private final XnioIoThread ioThread;
    private final ConnectionPolicy policy;
    private final ClientConnection.Context context;
    private final double sweepIntervalSeconds;
    private final int maxConnections;
    private final ClientConnection[] byIndex;
    private final Map<StreamConnection, ClientConnection> bySocket = new HashMap<>();
    private final Set<String> openRequestIds = new HashSet<>();

    /** Hears of a request whose client has closed its connection. */
    private final Consumer<Request> onClientClosed;

    private XnioExecutor.Key sweepTimer;
    private boolean evictionQueued;
    private boolean stopped;
    private double overLimitLoggedAt = Double.NEGATIVE_INFINITY;

    ClientConnections(
            MonotonicClock clock,
            XnioIoThread ioThread,
            ConnectionLimits limits,
            long seed,
            ProxyMetrics metrics,
            Consumer<Request> onClientClosed) {
        this.clock = clock;
        this.ioThread = ioThread;
        this.onClientClosed = onClientClosed;
        policy = new ConnectionPolicy(limits, this, seed);
        context = new ClientConnection.Context(policy, clock, metrics, openRequestIds);
        sweepIntervalSeconds = limits.sweepIntervalSeconds();
        maxConnections = limits.maxConnections();
        byIndex = new ClientConnection[policy.capacity()];
        // Guards against classes that are first needed, and can't be loaded, without descriptors.
        policy.sweep(clock.now());
        sweepEvery(sweepIntervalSeconds);
    }

    private void sweepEvery(double seconds) {
        sweepTimer =
                ioThread.executeAtInterval(
                        this::sweep, (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    /** Only a share of the connections, 0 to 1, is this process's from now on. */
    void setShare(double share) {
        policy.setMaxConnections((int) (share * maxConnections));
    }

    int openRequestCount() {
        return openRequestIds.size();
    }

    /** The indexes of the request classes of open requests. */
    Set<Integer> classesInUse() {
        return bySocket.values().stream()
                .filter(each -> each.request != null)
                .map(each -> each.request.requestClassIndex)
                .collect(Collectors.toSet());
    }

    /**
     * When a request that is read now came at the latest: before now if the process stood still.
     */
    double requestArrivedAt() {
        return policy.unreadSince(clock.now());
    }

    /** Whether what is read now may have waited while the process stood still. */
    boolean wasProcessPaused() {
        double now = clock.now();
        return policy.unreadSince(now) < now;
    }

    /** Whether the drain has left no connection to which a response is owed. */
    boolean isDrained() {
        return policy.isDrained(clock.now());
    }

    /** The connection of a socket, null if it has been closed. */
    ClientConnection find(StreamConnection socket) {
        return bySocket.get(socket);
    }

    /** Takes an accepted connection and hands it to a reader, or closes it if there is no place. */
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
        // Undertow has a close listener of its own, which is to hear of it first.
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

    /** Tells one address from another; of IPv6 the /64 network, as one client has all of it. */
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
        policy.evictExcess(clock.now());
        logOverLimit();
    }

    private void sweep() {
        if (!stopped) {
            policy.sweep(clock.now());
            endOverdue(clock.now());
            logOverLimit();
        }
    }

    /** Guards against requests that are never answered, whatever keeps the balancer. */
    private void endOverdue(double now) {
        if (openRequestIds.isEmpty()) {
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
        Request request = connection.closeRequest();
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
     * Responses close their connections from now on; those without a request are closed by then.
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
