package lemondrift.proxy;

import lemondrift.proxy.backend.BackendClient;
import lemondrift.proxy.backend.BackendConnector;
import lemondrift.proxy.backend.BackendResponse;
import lemondrift.proxy.client.ClientListener;
import lemondrift.proxy.client.PendingRequest;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.discovery.BackendDirectory;
import lemondrift.proxy.discovery.EndpointList;
import lemondrift.proxy.discovery.EndpointListWatch;
import lemondrift.proxy.gossip.GossipTransport;
import lemondrift.proxy.lifecycle.MonotonicClock;
import lemondrift.proxy.lifecycle.TakeoverLock;
import lemondrift.proxy.loop.DecisionLoop;
import lemondrift.proxy.loop.ProxyActions;

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
import lemondrift.model.Attempt;
import lemondrift.model.Decision;
import lemondrift.model.Settings;
import lemondrift.gossip.LoadGossip;
import lemondrift.proxy.admin.AdminOperations;
import lemondrift.proxy.recovery.RecoveryCoordinator;
import lemondrift.settings.RequestClassIndex;
import lemondrift.shadow.ShadowEvaluator;
import lemondrift.metrics.ProxyMetrics;
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
    enum Phase { STARTING, SERVING, DRAINING, STOPPED }

    private static final Logger LOG = LoggerFactory.getLogger(ProxyServer.class);
    private static final int BUFFER = 8 * 1024, MOST_BUFFERS = 512;
    /**
     * Seconds in which new clients may still come after a drain has begun; by how much later than the longest
     * expiry its last answers are out, and until when they may be fetched; and between two looks at whether
     * all is answered. A platform that grants an expiry and 0.7 s has its end before it kills.
     */
    private static final double STRAGGLERS = 0.55, ANSWERS = 0.5, FETCHED = 0.6, DRAIN_LOOKS = 0.01;

    /**
     * Seconds in which clients are sent away. Danger: whoever is still here later may bring one more request,
     * at a time when operators take the proxy to be empty.
     */
    private static final double SENT_AWAY = 1.6;

    /** Seconds between two looks for another process. A start takes several times as long. */
    private static final double LOOKS = 0.25;

    private static final OptionMap NO_DELAY = OptionMap.create(Options.TCP_NODELAY, true);

    private final MonotonicClock clock = MonotonicClock.system();
    private final ProxyMetrics tally = new ProxyMetrics();
    private final XnioWorker worker;
    private final DecisionLoop owner;
    private final ClientListener front;
    private final EndpointListWatch watch;
    private final BackendClient backends;
    private volatile ProxyConfig config;
    /** Until when what came under an earlier configuration may be open. */
    private volatile double formerExpiry;
    /** The list from before; null once the decisions have been told of it. */
    private JsonObject known;
    /** Null where the other proxies are told nothing. */
    private final GossipTransport peers;
    private volatile Phase phase = Phase.STARTING;

    public ProxyServer(ProxyConfig config) throws IOException {
        this(config, worker(), null);
    }

    /** The one that serves, on a worker that may stand already. */
    public ProxyServer(ProxyConfig config, XnioWorker worker) {
        this(config, worker, null);
    }

    /** Its backends' connections are opened by dial, or where that is null on sockets. */
    public ProxyServer(ProxyConfig told, XnioWorker worker, BackendConnector dial) {
        ProxyConfig config = told.withoutKnown();
        known = told.known();
        this.worker = worker;
        XnioIoThread io = worker.getIoThread();
        BackendConnector sockets = (to, opened) -> io.openStreamConnection(to, opened, NO_DELAY);
        ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER, MOST_BUFFERS, 8);
        this.config = config;
        RequestClassIndex grades = new RequestClassIndex(config.gradeNames(), config.settings().grades());
        LoadBalancer balancer = new LoadBalancer(config.settings(), config.seed());
        owner = new DecisionLoop(balancer, new BackendDirectory(config.locations()), clock, new Sockets(io), grades,
                config.settings());
        if (config.shadow() != null && dial == null) {
            owner.watches(config.shadow(), config.seed());
        }
        front = new ClientListener(config, grades, clock, worker, buffers, owner, tally);
        watch = new EndpointListWatch(config, clock, io, sockets, buffers, owner);
        backends = new BackendClient(config, clock, io, dial == null ? sockets : dial, buffers, owner,
                tally, front::awaits);
        peers = config.peers() == null || dial != null || !balancer.isToBeTold() ? null
                : new GossipTransport(config.peers(), owner);
        if (peers != null) {
            if (config.recovery() == null) {
                owner.tells(config.peers());
            } else {
                owner.tells(config.peers(), new RecoveryCoordinator(config.recovery(), config.name(),
                        config.peers().self(), config.peers().proxies().size(), clock.now()));
            }
        }
    }

    public static XnioWorker worker() throws IOException {
        return Xnio.getInstance().createWorker(OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, 1).set(Options.WORKER_TASK_CORE_THREADS, 1)
                .set(Options.WORKER_TASK_MAX_THREADS, 1).set(Options.WORKER_NAME, "io")
                .set(Options.THREAD_DAEMON, false).getMap());
    }

    public void serve() throws IOException {
        serve(null);
    }

    /** On a listening socket that the process was given, or where that is null on one of its own. */
    public void serve(ServerSocketChannel given) throws IOException {
        if (peers != null) {
            peers.begin(worker);
            front.first(peers::receive);
        }
        owner.listed(EndpointList.of(known), true, () -> { });
        known = null;
        owner.start();
        worker.getIoThread().execute(watch::begin);
        watch.awaitFirst();
        if (given == null) {
            front.listen();
        } else {
            front.listen(given);
        }
        enter(Phase.SERVING);
        LOG.info("serving");
    }

    /**
     * Follows a new configuration, from now on or, what can't change while clients are served, not before the
     * next start. One that is short of something is not followed at all.
     */
    public void reload(ProxyConfig next) {
        next.requireAllOf(config);
        LOG.info("configuration read again, discovery at {}, classes {}", next.discovery(),
                next.gradeNames());
        List<String> later = next.changesAtAStart(config);
        if (!later.isEmpty()) {
            LOG.warn("holds from the next start only: {}", later);
        }
        formerExpiry = Math.max(formerExpiry, clock.now() + config.longestExpiry());
        config = next.withoutKnown();
        owner.retune(next.settings(), next.gradeNames(), next.shadow());
        worker.getIoThread().execute(() -> {
            tally.reloaded(true);
            watch.move(next.discovery());
        });
    }

    /** What it goes by now. */
    public ProxyConfig config() {
        return config;
    }

    /** A new configuration can't be used. */
    public void reloadFailed() {
        worker.getIoThread().execute(() -> tally.reloaded(false));
    }

    /** What operators may ask of it. */
    public AdminOperations operated() {
        return new AdminOperations() {
            @Override
            public boolean isReady() {
                return phase == Phase.SERVING;
            }

            @Override
            public ProxyMetrics.Figures figures() {
                return tally.figures();
            }

            @Override
            public String recovery() {
                return owner.comeback() == null ? null : owner.comeback().told(clock.now());
            }

            @Override
            public String loop() {
                return owner.figures();
            }

            @Override
            public boolean quiesce() {
                if (phase == Phase.SERVING && !front.isDraining()) {
                    LOG.info("sends clients away");
                    front.drain(clock.now() + SENT_AWAY, Double.POSITIVE_INFINITY);
                }
                return phase == Phase.SERVING;
            }

            @Override
            public boolean resume() {
                if (phase == Phase.SERVING && front.isDraining()) {
                    LOG.info("takes clients again");
                    front.resume();
                }
                return phase == Phase.SERVING;
            }
        };
    }

    /** Decides and forwards without a listener or discovery, on the list and the connections it is given. */
    public void rehearse(JsonObject list) {
        owner.start();
        owner.listed(EndpointList.of(list), false, () -> { });
    }

    public void accept(StreamConnection connection) {
        front.accepted(connection);
    }

    /** So many processes share what the platform gives this proxy. */
    void sharedBy(int processes) {
        double share = config.share(processes);
        worker.getIoThread().execute(() -> {
            front.share(share, processes);
            backends.share(share);
        });
        owner.sharedBy(processes);
    }

    /** Looks from time to time who else is there, and keeps to its part. Before serving. */
    public void meets(TakeoverLock meeting) {
        meeting.look();
        sharedBy(meeting.processes());
        worker.getIoThread().executeAtInterval(() -> worker.execute(() -> {
            if (meeting.look()) {
                sharedBy(meeting.processes());
            }
        }), (long) (LOOKS * 1e9), TimeUnit.NANOSECONDS);
    }

    /** Takes clients as long as they come, answers all that was taken, and returns. */
    public void drain() throws InterruptedException {
        double began = clock.now(), last = Math.max(began + config.longestExpiry(), formerExpiry);
        front.leaveGiven();
        front.drain(began + STRAGGLERS, last + ANSWERS);
        enter(Phase.DRAINING);
        LOG.info("draining");
        CountDownLatch drained = new CountDownLatch(1);
        XnioExecutor.Key looks = worker.getIoThread().executeAtInterval(() -> {
            // Danger: between a look and an end elsewhere one more request could be read and lost.
            if (clock.now() >= began + STRAGGLERS && front.isDrained()) {
                front.close();
                drained.countDown();
            }
        }, (long) (DRAIN_LOOKS * 1e9), TimeUnit.NANOSECONDS);
        if (!await(drained, last + ANSWERS)) {
            owner.endAll();
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

    /** Danger: a signal may come while the start is still at work, and a phase must not come back. */
    private synchronized void enter(Phase next) {
        phase = next.compareTo(phase) > 0 ? next : phase;
    }

    public void close() {
        front.close();
        worker.getIoThread().execute(() -> {
            watch.stop();
            backends.stop();
            if (peers != null) {
                peers.stop();
            }
        });
        owner.stop();
        if (owner.comeback() != null) {
            owner.comeback().close();
        }
        worker.shutdown();
    }

    /** What is I/O's own is to be seen there only. */
    void onIo(Runnable task) {
        worker.getIoThread().execute(task);
    }

    /** The same for the owner's. */
    void onOwner(Runnable task) {
        owner.onOwner(task);
    }

    /** How much is in hand. */
    record InHand(int visitors, int exchanges, int calls, int spokenOf) {}

    /** What the I/O thread has in hand and then what the owner has. */
    CompletableFuture<InHand> inHand() {
        CompletableFuture<InHand> told = new CompletableFuture<>();
        onIo(() -> {
            int visitors = front.open(), calls = backends.calls();
            onOwner(() -> told.complete(new InHand(visitors, owner.open(), calls, owner.spokenOf())));
        });
        return told;
    }

    /** How many indexes classes have taken up. */
    int classesKnown() {
        return front.classesKnown();
    }

    /** What watching has counted; null where nobody watches. Once the owner has stopped. */
    ShadowEvaluator watched() {
        return owner.watched();
    }

    InetSocketAddress address() {
        return front.address();
    }

    Phase phase() {
        return phase;
    }

    /** Carries the wishes of the owner to the I/O thread, many at once: each wake of it costs a switch. */
    private final class Sockets implements ProxyActions {
        private final XnioIoThread io;
        private List<Runnable> wishes = new ArrayList<>();

        Sockets(XnioIoThread io) {
            this.io = io;
        }

        @Override
        public void send(Attempt f, PendingRequest taken, InetSocketAddress to) {
            wishes.add(() -> backends.send(f, taken, to));
        }

        @Override
        public void cancel(Attempt f) {
            wishes.add(() -> backends.cancel(f));
        }

        @Override
        public void probe(int backend, InetSocketAddress to) {
            wishes.add(() -> backends.probe(backend, to));
        }

        @Override
        public void list(Decision.ListCall call) {
            wishes.add(() -> watch.asked(call));
        }

        @Override
        public void deliver(PendingRequest taken, BackendResponse answer) {
            wishes.add(() -> front.deliver(taken, answer));
        }

        @Override
        public void drop(BackendResponse answer) {
            wishes.add(() -> answer.rest().drop());
        }

        @Override
        public void giveUp(PendingRequest taken, boolean shed, double retryAfter) {
            wishes.add(() -> front.giveUp(taken.client(), shed, retryAfter));
        }

        @Override
        public void letGo(int backend) {
            wishes.add(() -> backends.letGo(backend));
        }

        @Override
        public void decided(int exchanges, double seconds) {
            wishes.add(() -> front.decided(exchanges, seconds));
        }

        @Override
        public void targets(int listed, int disabled) {
            wishes.add(() -> tally.targets(listed, disabled));
        }

        @Override
        public void retuned(RequestClassIndex grades, Settings settings) {
            wishes.add(() -> {
                front.retuned(grades, settings);
                owner.followed(front.grades());
            });
        }

        @Override
        public void tell(LoadGossip.Telling telling) {
            wishes.add(() -> peers.tell(telling));
        }

        @Override
        public void act() {
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
