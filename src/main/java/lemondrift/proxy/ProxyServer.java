package lemondrift.proxy;

import com.google.gson.JsonObject;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemondrift.balancer.LoadBalancer;
import lemondrift.gossip.LoadGossip;
import lemondrift.metrics.ProxyMetrics;
import lemondrift.model.Attempt;
import lemondrift.model.Decision;
import lemondrift.model.Settings;
import lemondrift.proxy.admin.AdminOperations;
import lemondrift.proxy.backend.BackendClient;
import lemondrift.proxy.backend.BackendConnector;
import lemondrift.proxy.client.ClientListener;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.discovery.BackendDirectory;
import lemondrift.proxy.discovery.EndpointListBuilder;
import lemondrift.proxy.discovery.EndpointListWatch;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.events.PendingRequest;
import lemondrift.proxy.events.ProxyActions;
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
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** The program: one real proxy, from its start to its exit. */
public final class ProxyServer {
    /** What the program is doing; it only goes forward. */
    enum Phase {
        STARTING,
        SERVING,
        DRAINING,
        STOPPED
    }

    private static final Logger LOG = LoggerFactory.getLogger(ProxyServer.class);
    private static final int BUFFER = 8 * 1024;
    private static final int MOST_BUFFERS = 512;

    /**
     * Seconds in which new clients may still come after a drain has begun; by how much later than
     * the longest expiry its last answers are out, and until when they may be fetched; and between
     * two looks at whether all is answered. A platform that grants an expiry and 0.7 s has its end
     * before it kills.
     */
    private static final double STRAGGLERS = 0.55;

    private static final double ANSWERS = 0.5;
    private static final double FETCHED = 0.6;
    private static final double DRAIN_LOOKS = 0.01;

    /**
     * Seconds in which clients are sent away. Danger: whoever is still here later may bring one
     * more request, at a time when operators take the proxy to be empty.
     */
    private static final double SENT_AWAY = 1.6;

    /** Seconds between two looks for another process. A start takes several times as long. */
    private static final double LOOKS = 0.25;

    private static final OptionMap NO_DELAY = OptionMap.create(Options.TCP_NODELAY, true);

    private final MonotonicClock clock = MonotonicClock.system();
    private final ProxyMetrics metrics = new ProxyMetrics();
    private final XnioWorker worker;
    private final DecisionLoop decisionLoop;
    private final ClientListener clientListener;
    private final EndpointListWatch watch;
    private final BackendClient backendClient;
    private volatile ProxyConfig config;

    /** Until when what came under an earlier configuration may be open. */
    private volatile double formerExpiry;

    /** The list from before; null once the decisions have been told of it. */
    private JsonObject known;

    /** Null where the other proxies are told nothing. */
    private final GossipTransport gossipTransport;

    private volatile Phase phase = Phase.STARTING;

    public ProxyServer(ProxyConfig config) throws IOException {
        this(config, worker(), null);
    }

    /** The one that serves, on a worker that may stand already. */
    public ProxyServer(ProxyConfig config, XnioWorker worker) {
        this(config, worker, null);
    }

    /** Its backends' connections are opened by dial, or where that is null on sockets. */
    public ProxyServer(ProxyConfig told, XnioWorker worker, BackendConnector connector) {
        ProxyConfig config = told.withoutInitialEndpoints();
        known = told.initialEndpoints();
        this.worker = worker;
        XnioIoThread io = worker.getIoThread();
        BackendConnector sockets = (to, opened) -> io.openStreamConnection(to, opened, NO_DELAY);
        ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER, MOST_BUFFERS, 8);
        this.config = config;
        RequestClassIndex requestClasses =
                new RequestClassIndex(
                        config.requestClassNames(), config.settings().requestClasses());
        LoadBalancer balancer = new LoadBalancer(config.settings(), config.seed());
        decisionLoop =
                new DecisionLoop(
                        balancer,
                        new BackendDirectory(config.locations()),
                        clock,
                        new Sockets(io),
                        requestClasses,
                        config.settings());
        if (config.shadow() != null && connector == null) {
            decisionLoop.enableShadow(config.shadow(), config.seed());
        }
        clientListener =
                new ClientListener(
                        config, requestClasses, clock, worker, buffers, decisionLoop, metrics);
        watch = new EndpointListWatch(config, clock, io, sockets, buffers, decisionLoop);
        backendClient =
                new BackendClient(
                        config,
                        clock,
                        io,
                        connector == null ? sockets : connector,
                        buffers,
                        decisionLoop,
                        metrics,
                        clientListener::isClientWaiting);
        gossipTransport =
                config.gossip() == null || connector != null || !balancer.wantsGossip()
                        ? null
                        : new GossipTransport(config.gossip(), decisionLoop);
        if (gossipTransport != null) {
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
        }
    }

    public static XnioWorker worker() throws IOException {
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
     * On a listening socket that the process was given, or where that is null on one of its own.
     */
    public void serve(ServerSocketChannel given) throws IOException {
        if (gossipTransport != null) {
            gossipTransport.start(worker);
            clientListener.beforeEachRequest(gossipTransport::receive);
        }
        decisionLoop.endpointListReceived(EndpointListBuilder.of(known), true, () -> {});
        known = null;
        decisionLoop.start();
        worker.getIoThread().execute(watch::start);
        watch.awaitFirst();
        if (given == null) {
            clientListener.listen();
        } else {
            clientListener.listen(given);
        }
        enter(Phase.SERVING);
        LOG.info("serving");
    }

    /**
     * Follows a new configuration, from now on or, what can't change while clients are served, not
     * before the next start. One that is short of something is not followed at all.
     */
    public void reload(ProxyConfig next) {
        next.requireAllOf(config);
        LOG.info(
                "configuration read again, discovery at {}, classes {}",
                next.discovery(),
                next.requestClassNames());
        List<String> later = next.keysAppliedAtStart(config);
        if (!later.isEmpty()) {
            LOG.warn("holds from the next start only: {}", later);
        }
        formerExpiry = Math.max(formerExpiry, clock.now() + config.longestTimeoutSeconds());
        config = next.withoutInitialEndpoints();
        decisionLoop.reload(next.settings(), next.requestClassNames(), next.shadow());
        worker.getIoThread()
                .execute(
                        () -> {
                            metrics.configurationReloaded(true);
                            watch.moveTo(next.discovery());
                        });
    }

    /** What it goes by now. */
    public ProxyConfig config() {
        return config;
    }

    /** A new configuration can't be used. */
    public void reloadFailed() {
        worker.getIoThread().execute(() -> metrics.configurationReloaded(false));
    }

    /** What operators may ask of it. */
    public AdminOperations adminOperations() {
        return new AdminOperations() {
            @Override
            public boolean isReady() {
                return phase == Phase.SERVING;
            }

            @Override
            public ProxyMetrics.Figures figures() {
                return metrics.snapshot();
            }

            @Override
            public String recovery() {
                return decisionLoop.recoveryCoordinator() == null
                        ? null
                        : decisionLoop.recoveryCoordinator().statusJson(clock.now());
            }

            @Override
            public String loop() {
                return decisionLoop.metricsJson();
            }

            @Override
            public boolean quiesce() {
                if (phase == Phase.SERVING && !clientListener.isDraining()) {
                    LOG.info("sends clients away");
                    clientListener.drain(clock.now() + SENT_AWAY, Double.POSITIVE_INFINITY);
                }
                return phase == Phase.SERVING;
            }

            @Override
            public boolean resume() {
                if (phase == Phase.SERVING && clientListener.isDraining()) {
                    LOG.info("takes clients again");
                    clientListener.resume();
                }
                return phase == Phase.SERVING;
            }
        };
    }

    /**
     * Decides and forwards without a listener or discovery, on the list and the connections it is
     * given.
     */
    public void startWithoutListener(JsonObject list) {
        decisionLoop.start();
        decisionLoop.endpointListReceived(EndpointListBuilder.of(list), false, () -> {});
    }

    public void accept(StreamConnection connection) {
        clientListener.accepted(connection);
    }

    /** So many processes share what the platform gives this proxy. */
    void setProcessCount(int processes) {
        double share = config.connectionShare(processes);
        worker.getIoThread()
                .execute(
                        () -> {
                            clientListener.setResourceShare(share, processes);
                            backendClient.setResourceShare(share);
                        });
        decisionLoop.setProcessCount(processes);
    }

    /** Looks from time to time who else is there, and keeps to its part. Before serving. */
    public void watchOtherProcesses(TakeoverLock takeoverLock) {
        takeoverLock.look();
        setProcessCount(takeoverLock.processes());
        worker.getIoThread()
                .executeAtInterval(
                        () ->
                                worker.execute(
                                        () -> {
                                            if (takeoverLock.look()) {
                                                setProcessCount(takeoverLock.processes());
                                            }
                                        }),
                        (long) (LOOKS * 1e9),
                        TimeUnit.NANOSECONDS);
    }

    /** Takes clients as long as they come, answers all that was taken, and returns. */
    public void drain() throws InterruptedException {
        double began = clock.now();
        double last = Math.max(began + config.longestTimeoutSeconds(), formerExpiry);
        clientListener.closeInheritedSocket();
        clientListener.drain(began + STRAGGLERS, last + ANSWERS);
        enter(Phase.DRAINING);
        LOG.info("draining");
        CountDownLatch drained = new CountDownLatch(1);
        XnioExecutor.Key looks =
                worker.getIoThread()
                        .executeAtInterval(
                                () -> {
                                    // Danger: between a look and an end elsewhere one more request
                                    // could be read and lost.
                                    if (clock.now() >= began + STRAGGLERS
                                            && clientListener.isDrained()) {
                                        clientListener.close();
                                        drained.countDown();
                                    }
                                },
                                (long) (DRAIN_LOOKS * 1e9),
                                TimeUnit.NANOSECONDS);
        if (!await(drained, last + ANSWERS)) {
            decisionLoop.failOpenRequests();
            await(drained, last + FETCHED);
        }
        looks.remove();
        close();
        enter(Phase.STOPPED);
        LOG.info("stopped");
    }

    private boolean await(CountDownLatch latch, double until) throws InterruptedException {
        return latch.await((long) (Math.max(0, until - clock.now()) * 1e9), TimeUnit.NANOSECONDS);
    }

    /**
     * Danger: a signal may come while the start is still at work, and a phase must not come back.
     */
    private synchronized void enter(Phase next) {
        phase = next.compareTo(phase) > 0 ? next : phase;
    }

    public void close() {
        clientListener.close();
        worker.getIoThread()
                .execute(
                        () -> {
                            watch.stop();
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

    /** What is I/O's own is to be seen there only. */
    void runOnIoThread(Runnable task) {
        worker.getIoThread().execute(task);
    }

    /** The same for the owner's. */
    void runOnLoop(Runnable task) {
        decisionLoop.runOnLoop(task);
    }

    /** How much is in hand. */
    record InFlight(int connections, int requests, int calls, int backendReferences) {}

    /** What the I/O thread has in hand and then what the owner has. */
    CompletableFuture<InFlight> inFlight() {
        CompletableFuture<InFlight> told = new CompletableFuture<>();
        runOnIoThread(
                () -> {
                    int visitors = clientListener.openConnectionCount();
                    int calls = backendClient.callsInFlight();
                    runOnLoop(
                            () ->
                                    told.complete(
                                            new InFlight(
                                                    visitors,
                                                    decisionLoop.openRequestCount(),
                                                    calls,
                                                    decisionLoop.backendReferenceCount())));
                });
        return told;
    }

    /** How many indexes classes have taken up. */
    int classesKnown() {
        return clientListener.classesKnown();
    }

    /** What watching has counted; null where nobody watches. Once the owner has stopped. */
    ShadowEvaluator shadow() {
        return decisionLoop.shadow();
    }

    InetSocketAddress address() {
        return clientListener.address();
    }

    Phase phase() {
        return phase;
    }

    /**
     * Carries the wishes of the owner to the I/O thread, many at once: each wake of it costs a
     * switch.
     */
    private final class Sockets implements ProxyActions {
        private final XnioIoThread io;
        private List<Runnable> wishes = new ArrayList<>();

        Sockets(XnioIoThread io) {
            this.io = io;
        }

        @Override
        public void send(Attempt attempt, PendingRequest pending, InetSocketAddress to) {
            wishes.add(() -> backendClient.send(attempt, pending, to));
        }

        @Override
        public void cancel(Attempt attempt) {
            wishes.add(() -> backendClient.cancel(attempt));
        }

        @Override
        public void probe(int backend, InetSocketAddress to) {
            wishes.add(() -> backendClient.probe(backend, to));
        }

        @Override
        public void requestEndpointList(Decision.EndpointListCall call) {
            wishes.add(() -> watch.listRequested(call));
        }

        @Override
        public void deliver(PendingRequest pending, BackendResponse response) {
            wishes.add(() -> clientListener.deliver(pending, response));
        }

        @Override
        public void discard(BackendResponse response) {
            wishes.add(() -> response.remainder().abandonResponse());
        }

        @Override
        public void fail(PendingRequest pending, boolean shed, double retryAfter) {
            wishes.add(() -> clientListener.failRequest(pending.exchange(), shed, retryAfter));
        }

        @Override
        public void retirePool(int backend) {
            wishes.add(() -> backendClient.retirePool(backend));
        }

        @Override
        public void requestsDecided(int exchanges, double seconds) {
            wishes.add(() -> clientListener.requestsDecided(exchanges, seconds));
        }

        @Override
        public void backendsCounted(int listed, int disabled) {
            wishes.add(() -> metrics.backendsCounted(listed, disabled));
        }

        @Override
        public void settingsChanged(RequestClassIndex requestClasses, Settings settings) {
            wishes.add(
                    () -> {
                        clientListener.settingsChanged(requestClasses, settings);
                        decisionLoop.settingsApplied(clientListener.classesInUse());
                    });
        }

        @Override
        public void sendGossip(LoadGossip.Message telling) {
            wishes.add(() -> gossipTransport.send(telling));
        }

        @Override
        public void flush() {
            if (!wishes.isEmpty()) {
                List<Runnable> all = wishes;
                wishes = new ArrayList<>();
                io.execute(() -> all.forEach(this::act));
            }
        }

        /** Danger: one that fails must not keep the others from being done. */
        private void act(Runnable wish) {
            try {
                wish.run();
            } catch (RuntimeException e) {
                LOG.error("not done", e);
            }
        }
    }
}
