package lemondrift.proxy;

import com.google.gson.JsonObject;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import lemondrift.balancer.LoadBalancer;
import lemondrift.metrics.ProxyMetrics;
import lemondrift.proxy.admin.AdminOperations;
import lemondrift.proxy.backend.BackendClient;
import lemondrift.proxy.backend.BackendConnector;
import lemondrift.proxy.client.ClientListener;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.discovery.BackendDirectory;
import lemondrift.proxy.discovery.EndpointListBuilder;
import lemondrift.proxy.discovery.EndpointListWatch;
import lemondrift.proxy.gossip.GossipTransport;
import lemondrift.proxy.health.TaskMonitor;
import lemondrift.proxy.lifecycle.TakeoverLock;
import lemondrift.proxy.loop.DecisionLoop;
import lemondrift.proxy.recovery.RecoveryCoordinator;
import lemondrift.proxy.time.MonotonicClock;
import lemondrift.settings.RequestClassIndex;
import lemondrift.shadow.ShadowEvaluator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** One proxy from start to exit. Composes the packages below this one and owns the phase. */
public final class ProxyServer {
    /** The phase of the proxy. It only moves forward. */
    enum Phase {
        STARTING,
        SERVING,
        DRAINING,
        STOPPED
    }

    private static final Logger LOG = LoggerFactory.getLogger(ProxyServer.class);

    /** Size of a pooled buffer, in bytes. */
    private static final int BUFFER_BYTES = 8 * 1024;

    /** Maximum number of buffers in the pool. */
    private static final int MAX_POOLED_BUFFERS = 512;

    /** Number of buffers that each thread caches. */
    private static final int BUFFERS_PER_THREAD = 8;

    private static final OptionMap NO_DELAY = OptionMap.create(Options.TCP_NODELAY, true);

    private final MonotonicClock clock = MonotonicClock.system();
    private final ProxyMetrics metrics = new ProxyMetrics();
    private final TaskMonitor tasks = new TaskMonitor(clock);
    private final XnioWorker worker;
    private final DecisionLoop decisionLoop;
    private final ClientListener clientListener;
    private final EndpointListWatch endpointListWatch;
    private final BackendClient backendClient;
    private final ConfigReload configReload;
    private final ResourceSharing resourceSharing;

    /** Null if the proxy exchanges no gossip. */
    private final GossipTransport gossipTransport;

    /** The endpoint list of the configuration; null once the decision loop has received it. */
    private JsonObject initialEndpoints;

    private volatile Phase phase = Phase.STARTING;

    private final AtomicBoolean decisionsStopped = new AtomicBoolean();

    /**
     * Creates a proxy on a worker of its own that opens sockets to its backends.
     *
     * @throws IOException if the worker cannot be created
     */
    public ProxyServer(ProxyConfig config) throws IOException {
        this(config, createWorker(), null);
    }

    /** Creates a proxy on an existing worker. */
    public ProxyServer(ProxyConfig config, XnioWorker worker) {
        this(config, worker, null);
    }

    /**
     * Creates a proxy that opens its connections to backends with a connector, for example for a
     * warm-up or a test.
     *
     * @param connector opens connections to backends; null for sockets. With a connector, gossip
     *     and shadow evaluation are off
     */
    public ProxyServer(ProxyConfig fullConfig, XnioWorker worker, BackendConnector connector) {
        ProxyConfig config = fullConfig.withoutInitialEndpoints();
        initialEndpoints = fullConfig.initialEndpoints();
        this.worker = worker;
        XnioIoThread ioThread = worker.getIoThread();
        BackendConnector sockets =
                (address, opened) -> ioThread.openStreamConnection(address, opened, NO_DELAY);
        ByteBufferPool buffers = createBufferPool();
        RequestClassIndex requestClasses =
                new RequestClassIndex(
                        config.requestClassNames(), config.settings().requestClasses());
        LoadBalancer balancer = new LoadBalancer(config.settings(), config.seed());
        IoThreadActions actions = new IoThreadActions(ioThread, metrics);
        decisionLoop =
                new DecisionLoop(
                        balancer,
                        new BackendDirectory(config.locations()),
                        clock,
                        actions,
                        requestClasses,
                        config.settings(),
                        tasks);
        if (config.shadowSettings() != null && connector == null) {
            decisionLoop.enableShadow(config.shadowSettings(), config.seed());
        }
        clientListener =
                new ClientListener(
                        config,
                        requestClasses,
                        clock,
                        worker,
                        buffers,
                        decisionLoop,
                        metrics,
                        tasks);
        endpointListWatch =
                new EndpointListWatch(config, clock, ioThread, sockets, buffers, decisionLoop);
        backendClient =
                new BackendClient(
                        config,
                        clock,
                        ioThread,
                        connector == null ? sockets : connector,
                        buffers,
                        decisionLoop,
                        metrics,
                        tasks,
                        clientListener::isClientWaiting);
        boolean gossipEnabled =
                config.gossip() != null && connector == null && balancer.needsGossip();
        gossipTransport = gossipEnabled ? enableGossip(config) : null;
        actions.setTargets(
                decisionLoop, clientListener, backendClient, endpointListWatch, gossipTransport);
        configReload =
                new ConfigReload(config, clock, ioThread, decisionLoop, endpointListWatch, metrics);
        resourceSharing =
                new ResourceSharing(
                        worker, configReload, clientListener, backendClient, decisionLoop, tasks);
    }

    private static ByteBufferPool createBufferPool() {
        return new DefaultByteBufferPool(
                true, BUFFER_BYTES, MAX_POOLED_BUFFERS, BUFFERS_PER_THREAD);
    }

    private GossipTransport enableGossip(ProxyConfig config) {
        if (config.recovery() == null) {
            decisionLoop.enableGossip(config.gossip());
        } else {
            decisionLoop.enableGossip(
                    config.gossip(),
                    new RecoveryCoordinator(
                            config.recovery(),
                            config.name(),
                            config.gossip().self(),
                            config.gossip().proxies().size(),
                            clock.now()));
        }
        return new GossipTransport(config.gossip(), decisionLoop, tasks);
    }

    /**
     * Creates a worker with one I/O thread and one task thread, because a proxy has only part of a
     * core.
     */
    public static XnioWorker createWorker() throws IOException {
        return Xnio.getInstance()
                .createWorker(
                        OptionMap.builder()
                                .set(Options.WORKER_IO_THREADS, 1)
                                .set(Options.WORKER_TASK_CORE_THREADS, 1)
                                .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                .set(Options.WORKER_NAME, "io")
                                .set(Options.THREAD_DAEMON, false)
                                .getMap());
    }

    /**
     * Starts to serve on a new listening socket, see {@link #serve(ServerSocketChannel)}.
     *
     * @throws IOException if the proxy cannot listen
     */
    public void serve() throws IOException {
        serve(null);
    }

    /**
     * Starts to serve and returns when the proxy accepts clients. Waits a bounded time for the
     * first endpoint list.
     *
     * @param inheritedSocket a listening socket that the process inherited; null to open one
     * @throws IOException if the proxy cannot listen
     */
    public void serve(ServerSocketChannel inheritedSocket) throws IOException {
        if (gossipTransport != null) {
            gossipTransport.start(worker);
            clientListener.runBeforeEachRequest(gossipTransport::receive);
        }
        decisionLoop.endpointListReceived(
                EndpointListBuilder.fromJson(initialEndpoints), true, () -> {});
        initialEndpoints = null;
        decisionLoop.start();
        worker.getIoThread().execute(endpointListWatch::start);
        endpointListWatch.awaitFirstList();
        if (inheritedSocket == null) {
            clientListener.listen();
        } else {
            clientListener.listen(inheritedSocket);
        }
        advanceTo(Phase.SERVING);
        LOG.info("serving");
    }

    /**
     * Applies a new configuration, as at SIGHUP; see {@link ConfigReload}.
     *
     * @throws lemondrift.settings.InvalidSettingsException if it lacks a key that the current
     *     configuration sets; nothing is changed then
     */
    public void reload(ProxyConfig next) {
        configReload.apply(next);
    }

    /** Returns the current configuration, without its initial endpoints. */
    public ProxyConfig config() {
        return configReload.current();
    }

    /** Counts a new configuration that could not be used. The current one stays in force. */
    public void recordReloadFailure() {
        configReload.recordFailure();
    }

    /** Returns the operations of the admin address. They must be called on the I/O thread. */
    public AdminOperations adminOperations() {
        return new OperatorControl(this, clock, clientListener, decisionLoop, metrics, tasks);
    }

    /**
     * Starts the decision loop without a listener or discovery. The proxy uses the given endpoint
     * list and serves the connections passed to {@link #accept}.
     */
    public void startWithoutListener(JsonObject endpointList) {
        decisionLoop.start();
        decisionLoop.endpointListReceived(
                EndpointListBuilder.fromJson(endpointList), false, () -> {});
    }

    /** Serves a client on an open connection. I/O thread only. */
    public void accept(StreamConnection connection) {
        clientListener.accepted(connection);
    }

    /** Divides the resources of this proxy among a number of processes. */
    void setProcessCount(int processCount) {
        resourceSharing.setProcessCount(processCount);
    }

    /**
     * Limits this process to its share of resources while another process of this proxy runs. Call
     * before serving.
     */
    public void watchOtherProcesses(TakeoverLock takeoverLock) {
        resourceSharing.watch(takeoverLock);
    }

    /**
     * Shuts down as {@link #drain(double)} does, without a wait for responses that have begun.
     *
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public void drain() throws InterruptedException {
        drain(0);
    }

    /**
     * Shuts down gracefully, as at SIGTERM; see {@link GracefulShutdown}. Accepts clients for a
     * short time, answers all accepted requests, stops the threads and returns.
     *
     * @param timeoutSeconds how long responses that have begun may still be sent, 0 or more; all
     *     requests without a response are answered regardless of it
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public void drain(double timeoutSeconds) throws InterruptedException {
        double now = clock.now();
        GracefulShutdown shutdown =
                new GracefulShutdown(
                        clock,
                        worker.getIoThread(),
                        clientListener,
                        decisionLoop,
                        now,
                        configReload.requestDeadline(now),
                        timeoutSeconds);
        shutdown.begin();
        advanceTo(Phase.DRAINING);
        LOG.info("draining");
        shutdown.awaitResponses(this::stopDecisions);
        close();
        advanceTo(Phase.STOPPED);
        LOG.info("stopped");
    }

    /**
     * Enters a phase unless a later one was reached. Guards against the phase moving back when
     * SIGTERM arrives during the start.
     */
    private synchronized void advanceTo(Phase next) {
        phase = next.compareTo(phase) > 0 ? next : phase;
    }

    /** Stops all threads, even if requests are open. */
    public void close() {
        clientListener.close();
        stopDecisions();
        worker.shutdown();
    }

    /**
     * Stops what serves new requests: discovery, gossip, the decision loop, idle connections to
     * backends, and recovery, which stores its last snapshot. Responses are still forwarded. Does
     * nothing if called again.
     */
    private void stopDecisions() {
        if (decisionsStopped.getAndSet(true)) {
            return;
        }
        worker.getIoThread()
                .execute(
                        () -> {
                            endpointListWatch.stop();
                            backendClient.stop();
                            if (gossipTransport != null) {
                                gossipTransport.stop();
                            }
                        });
        decisionLoop.stop();
        if (decisionLoop.recoveryCoordinator() != null) {
            decisionLoop.recoveryCoordinator().close();
        }
    }

    /** Runs a task on the I/O thread, which may read the state of connections. */
    void runOnIoThread(Runnable task) {
        worker.getIoThread().execute(task);
    }

    /** Runs a task on the decision thread, which may read the state of the decisions. */
    void runOnLoop(Runnable task) {
        decisionLoop.runOnLoop(task);
    }

    /**
     * Counts of what is in flight.
     *
     * @param connections client connections with an open request
     * @param requests open requests of the decision loop
     * @param calls calls to backends
     * @param backendReferences attempts and probes that hold a backend's index
     */
    record InFlightCounts(int connections, int requests, int calls, int backendReferences) {}

    /** Counts what is in flight on the I/O thread and, a moment later, in the decision loop. */
    CompletableFuture<InFlightCounts> countInFlight() {
        CompletableFuture<InFlightCounts> result = new CompletableFuture<>();
        runOnIoThread(
                () -> {
                    int connections = clientListener.openRequestCount();
                    int calls = backendClient.callsInFlight();
                    runOnLoop(
                            () ->
                                    result.complete(
                                            new InFlightCounts(
                                                    connections,
                                                    decisionLoop.openRequestCount(),
                                                    calls,
                                                    decisionLoop.backendReferenceCount())));
                });
        return result;
    }

    /**
     * Returns the number of indexes of request classes, including indexes that no class has any
     * more.
     */
    int classIndexCount() {
        return clientListener.classIndexCount();
    }

    /**
     * Returns the shadow evaluation, or null if there is none. Call after the decision loop has
     * stopped.
     */
    ShadowEvaluator shadow() {
        return decisionLoop.shadowEvaluator();
    }

    InetSocketAddress address() {
        return clientListener.address();
    }

    Phase phase() {
        return phase;
    }
}
