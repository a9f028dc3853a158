package lemondrift.proxy.loop;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import lemondrift.balancer.LoadBalancer;
import lemondrift.metrics.EventLoopMetrics;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.FailureReason;
import lemondrift.model.Request;
import lemondrift.model.Settings;
import lemondrift.model.ShedThreshold;
import lemondrift.proxy.config.GossipSettings;
import lemondrift.proxy.discovery.BackendDirectory;
import lemondrift.proxy.discovery.EndpointListUpdate;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.events.DecisionEvents;
import lemondrift.proxy.events.EndpointList;
import lemondrift.proxy.events.PendingRequest;
import lemondrift.proxy.events.ProxyActions;
import lemondrift.proxy.gossip.GossipSession;
import lemondrift.proxy.recovery.RecoveryCoordinator;
import lemondrift.proxy.time.MonotonicClock;
import lemondrift.settings.RequestClassIndex;
import lemondrift.shadow.ShadowEvaluator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The one thread that calls the decisions. Everybody else reaches it through its queue. */
public final class DecisionLoop implements DecisionEvents {
    private static final Logger LOG = LoggerFactory.getLogger(DecisionLoop.class);
    private static final int QUEUED = 4096;

    /** How many events are handled before the sockets are told what came of them. */
    private static final int AT_A_TIME = 32;

    private static final double LONGEST_WAIT = 10;

    /** When an event came, where nobody has looked. */
    private static final double UNKNOWN = Double.POSITIVE_INFINITY;

    /** Seconds in which others may run between two slices of a list. */
    private static final double BETWEEN_SLICES = 0.001;

    /** How often, in seconds, the log has what watching has counted. */
    private static final double SHOWN = 60;

    /**
     * Something that happened, when if that is known, and the exchange that it is about, if any.
     */
    private record Event(
            EventLoopMetrics.Kind kind, double came, Request about, Supplier<Decision> call) {}

    /** Lists that are not followed whole yet, the oldest first. */
    private final Queue<EndpointListUpdate> updates = new ArrayDeque<>();

    private final BlockingQueue<Event> queue = new ArrayBlockingQueue<>(QUEUED);
    private final LoadBalancer balancer;
    private final BackendDirectory directory;
    private final MonotonicClock clock;
    private final ProxyActions actions;
    private final Map<Request, PendingRequest> open = new HashMap<>();
    private final Thread thread = new Thread(this::run, "owner");
    private final EventLoopMetrics loopMetrics = new EventLoopMetrics();
    private double turnBegan;

    /** What others tell and are told; null where they tell nothing. */
    private GossipSession gossipSession;

    /** The way back after the start; null where nobody is asked. */
    private RecoveryCoordinator recoveryCoordinator;

    private double wakeAt = Double.POSITIVE_INFINITY;

    /** What other settings would have decided; null where nobody watches. */
    private ShadowEvaluator shadow;

    private double shownAt;
    private int arrived;

    /** What the decisions would shed of each grade, as of the last time that the queue was long. */
    private volatile List<ShedThreshold> shedThresholds = List.of();

    /** What is stated now, the grades under the indexes that exchanges name. */
    private RequestClassIndex requestClasses;

    private Settings settings;
    private int processes = 1;

    /**
     * How many statements the front does not go by yet, and the indexes that it had exchanges under
     * when it went by the last. Danger: what it still puts on one must not mean another class here.
     */
    private int unfollowed;

    private Set<Integer> held = Set.of();

    public DecisionLoop(
            LoadBalancer balancer,
            BackendDirectory directory,
            MonotonicClock clock,
            ProxyActions actions,
            RequestClassIndex requestClasses,
            Settings settings) {
        this.requestClasses = requestClasses;
        this.settings = settings;
        this.balancer = balancer;
        this.directory = directory;
        this.clock = clock;
        this.actions = actions;
        thread.setDaemon(true);
    }

    /** Tells the other proxies what is out here and hears it of them; before the start. */
    public void enableGossip(GossipSettings gossip) {
        gossipSession = new GossipSession(gossip, System.currentTimeMillis(), balancer, directory);
    }

    /** The same, and asks others after the start. */
    public void enableGossip(GossipSettings gossip, RecoveryCoordinator its) {
        recoveryCoordinator = its;
        gossipSession = new GossipSession(gossip, its.startNumber(), balancer, directory);
    }

    public RecoveryCoordinator recoveryCoordinator() {
        return recoveryCoordinator;
    }

    /** Counts what these settings would have decided otherwise; before the start. */
    public void enableShadow(Settings settings, long seed) {
        shadow = new ShadowEvaluator(settings, seed);
        shownAt = clock.now();
    }

    /**
     * Danger: what goes wrong in watching must not touch an exchange, so it ends the watching
     * alone.
     */
    private void watch(Consumer<ShadowEvaluator> event) {
        try {
            event.accept(shadow);
        } catch (RuntimeException e) {
            LOG.error("watching has ended", e);
            shadow = null;
        }
    }

    public ShadowEvaluator shadow() {
        return shadow;
    }

    private void showAtTimes() {
        if (shadow != null && clock.now() >= shownAt + SHOWN) {
            shownAt = clock.now();
            LOG.info("watching: {}", shadow.summary());
        }
    }

    /** Another proxy's datagram has come. */
    @Override
    public void datagramReceived(int from, byte[] datagram) {
        if (recoveryCoordinator != null && RecoveryCoordinator.isRecoveryDatagram(datagram)) {
            recoveryCoordinator.received(from, datagram);
            put(null, () -> null);
        } else {
            gossipSession.received(from, datagram);
        }
    }

    public void start() {
        thread.start();
    }

    /** Danger: what the owner still has in hand would find the I/O thread gone. */
    public void stop() {
        thread.interrupt();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (shadow != null) {
            LOG.info("watching: {}", shadow.summary());
        }
    }

    @Override
    public void requestArrived(PendingRequest pending) {
        put(
                EventLoopMetrics.Kind.ARRIVAL,
                pending.request(),
                () -> {
                    arrived++;
                    open.put(pending.request(), pending);
                    if (shadow != null) {
                        watch(s -> s.requestArrived(clock.now(), pending.request()));
                    }
                    return balancer.requestArrived(clock.now(), pending.request());
                });
    }

    /**
     * Whether the decisions would shed an exchange now; null if not, else with what retry-after.
     * Any thread.
     */
    @Override
    public ShedThreshold shedThreshold(int requestClass, double left) {
        ShedThreshold word =
                requestClass < shedThresholds.size() ? shedThresholds.get(requestClass) : null;
        return word != null && left < word.minSecondsLeft() ? word : null;
    }

    /** The answer is the one to pass on if this forward delivers. */
    @Override
    public void attemptEnded(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            double[] loadReport,
            BackendResponse response) {
        put(
                EventLoopMetrics.Kind.OUTCOME,
                attempt.request,
                () -> {
                    boolean wins = outcome == AttemptOutcome.SUCCESS && !attempt.request.completed;
                    PendingRequest pending = open.get(attempt.request);
                    if (wins && pending != null) {
                        actions.deliver(pending, response);
                    } else if (response != null && response.remainder() != null) {
                        actions.discard(response);
                    }
                    if (gossipSession != null) {
                        gossipSession.attemptEnded(attempt.backend, outcome, clock.now());
                    }
                    boolean over = wins || attempt.request.completed;
                    if (shadow != null) {
                        watch(
                                s ->
                                        s.attemptEnded(
                                                clock.now(),
                                                attempt,
                                                outcome,
                                                durationSeconds,
                                                over,
                                                loadReport));
                    }
                    return balancer.attemptEnded(
                            clock.now(), attempt, outcome, durationSeconds, over, loadReport);
                });
    }

    @Override
    public void probeEnded(int backend, AttemptOutcome outcome, double[] loadReport) {
        put(
                null,
                () -> {
                    directory.release(backend);
                    if (shadow != null) {
                        watch(s -> s.probeEnded(clock.now(), backend, outcome, loadReport));
                    }
                    return balancer.probeEnded(clock.now(), backend, outcome, loadReport);
                });
    }

    @Override
    public void clientLeft(Request request) {
        put(
                EventLoopMetrics.Kind.CLIENT_LEFT,
                request,
                () -> {
                    if (shadow != null) {
                        watch(s -> s.clientLeft(clock.now(), request));
                    }
                    return request.completed ? null : balancer.clientLeft(clock.now(), request);
                });
    }

    /** So many processes share what is this proxy's, its part of a cold backend's budget too. */
    public void setProcessCount(int many) {
        put(
                null,
                () -> {
                    processes = many;
                    balancer.settingsChanged(settings.dividedAmong(many), List.of());
                    return null;
                });
    }

    /** Its request can't be sent whole any more. */
    @Override
    public void bodyNotReplayable(Request request) {
        put(
                request,
                () -> {
                    request.terms = request.terms.withMaxAttempts(request.attemptCount);
                    return null;
                });
    }

    /**
     * A list has come; stale is one of before the start. Applied hears when the decisions have all
     * of it.
     */
    @Override
    public void endpointListReceived(EndpointList list, boolean stale, Runnable applied) {
        put(
                EventLoopMetrics.Kind.LIST,
                null,
                () -> {
                    updates.add(new EndpointListUpdate(directory, list, stale, applied));
                    // What is small is followed at once.
                    return updates.size() == 1 ? nextSlice() : null;
                });
    }

    /** Follows a part of the list that has come first. */
    private Decision nextSlice() {
        EndpointListUpdate update = updates.peek();
        List<EndpointUpdate> listed = update.nextSlice();
        List<EndpointUpdate> lines =
                gossipSession == null || listed.isEmpty()
                        ? listed
                        : gossipSession.withSubsets(listed);
        if (shadow != null) {
            watch(s -> s.endpointsListed(clock.now(), false, update.isStale(), lines));
        }
        balancer.endpointsChanged(clock.now(), false, lines);
        if (gossipSession != null) {
            gossipSession.endpointsApplied(lines);
        }
        for (EndpointUpdate line : lines) {
            // Danger: what waits for a connection to where it was would reach whoever is there now.
            if (line.state() != EndpointUpdate.State.READY || directory.hasMoved(line.backend())) {
                actions.retirePool(line.backend());
            }
        }
        return update.isDone() ? endOf(updates.remove()) : null;
    }

    private Decision endOf(EndpointListUpdate update) {
        count();
        if (!update.unreadable().isEmpty()) {
            LOG.warn(
                    "lines of the list are passed over, the first: {}", update.unreadable().get(0));
        }
        if (!update.isEmpty()) {
            LOG.info(
                    "list followed {} backends={} usable={}",
                    update.summary(),
                    directory.listedCount(),
                    balancer.usableBackendCount());
        }
        update.notifyApplied();
        return balancer.endpointsListed(clock.now(), false, update.isStale(), List.of());
    }

    /** Other settings hold from now on, for what comes; watched is null where nobody watches. */
    public void reload(Settings to, List<String> names, Settings watched) {
        put(
                null,
                () -> {
                    requestClasses =
                            requestClasses.reloaded(
                                    names,
                                    to.requestClasses(),
                                    i ->
                                            unfollowed > 0
                                                    || held.contains(i)
                                                    || open.keySet().stream()
                                                            .anyMatch(
                                                                    request ->
                                                                            request.requestClass
                                                                                    == i));
                    unfollowed++;
                    // Danger: under an index another class may stand from now on.
                    shedThresholds = List.of();
                    settings = settings.reloaded(to, requestClasses.byIndex());
                    balancer.settingsChanged(
                            settings.dividedAmong(processes), requestClasses.reassigned());
                    if (shadow != null && watched != null) {
                        watch(
                                s ->
                                        s.settingsChanged(
                                                watched.reloaded(
                                                        watched,
                                                        requestClasses.byIndex(
                                                                watched.requestClasses())),
                                                requestClasses.reassigned()));
                    }
                    actions.settingsChanged(requestClasses, settings);
                    return null;
                });
    }

    /** The front goes by what was stated last, and has exchanges under these indexes of classes. */
    public void settingsApplied(Set<Integer> under) {
        put(
                null,
                () -> {
                    unfollowed--;
                    held = under;
                    return null;
                });
    }

    private void count() {
        actions.backendsCounted(
                directory.listedCount(), directory.listedCount() - balancer.usableBackendCount());
    }

    /**
     * Answers all that is open: refused where nothing was forwarded. Danger: at the end of the
     * process what has no answer is lost.
     */
    public void failOpenRequests() {
        put(
                null,
                () -> {
                    for (Request request : List.copyOf(open.keySet())) {
                        if (!request.completed) {
                            request.failureReason = FailureReason.SHUTDOWN;
                            carryOut(balancer.clientLeft(clock.now(), request));
                            answer(request, request.attemptCount == 0, 0);
                            release(request);
                        }
                    }
                    return null;
                });
    }

    /**
     * What is the owner's own is to be seen there only. What it has asked of the sockets is on its
     * way.
     */
    public void runOnLoop(Runnable task) {
        put(
                null,
                () -> {
                    actions.flush();
                    task.run();
                    return null;
                });
    }

    /** How often something speaks of a backend by its index. Owner's thread only. */
    public int backendReferenceCount() {
        return directory.referenceCount();
    }

    /** How many exchanges are open. Owner's thread only. */
    public int openRequestCount() {
        return open.size();
    }

    @Override
    public void endpointListFailed() {
        put(null, () -> balancer.endpointListFailed(clock.now()));
    }

    private void put(Request about, Supplier<Decision> call) {
        put(EventLoopMetrics.Kind.OTHER, about, call);
    }

    /**
     * Danger: to read the clock for each event takes more of a small part of a core than most
     * events do.
     */
    private void put(EventLoopMetrics.Kind kind, Request about, Supplier<Decision> call) {
        double came = kind == EventLoopMetrics.Kind.ARRIVAL ? about.arrivedAt : UNKNOWN;
        try {
            queue.put(new Event(kind, came, about, call));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        while (!Thread.interrupted()) {
            try {
                double next =
                        gossipSession == null
                                ? wakeAt
                                : Math.min(wakeAt, gossipSession.nextSendAt());
                next =
                        recoveryCoordinator == null
                                ? next
                                : Math.min(next, recoveryCoordinator.wakeAt());
                next = shadow == null ? next : Math.min(next, shadow.wakeAt());
                double wait =
                        Math.min(
                                updates.isEmpty() ? LONGEST_WAIT : BETWEEN_SLICES,
                                next - clock.now());
                long nanos = (long) (Math.max(0, wait) * 1e9);
                Event event = queue.poll(nanos, TimeUnit.NANOSECONDS);
                turnBegan = clock.now();
                int handled = 0;
                if (gossipSession != null) {
                    gossipSession.processReceived(clock.now());
                }
                for (; event != null; handled++) {
                    handle(event);
                    event = handled < AT_A_TIME ? queue.poll() : null;
                }
                if (handled > AT_A_TIME) {
                    shedThresholds =
                            IntStream.range(0, settings.requestClasses().size())
                                    .mapToObj(this::word)
                                    .toList();
                }
                if (wakeAt <= clock.now()) {
                    handle(
                            new Event(
                                    EventLoopMetrics.Kind.TIMER,
                                    wakeAt,
                                    null,
                                    () -> balancer.wake(clock.now())));
                }
                // Danger: whatever owes its answer now goes before the list.
                if (!updates.isEmpty()) {
                    handle(own(EventLoopMetrics.Kind.LIST, this::nextSlice));
                }
                if (shadow != null) {
                    watch(s -> s.wake(clock.now()));
                    showAtTimes();
                }
                if (arrived > 0) {
                    actions.requestsDecided(arrived, clock.now() - turnBegan);
                    arrived = 0;
                }
                if (recoveryCoordinator != null) {
                    recoveryCoordinator.advance(
                            clock.now(),
                            balancer,
                            gossipSession::peerRestarted,
                            actions::sendGossip);
                }
                if (gossipSession != null) {
                    gossipSession.dueMessages(clock.now()).forEach(actions::sendGossip);
                }
                actions.flush();
                turned(clock.now());
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** What nobody has waited for. */
    private Event own(EventLoopMetrics.Kind kind, Supplier<Decision> call) {
        return new Event(kind, UNKNOWN, null, call);
    }

    /** How it keeps up, as JSON. Any thread. */
    public String metricsJson() {
        return loopMetrics.json();
    }

    private ShedThreshold word(int requestClass) {
        return settings.requestClasses().get(requestClass) == null
                ? null
                : balancer.shedThreshold(clock.now(), requestClass);
    }

    private void handle(Event event) {
        loopMetrics.eventHandled(event.kind, turnBegan - event.came);
        carryOut(event);
    }

    private void turned(double now) {
        String line = loopMetrics.iterationEnded(now - turnBegan, queue.size(), now);
        if (line != null) {
            LOG.info("decision loop {}", line);
        }
    }

    /**
     * Danger: an exception in one exchange must not end the proxy, nor leave the exchange
     * unanswered.
     */
    private void carryOut(Event event) {
        try {
            Decision decision = event.call.get();
            if (decision != null) {
                carryOut(decision);
            }
        } catch (RuntimeException | Error e) {
            LOG.error("event failed", e);
            if (event.about != null && !event.about.completed) {
                event.about.completed = true;
                answer(event.about, false, 0);
                if (shadow != null) {
                    watch(s -> s.clientLeft(clock.now(), event.about));
                }
            }
            wakeAt = Math.min(wakeAt, clock.now() + 1);
        }
        // Danger: letting go of an exchange before the turn is carried out would leave it
        // unanswered.
        if (event.about != null) {
            release(event.about);
        }
    }

    private void carryOut(Decision decision) {
        if (shadow != null) {
            watch(s -> s.decided(clock.now(), decision));
        }
        decision.cancellations.forEach(actions::cancel);
        for (Attempt attempt : decision.attempts) {
            directory.retain(attempt.backend);
            if (gossipSession != null) {
                gossipSession.attemptSent(attempt.backend);
            }
            actions.send(attempt, open.get(attempt.request), directory.address(attempt.backend));
        }
        for (Decision.LocalReply a : decision.localReplies) {
            answer(a.request(), a.rejected(), a.retryAfterSeconds());
            release(a.request());
        }
        for (int backend : decision.probes) {
            directory.retain(backend);
            actions.probe(backend, directory.address(backend));
        }
        decision.endpointListCalls.forEach(actions::requestEndpointList);
        decision.logMessages.forEach(LOG::info);
        // Who is avoided changes with a list or with a note on it.
        if (!decision.logMessages.isEmpty()) {
            count();
        }
        wakeAt = decision.wakeAt;
    }

    private void answer(Request request, boolean shed, double retryAfter) {
        PendingRequest pending = open.get(request);
        if (pending != null) {
            actions.fail(pending, shed, retryAfter);
        }
    }

    /** Lets go of an exchange that is over and has nothing out. */
    private void release(Request request) {
        if (request.completed && request.attemptsInFlight == 0 && open.remove(request) != null) {
            // Danger: whether a forward may be repeated goes by where the earlier ones went.
            for (Attempt attempt = request.latestAttempt;
                    attempt != null;
                    attempt = attempt.previous) {
                directory.release(attempt.backend);
            }
        }
    }
}
