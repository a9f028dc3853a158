package lemondrift.proxy.client;

import io.undertow.Handlers;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Set;
import lemondrift.buffer.BodyBufferBudget;
import lemondrift.metrics.ProxyMetrics;
import lemondrift.model.Settings;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.events.DecisionEvents;
import lemondrift.proxy.events.PendingRequest;
import lemondrift.proxy.http.HttpFieldRules;
import lemondrift.proxy.time.MonotonicClock;
import lemondrift.settings.RequestClassIndex;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.InheritedServer;

/**
 * Accepts clients' connections, and is the face of the clients' side: requests go to {@link
 * DecisionEvents}, responses come back through {@link #deliver}, {@link #reject} and {@link #fail}.
 * I/O thread only, but for what says otherwise.
 */
public final class ClientListener {
    /** The most bytes of one request's body that are buffered. */
    private static final int MAX_BUFFERED_BODY_BYTES = 256 * 1024;

    /** The share of the proxy's memory that all buffered bodies may have. */
    private static final double BUFFERED_MEMORY_SHARE = 1.0 / 12;

    private final ProxyConfig config;
    private final ProxyMetrics metrics;
    private final XnioWorker worker;
    private final HttpOpenListener httpListener;
    private final ClientConnections connections;
    private final RequestValidator validator;
    private final RequestAdmission admission;
    private final ResponseWriter responses;
    private final BodyBufferBudget bufferBudget;

    /** The socket of this process; null where it was given one, or does not listen. */
    private AcceptingChannel<StreamConnection> server;

    /** The socket that the process was given; null where it has its own, or does not listen. */
    private InheritedServer inheritedServer;

    /** A clients' side that does not listen yet. */
    public ClientListener(
            ProxyConfig config,
            RequestClassIndex requestClasses,
            MonotonicClock clock,
            XnioWorker worker,
            ByteBufferPool bufferPool,
            DecisionEvents decisionEvents,
            ProxyMetrics metrics) {
        this.config = config;
        this.worker = worker;
        this.metrics = metrics;
        double stallTimeoutSeconds = config.connectionLimits().backendStallTimeoutSeconds();
        bufferBudget =
                new BodyBufferBudget(
                        MAX_BUFFERED_BODY_BYTES,
                        (long) (BUFFERED_MEMORY_SHARE * config.memoryBytes()));
        connections =
                new ClientConnections(
                        clock,
                        worker.getIoThread(),
                        config.connectionLimits(),
                        config.seed(),
                        metrics,
                        decisionEvents::requestAbandoned);
        responses = new ResponseWriter(worker.getIoThread(), clock, metrics, stallTimeoutSeconds);
        validator = new RequestValidator(config.tenantNames(), connections);
        admission =
                new RequestAdmission(
                        config.settings().windowSeconds(), decisionEvents, responses, clock);
        settingsChanged(requestClasses, config.settings());
        RequestReader requestReader =
                new RequestReader(
                        connections,
                        validator,
                        admission,
                        responses,
                        bufferBudget,
                        bufferPool,
                        stallTimeoutSeconds,
                        decisionEvents);
        httpListener = httpListener(bufferPool);
        httpListener.setRootHandler(Handlers.httpContinueRead(requestReader::handle));
    }

    /**
     * Without Undertow's buffer for pipelined responses, as a response in it would wait for the end
     * of the next request.
     */
    private static HttpOpenListener httpListener(ByteBufferPool bufferPool) {
        return new HttpOpenListener(
                bufferPool,
                OptionMap.builder()
                        .set(UndertowOptions.MAX_HEADER_SIZE, HttpFieldRules.MAX_HEAD_BYTES)
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                        .getMap());
    }

    /** Other request classes hold for what is read from now on. */
    public void settingsChanged(RequestClassIndex requestClasses, Settings settings) {
        validator.settingsChanged(requestClasses, settings);
        admission.setLatencyObjective(settings.windowSeconds());
        metrics.registerClasses(requestClasses.names());
    }

    /** Only a share of its resources, 0 to 1, is this process's from now on. */
    public void setResourceShare(double share, int processCount) {
        connections.setShare(share);
        bufferBudget.setMaxTotalBytes(
                (long) (BUFFERED_MEMORY_SHARE * config.memoryBytes() / processCount));
        if (inheritedServer != null) {
            inheritedServer.setMaxConnections(
                    (int) (share * config.connectionLimits().acceptLimit()));
        }
    }

    /** How many request classes are known. Any thread. */
    public int requestClassCount() {
        return validator.requestClassCount();
    }

    /**
     * Accepts on a socket that the process was given, and that others may accept on as well. Any
     * thread.
     *
     * @throws IOException if the socket can't be used
     */
    public void listen(ServerSocketChannel inheritedSocket) throws IOException {
        inheritedServer =
                new InheritedServer(
                        inheritedSocket,
                        worker.getIoThread(),
                        config.connectionLimits().acceptLimit(),
                        this::accepted);
        worker.getIoThread().execute(inheritedServer::listen);
    }

    /**
     * Accepts on a socket of its own. Any thread.
     *
     * @throws IOException if the address can't be bound
     */
    public void listen() throws IOException {
        // Guards against places that stay empty: XNIO accepts again only at the low mark or under.
        int acceptLimit = config.connectionLimits().acceptLimit();
        server =
                worker.createStreamConnectionServer(
                        config.listen(),
                        ChannelListeners.openListenerAdapter(this::accepted),
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.BACKLOG, config.sockets())
                                .set(Options.CONNECTION_HIGH_WATER, acceptLimit)
                                .set(Options.CONNECTION_LOW_WATER, acceptLimit)
                                .getMap());
        server.resumeAccepts();
    }

    public void accepted(StreamConnection connection) {
        connections.accepted(connection, httpListener);
    }

    public InetSocketAddress address() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    /**
     * Stops accepting on the socket that the process was given; the processes that share it go on.
     * A socket of its own stays open, as a closed one would refuse clients. Any thread.
     */
    public void closeInheritedSocket() {
        if (inheritedServer != null) {
            worker.getIoThread().execute(inheritedServer::stop);
        }
    }

    /**
     * Starts a drain, as at SIGTERM: each response closes its connection, health checks fail, and
     * connections without a request are closed one by one. New connections are still accepted and
     * their requests answered. Any thread.
     *
     * @param closeIdleBy when connections without a request are to be closed
     * @param lastResponsesAt the deadline of whatever is read from now on, at the latest
     */
    public void drain(double closeIdleBy, double lastResponsesAt) {
        responses.setDraining(true);
        validator.setLastResponsesAt(lastResponsesAt);
        worker.getIoThread().execute(() -> connections.drain(closeIdleBy));
    }

    /** Ends a drain. Any thread. */
    public void resume() {
        responses.setDraining(false);
        worker.getIoThread().execute(connections::resume);
    }

    /** Any thread. */
    public boolean isDraining() {
        return responses.isDraining();
    }

    /**
     * Accepts who waits for it, and says whether no client is left to whom a response is owed.
     * Guards against losing what comes later: whoever stops upon it does so in the same step.
     */
    public boolean isDrained() {
        try {
            for (StreamConnection next = acceptNext(); next != null; next = acceptNext()) {
                accepted(next);
            }
        } catch (IOException e) {
            // Out of descriptors, for one: the connections that are there are closed first.
        }
        return connections.isDrained();
    }

    private StreamConnection acceptNext() throws IOException {
        return server == null ? null : server.accept();
    }

    /** Stops accepting; open connections stay as they are. Any thread. */
    public void close() {
        worker.getIoThread().execute(connections::stop);
        IoUtils.safeClose(server);
    }

    /** The indexes of the request classes of open requests. */
    public Set<Integer> classesInUse() {
        return connections.classesInUse();
    }

    /** How many connections have a request open. */
    public int openRequestCount() {
        return connections.openRequestCount();
    }

    /** What is to be done before a request is decided; set before listening. */
    public void runBeforeEachRequest(Runnable task) {
        admission.runBeforeEachRequest(task);
    }

    /** The balancer decided so many requests, in so many seconds for all, and has room for more. */
    public void requestsDecided(int requestCount, double totalSeconds) {
        admission.requestsDecided(requestCount, totalSeconds);
    }

    /** Whether a request's client is there and has no response yet; looks at the socket. */
    public boolean isClientWaiting(PendingRequest pending) {
        return ClientCloseWatch.isClientWaiting(pending);
    }

    /** Passes a backend's response on. */
    public void deliver(PendingRequest pending, BackendResponse response) {
        responses.deliver(pending, response);
    }

    /**
     * Ends a request that no backend serves with 503, which promises that a retry is harmless.
     *
     * @param retryAfterSeconds 0 to send no Retry-After
     */
    public void reject(PendingRequest pending, double retryAfterSeconds) {
        responses.reject(pending, retryAfterSeconds);
    }

    /** Ends a request that no backend serves with 502, which promises nothing about a retry. */
    public void fail(PendingRequest pending) {
        responses.fail(pending);
    }
}
