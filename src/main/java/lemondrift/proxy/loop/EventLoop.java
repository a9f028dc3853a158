package lemondrift.proxy.loop;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import lemondrift.metrics.EventLoopMetrics;
import lemondrift.proxy.events.ProxyActions;
import lemondrift.proxy.health.TaskMonitor;
import lemondrift.proxy.health.TaskMonitor.Task;
import lemondrift.proxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The queue of events and the only thread that handles them and calls the balancer. An iteration
 * processes the datagrams received from other proxies, handles a batch of events, wakes the
 * balancer if it is due, applies one slice of an endpoint list, sends the messages that are due to
 * other proxies, and then wakes the I/O thread once for all resulting actions. {@link
 * DecisionExecutor#eventFailed} handles an error thrown by an event.
 */
final class EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    /** Capacity of the queue; a thread that adds another event blocks until there is room. */
    private static final int QUEUE_CAPACITY = 4096;

    /**
     * How many events an iteration handles after its first one. Bounds how long decisions wait
     * until they are handed to the I/O thread.
     */
    private static final int MAX_FURTHER_EVENTS_PER_ITERATION = 32;

    /** Longest wait for an event, in seconds. */
    private static final double MAX_WAIT_SECONDS = 10;

    /**
     * Longest wait for an event between two slices of an endpoint list, in seconds. Lets other
     * threads run between slices.
     */
    private static final double SLICE_INTERVAL_SECONDS = 0.001;

    /**
     * Shortest wait for an event after an iteration failed, in seconds. Guards against a loop that
     * uses up the CPU because what failed is due again at once.
     */
    private static final double WAIT_AFTER_FAILURE_SECONDS = 0.01;

    private final BlockingQueue<Event> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final Thread thread = new Thread(this::run, "decisions");
    private final EventLoopMetrics loopMetrics = new EventLoopMetrics();
    private final MonotonicClock clock;
    private final ProxyActions actions;
    private final PeerExchange peers;
    private final ShadowRunner shadow;
    private final DecisionExecutor executor;
    private final EventHandler eventHandler;
    private final EndpointListApplier endpointLists;
    private final ShedThresholds shedThresholds;
    private final ActiveSettings activeSettings;
    private final TaskMonitor tasks;
    private double iterationStartedAt;
    private boolean lastIterationFailed;

    EventLoop(
            MonotonicClock clock,
            ProxyActions actions,
            PeerExchange peers,
            ShadowRunner shadow,
            DecisionExecutor executor,
            EventHandler eventHandler,
            EndpointListApplier endpointLists,
            ShedThresholds shedThresholds,
            ActiveSettings activeSettings,
            TaskMonitor tasks) {
        this.clock = clock;
        this.actions = actions;
        this.peers = peers;
        this.shadow = shadow;
        this.executor = executor;
        this.eventHandler = eventHandler;
        this.endpointLists = endpointLists;
        this.shedThresholds = shedThresholds;
        this.activeSettings = activeSettings;
        this.tasks = tasks;
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /** Stops the thread and waits until it has ended. */
    void stop() {
        thread.interrupt();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns waits of events and durations of iterations as JSON. Any thread. */
    String metricsJson() {
        return loopMetrics.json();
    }

    /**
     * Adds an event to the queue; blocks while the queue is full. If the calling thread is
     * interrupted, drops the event and restores the interrupt flag. Any thread except the loop's
     * own, which could block itself forever.
     */
    void enqueue(Event event) {
        try {
            queue.put(event);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        while (!Thread.interrupted()) {
            try {
                iterate(queue.poll(nanosToWait(), TimeUnit.NANOSECONDS));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private long nanosToWait() {
        double wakeAt = Math.min(Math.min(executor.wakeAt(), peers.wakeAt()), shadow.wakeAt());
        double maxWaitSeconds =
                endpointLists.hasPending() ? SLICE_INTERVAL_SECONDS : MAX_WAIT_SECONDS;
        double waitSeconds = Math.min(maxWaitSeconds, wakeAt - clock.now());
        double minWaitSeconds = lastIterationFailed ? WAIT_AFTER_FAILURE_SECONDS : 0;
        return (long) (Math.max(minWaitSeconds, waitSeconds) * 1e9);
    }

    /**
     * Runs one iteration, each part of it whether or not the ones before it fail.
     *
     * @param firstEvent null if no event arrived in time
     */
    private void iterate(Event firstEvent) {
        iterationStartedAt = clock.now();
        boolean processed = tasks.run(Task.GOSSIP_PROCESS, peers::processReceived);
        boolean decided = tasks.run(Task.DECISIONS, () -> decide(firstEvent));
        boolean sent = tasks.run(Task.GOSSIP_SEND, peers::sendDueMessages);
        boolean flushed = tasks.run(Task.ACTIONS, actions::flush);
        lastIterationFailed = !(processed && decided && sent && flushed);
        recordIteration(clock.now());
    }

    private void decide(Event firstEvent) {
        handleBatch(firstEvent);
        if (executor.wakeAt() <= clock.now()) {
            handle(
                    new Event(
                            EventType.WAKE_TIME_REACHED,
                            executor.wakeAt(),
                            null,
                            eventHandler::wakeTimeReached));
        }
        // At most one slice per iteration: guards against replies that are due now but wait until a
        // long list is applied.
        if (endpointLists.hasPending()) {
            handle(
                    new Event(
                            EventType.ENDPOINT_LIST_SLICE,
                            Event.UNKNOWN_TIME,
                            null,
                            endpointLists::applyNextSlice));
        }
        shadow.iterationEnded();
        int arrivedCount = eventHandler.getAndResetArrivedCount();
        if (arrivedCount > 0) {
            actions.requestsDecided(arrivedCount, clock.now() - iterationStartedAt);
        }
    }

    /**
     * Handles one batch of queued events. A full batch means that the queue is long, so the shed
     * thresholds are updated.
     */
    private void handleBatch(Event firstEvent) {
        Event event = firstEvent;
        int handledCount = 0;
        while (event != null) {
            handle(event);
            event = handledCount < MAX_FURTHER_EVENTS_PER_ITERATION ? queue.poll() : null;
            handledCount++;
        }
        if (handledCount > MAX_FURTHER_EVENTS_PER_ITERATION) {
            shedThresholds.update(activeSettings.settings());
        }
    }

    private void handle(Event event) {
        loopMetrics.eventHandled(event.type().metricsKind, iterationStartedAt - event.dueAt());
        try {
            event.action().run();
            eventHandler.endUnsentAttemptsAndProbes();
        } catch (RuntimeException | Error e) {
            // Catches every exception and error: an error about one request must not end the thread
            // that decides for all requests.
            executor.eventFailed(event, e);
        }
        // Only after the decision is executed: guards against a request that is removed before that
        // and never answered.
        if (event.request() != null) {
            executor.releaseIfFinished(event.request());
        }
    }

    private void recordIteration(double now) {
        String line = loopMetrics.iterationEnded(now - iterationStartedAt, queue.size(), now);
        if (line != null) {
            LOG.info("decision loop {}", line);
        }
    }
}
