package lemondrift.proxy;

import com.google.gson.JsonObject;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CompletableFuture;
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

/** One proxy, from its start to its exit: composes the packages and owns the phase. */
public final class ProxyServer {
    /** What the proxy is doing; it only goes forward. */
    enum Phase {
        STARTING,
        SERVING,
        DRAINING,
        STOPPED
    }

    private static final Logger LOG = LoggerFactory.getLogger(ProxyServer.class);

    /** Size of a pooled buffer, in bytes. */
    private static final int BUFFER_BYTES = 8 * 1024;

    /** How many buffers the pool keeps. */
    private static final int MAX_POOLED_BUFFERS = 512;

    /** How many buffers each thread keeps for itself. */
    private static final int BUFFERS_PER_THREAD = 8;

    private static final OptionMap NO_DELAY = OptionMap.create(Options.TCP_NODELAY, true);

    private final MonotonicClock clock = MonotonicClock.system();
    private final ProxyMetrics metrics = new ProxyMetrics();
    private final XnioWorker worker;
    private final DecisionLoop decisionLoop;
    private final ClientListener clientListener;
    private final EndpointListWatch endpointListWatch;
    private final BackendClient backendClient;
    private final ConfigReload configReload;
    private final ResourceSharing resourceSharing;

    /** Null where no gossip is exchanged. */
    private final GossipTransport gossipTransport;

    /** The endpoint list of the configuration; null once the decisions have it. */
    private JsonObject initialEndpoints;

    private volatile Phase phase = Phase.STARTING;

    public ProxyServer(ProxyConfig config) throws IOException {
        this(config, createWorker(), null);
    }

    /** One on a worker that may exist already. */
    public ProxyServer(ProxyConfig config, XnioWorker worker) {
        this(config, worker, null);
    }

    /**
     * One whose connections to backends are opened by a connector, as for a warm-up or a test.
     *
     * @param connector null for sockets; with another one neither gossip nor shadow is at work
     */
    public ProxyServer(ProxyConfig fullConfig, XnioWorker worker, BackendConnector connector) {
        ProxyConfig config = fullConfig.withoutInitialEndpoints();
        initialEndpoints = fullConfig.initialEndpoints();
        this.worker = worker;
        XnioIoThread ioThread = worker.getIoThread();
        BackendConnector sockets =
                (address, opened) -> ioThread.openStreamConnection(address, opened, NO_DELAY);
        ByteBufferPool buffers =
                new DefaultByteBufferPool(
                        true, BUFFER_BYTES, MAX_POOLED_BUFFERS, BUFFERS_PER_THREAD);
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
                        config.settings());
        if (config.shadow() != null && connector == null) {
            decisionLoop.enableShadow(config.shadow(), config.seed());
        }
        clientListener =
                new ClientListener(
                        config, requestClasses, clock, worker, buffers, decisionLoop, metrics);
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
                        clientListener::isClientWaiting);
        boolean gossipEnabled =
                config.gossip() != null && connector == null && balancer.needsGossip();
        gossipTransport = gossipEnabled ? new GossipTransport(config.gossip(), decisionLoop) : null;
        if (gossipEnabled) {
            enableGossip(config);
        }
        actions.setTargets(
                decisionLoop, clientListener, backendClient, endpointListWatch, gossipTransport);
        configReload =
                new ConfigReload(config, clock, ioThread, decisionLoop, endpointListWatch, metrics);
        resourceSharing =
                new ResourceSharing(
                        worker, configReload, clientListener, backendClient, decisionLoop);
    }

    private void enableGossip(ProxyConfig config) {
        if (config.recovery() == null) {
            decisionLoop.enableGossip(config.gossip());
            return;
        }
        decisionLoop.enableGossip(
                config.gossip(),
                new RecoveryCoordinator(
                        config.recovery(),
                        config.name(),
                        config.gossip().self(),
                        config.gossip().proxies().size(),
                        clock.now()));
    }

    /** A worker with one I/O thread and one task thread, as a proxy has a part of a core. */
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

    public void serve() throws IOException {
        serve(null);
    }

    /**
     * Starts to serve, and returns when clients are accepted. Waits a bounded time for the first
     * endpoint list.
     *
     * @param inheritedSocket a listening socket that the process was given, or null to open one
     * @throws IOException where it can't listen
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
     * What SIGHUP does once the new configuration is read, see {@link ConfigReload}.
     *
     * @throws lemondrift.settings.InvalidSettingsException where it lacks what the running one has;
     *     nothing is changed then
     */
    public void reload(ProxyConfig next) {
        configReload.apply(next);
    }

    /** The configuration that holds now. */
    public ProxyConfig config() {
        return configReload.current();
    }

    /** Counts a new configuration that could not be used; the running one stays. */
    public void recordReloadFailure() {
        configReload.recordFailure();
    }

    /** What operators may ask of it, on the I/O thread. */
    public AdminOperations adminOperations() {
        return new OperatorControl(this, clock, clientListener, decisionLoop, metrics);
    }

    /**
     * Decides and forwards without a listener or discovery, on the endpoint list and the
     * connections it is given.
     */
    public void startWithoutListener(JsonObject endpointList) {
        decisionLoop.start();
        decisionLoop.endpointListReceived(
                EndpointListBuilder.fromJson(endpointList), false, () -> {});
    }

    public void accept(StreamConnection connection) {
        clientListener.accepted(connection);
    }

    /** Divides what the platform gives this proxy among so many processes. */
    void setProcessCount(int processCount) {
        resourceSharing.setProcessCount(processCount);
    }

    /** Keeps to its share while another process of this proxy lives. Before serving. */
    public void watchOtherProcesses(TakeoverLock takeoverLock) {
        resourceSharing.watch(takeoverLock);
    }

    /**
     * What SIGTERM does, see {@link GracefulShutdown}: accepts clients for a while, answers all
     * that was accepted, stops the threads and returns.
     */
    public void drain() throws InterruptedException {
        double now = clock.now();
        GracefulShutdown shutdown =
                new GracefulShutdown(
                        clock,
                        worker.getIoThread(),
                        clientListener,
                        decisionLoop,
                        now,
                        configReload.requestDeadline(now));
        shutdown.begin();
        advanceTo(Phase.DRAINING);
        LOG.info("draining");
        shutdown.awaitResponses();
        close();
        advanceTo(Phase.STOPPED);
        LOG.info("stopped");
    }

    /** Guards against a signal during the start, after which the phase must not go back. */
    private synchronized void advanceTo(Phase next) {
        phase = next.compareTo(phase) > 0 ? next : phase;
    }

    /** Stops all threads, whatever is open. */
    public void close() {
        clientListener.close();
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
        worker.shutdown();
    }

    /** Runs a task where the state of clients and backends' connections may be read. */
    void runOnIoThread(Runnable task) {
        worker.getIoThread().execute(task);
    }

    /** Runs a task where the state of the decisions may be read. */
    void runOnLoop(Runnable task) {
        decisionLoop.runOnLoop(task);
    }

    /** How many of each are in flight. */
    record InFlightCounts(int connections, int requests, int calls, int backendReferences) {}

    /** What is in flight on the I/O thread and, a moment later, in the decision loop. */
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

    /** How many request classes have an index. */
    int indexedClassCount() {
        return clientListener.requestClassCount();
    }

    /** The shadow's figures, once the loop has stopped; null where there is no shadow. */
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
