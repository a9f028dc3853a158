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
import lemondrift.proxy.health.TaskMonitor;
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
 * Accepts client connections, and is the facade of the client side: requests go to {@link
 * DecisionEvents}, responses come back through {@link #deliver}, {@link #reject} and {@link #fail}.
 * I/O thread only, unless a method says otherwise.
 */
public final class ClientListener {
    /** The maximum number of bytes of one request's body that are buffered. */
    private static final int MAX_BUFFERED_BODY_BYTES = 256 * 1024;

    /** The share of the proxy's memory that all buffered bodies together may use. */
    private static final double BUFFERED_MEMORY_SHARE = 1.0 / 12;

    /** The share of the proxy's memory that all bytes sent ahead of responses may use. */
    private static final double READ_AHEAD_MEMORY_SHARE = 1.0 / 48;

    private final ProxyConfig config;
    private final ProxyMetrics metrics;
    private final XnioWorker worker;
    private final HttpOpenListener httpListener;
    private final ClientConnections connections;
    private final RequestValidator validator;
    private final RequestAdmission admission;
    private final ResponseWriter responseWriter;
    private final BodyBufferBudget bufferBudget;
    private final BodyBufferBudget readAheadBudget;

    /** This process's own socket; null if it inherited one, or does not listen. */
    private AcceptingChannel<StreamConnection> server;

    /** The inherited socket; null if the process has its own, or does not listen. */
    private InheritedServer inheritedServer;

    /** Creates a client side that does not listen yet. */
    public ClientListener(
            ProxyConfig config,
            RequestClassIndex requestClasses,
            MonotonicClock clock,
            XnioWorker worker,
            ByteBufferPool bufferPool,
            DecisionEvents decisionEvents,
            ProxyMetrics metrics,
            TaskMonitor tasks) {
        this.config = config;
        this.worker = worker;
        this.metrics = metrics;
        double stallTimeoutSeconds = config.connectionLimits().backendStallTimeoutSeconds();
        bufferBudget =
                new BodyBufferBudget(
                        MAX_BUFFERED_BODY_BYTES,
                        (long) (BUFFERED_MEMORY_SHARE * config.memoryBytes()));
        readAheadBudget =
                new BodyBufferBudget(
                        MAX_BUFFERED_BODY_BYTES,
                        (long) (READ_AHEAD_MEMORY_SHARE * config.memoryBytes()));
        connections =
                new ClientConnections(
                        clock,
                        worker.getIoThread(),
                        tasks,
                        config.connectionLimits(),
                        config.seed(),
                        metrics,
                        readAheadBudget,
                        decisionEvents::requestAbandoned);
        responseWriter =
                new ResponseWriter(worker.getIoThread(), clock, metrics, stallTimeoutSeconds);
        validator = new RequestValidator(config.tenantNames(), connections);
        admission =
                new RequestAdmission(
                        config.settings().windowSeconds(), decisionEvents, responseWriter, clock);
        settingsChanged(requestClasses, config.settings());
        RequestReader requestReader =
                new RequestReader(
                        connections,
                        validator,
                        admission,
                        responseWriter,
                        bufferBudget,
                        bufferPool,
                        stallTimeoutSeconds,
                        decisionEvents,
                        new PipelinePacer(worker.getIoThread()));
        httpListener = createHttpListener(bufferPool);
        httpListener.setRootHandler(Handlers.httpContinueRead(requestReader::handle));
    }

    /**
     * Creates a listener without Undertow's buffer for pipelined responses, as a response in it
     * would wait for the end of the next request.
     */
    private static HttpOpenListener createHttpListener(ByteBufferPool bufferPool) {
        return new HttpOpenListener(
                bufferPool,
                OptionMap.builder()
                        .set(UndertowOptions.MAX_HEADER_SIZE, HttpFieldRules.MAX_HEAD_BYTES)
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                        .getMap());
    }

    /** Applies changed request classes and settings to requests that are read from now on. */
    public void settingsChanged(RequestClassIndex requestClasses, Settings settings) {
        validator.settingsChanged(requestClasses, settings);
        admission.setLatencyObjective(settings.windowSeconds());
        metrics.registerClasses(requestClasses.names());
    }

    /**
     * Limits this process to its share of the resources that processes of this proxy divide.
     *
     * @param share the share of the connections, 0 to 1
     * @param processCount how many processes divide the memory for buffered bodies equally
     */
    public void setResourceShare(double share, int processCount) {
        connections.setShare(share);
        bufferBudget.setMaxTotalBytes(
                (long) (BUFFERED_MEMORY_SHARE * config.memoryBytes() / processCount));
        readAheadBudget.setMaxTotalBytes(
                (long) (READ_AHEAD_MEMORY_SHARE * config.memoryBytes() / processCount));
        if (inheritedServer != null) {
            inheritedServer.setMaxConnections(
                    (int) (share * config.connectionLimits().acceptLimit()));
        }
    }

    /**
     * Returns the number of indexes of request classes, including indexes that no class has any
     * more. May be called from any thread.
     */
    public int classIndexCount() {
        return validator.classIndexCount();
    }

    /**
     * Starts to accept on an inherited socket, on which other processes may accept as well. May be
     * called from any thread.
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
     * Opens a socket of its own and starts to accept on it. May be called from any thread.
     *
     * @throws IOException if the address can't be bound
     */
    public void listen() throws IOException {
        // Guards against unused capacity: XNIO accepts again only at or below the low-water mark.
        int acceptLimit = config.connectionLimits().acceptLimit();
        server =
                worker.createStreamConnectionServer(
                        config.listen(),
                        ChannelListeners.openListenerAdapter(this::accepted),
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.BACKLOG, config.maxDescriptors())
                                .set(Options.CONNECTION_HIGH_WATER, acceptLimit)
                                .set(Options.CONNECTION_LOW_WATER, acceptLimit)
                                .getMap());
        server.resumeAccepts();
    }

    /** Reads requests from an accepted connection, or closes it if there are too many. */
    public void accepted(StreamConnection connection) {
        connections.accepted(connection, httpListener);
    }

    /** Returns the address of this process's own socket, which must have been opened. */
    public InetSocketAddress address() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    /**
     * Stops accepting on an inherited socket; other processes that share it continue to accept. A
     * socket of its own stays open, because clients would be refused if it were closed. May be
     * called from any thread.
     */
    public void stopAcceptingOnInheritedSocket() {
        if (inheritedServer != null) {
            worker.getIoThread().execute(inheritedServer::stop);
        }
    }

    /**
     * Starts a drain, as at SIGTERM: each response closes its connection, health checks fail, and
     * connections without a request are closed one by one. New connections are still accepted and
     * their requests answered. May be called from any thread.
     *
     * @param closeIdleBy the time by which connections without a request are closed, in seconds of
     *     the proxy's clock
     * @param lastResponsesAt the latest possible deadline of requests that are read from now on, in
     *     seconds of the proxy's clock
     */
    public void drain(double closeIdleBy, double lastResponsesAt) {
        responseWriter.setDraining(true);
        validator.setLastResponsesAt(lastResponsesAt);
        worker.getIoThread().execute(() -> connections.drain(closeIdleBy));
    }

    /** Ends a drain. May be called from any thread. */
    public void resume() {
        responseWriter.setDraining(false);
        worker.getIoThread().execute(connections::resume);
    }

    /** Returns whether a drain has been started and not ended. May be called from any thread. */
    public boolean isDraining() {
        return responseWriter.isDraining();
    }

    /**
     * Accepts the connections that wait to be accepted, and returns whether no connection is open,
     * except those that were sent their closing response and had enough time to read it. Guards
     * against losing requests that arrive after the check: a caller that closes because of the
     * result must do so in the same task of the I/O thread.
     */
    public boolean isDrained() {
        try {
            for (StreamConnection next = acceptNext(); next != null; next = acceptNext()) {
                accepted(next);
            }
        } catch (IOException e) {
            // For example out of descriptors: the connections already accepted are closed first.
        }
        return connections.isDrained();
    }

    /**
     * Ends the service at the end of a drain: closes this process's own listening socket and every
     * connection on which no response is being sent, and rejects requests that still arrive on the
     * others.
     *
     * @return on how many connections a response is being sent
     */
    public int endService() {
        IoUtils.safeClose(server);
        admission.close();
        connections.closeAllWithoutResponse();
        return connections.sendingCount();
    }

    /** Returns on how many connections a response is being sent. */
    public int sendingCount() {
        return connections.sendingCount();
    }

    /** Accepts one connection; returns null if none waits or the process has no own socket. */
    private StreamConnection acceptNext() throws IOException {
        return server == null || !server.isOpen() ? null : server.accept();
    }

    /**
     * Closes this process's own listening socket, if it has one, and stops the sweeps of
     * connections. Open connections stay open. May be called from any thread.
     */
    public void close() {
        worker.getIoThread().execute(connections::stop);
        IoUtils.safeClose(server);
    }

    /** Returns the indexes of the request classes of open requests. */
    public Set<Integer> classesInUse() {
        return connections.classesInUse();
    }

    /** Returns how many connections have an open request. */
    public int openRequestCount() {
        return connections.openRequestCount();
    }

    /** Sets a task that runs before each request is offered; must be set before listening. */
    public void runBeforeEachRequest(Runnable task) {
        admission.runBeforeEachRequest(task);
    }

    /**
     * Records that the balancer has decided requests, and hands it the next ones.
     *
     * @param totalSeconds how long all these decisions took together
     */
    public void requestsDecided(int requestCount, double totalSeconds) {
        admission.requestsDecided(requestCount, totalSeconds);
    }

    /** Returns whether a request's client still waits for the response; reads from the socket. */
    public boolean isClientWaiting(PendingRequest pending) {
        return ClientCloseWatch.isClientWaiting(pending);
    }

    /** Forwards a backend's response to the client. */
    public void deliver(PendingRequest pending, BackendResponse response) {
        responseWriter.deliver(pending, response);
    }

    /**
     * Answers a request that no backend serves with 503, which promises that a retry is harmless.
     *
     * @param retryAfterSeconds the value of Retry-After in seconds; 0 to send none
     */
    public void reject(PendingRequest pending, double retryAfterSeconds) {
        responseWriter.reject(pending, retryAfterSeconds);
    }

    /** Answers a request that no backend serves with 502, which promises nothing about a retry. */
    public void fail(PendingRequest pending) {
        responseWriter.fail(pending);
    }
}
