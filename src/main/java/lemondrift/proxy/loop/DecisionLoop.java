package lemondrift.proxy.loop;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import lemondrift.balancer.LoadBalancer;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Request;
import lemondrift.model.Settings;
import lemondrift.model.ShedThreshold;
import lemondrift.proxy.config.GossipSettings;
import lemondrift.proxy.discovery.BackendDirectory;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.events.DecisionEvents;
import lemondrift.proxy.events.EndpointList;
import lemondrift.proxy.events.PendingRequest;
import lemondrift.proxy.events.ProxyActions;
import lemondrift.proxy.health.TaskMonitor;
import lemondrift.proxy.recovery.RecoveryCoordinator;
import lemondrift.proxy.time.MonotonicClock;
import lemondrift.settings.RequestClassIndex;
import lemondrift.shadow.ShadowEvaluator;

/**
 * The entry point to the balancer for all other threads. Unless stated otherwise, a public method
 * queues an event for the decision thread and returns without waiting for the event to be handled;
 * it blocks only while the queue is full. {@link EventLoop} owns the queue and the thread.
 */
public final class DecisionLoop implements DecisionEvents {
    private final ProxyActions actions;
    private final BackendDirectory directory;
    private final PeerExchange peers;
    private final ShadowRunner shadow;
    private final DecisionExecutor executor;
    private final EventHandler eventHandler;
    private final EndpointListApplier endpointLists;
    private final ShedThresholds shedThresholds;
    private final ActiveSettings activeSettings;
    private final EventLoop eventLoop;

    /**
     * Creates a loop that {@link #start} runs. Only the loop's thread calls the balancer and the
     * directory.
     */
    public DecisionLoop(
            LoadBalancer balancer,
            BackendDirectory directory,
            MonotonicClock clock,
            ProxyActions actions,
            RequestClassIndex requestClasses,
            Settings settings,
            TaskMonitor tasks) {
        this.actions = actions;
        this.directory = directory;
        peers = new PeerExchange(balancer, directory, clock, actions);
        shadow = new ShadowRunner(clock);
        executor = new DecisionExecutor(balancer, directory, clock, actions, peers, shadow);
        eventHandler = new EventHandler(balancer, directory, clock, peers, shadow, executor);
        endpointLists =
                new EndpointListApplier(
                        balancer, directory, clock, actions, peers, shadow, executor);
        shedThresholds = new ShedThresholds(balancer, clock);
        activeSettings =
                new ActiveSettings(
                        requestClasses,
                        settings,
                        balancer,
                        actions,
                        executor,
                        shedThresholds,
                        shadow);
        eventLoop =
                new EventLoop(
                        clock,
                        actions,
                        peers,
                        shadow,
                        executor,
                        eventHandler,
                        endpointLists,
                        shedThresholds,
                        activeSettings,
                        tasks);
    }

    /**
     * Enables the exchange of load reports with the other proxies. Must be called before {@link
     * #start}.
     */
    public void enableGossip(GossipSettings gossip) {
        peers.enableGossip(gossip);
    }

    /**
     * Enables the exchange of load reports with the other proxies, and recovery with their help.
     * Must be called before {@link #start}.
     */
    public void enableGossip(GossipSettings gossip, RecoveryCoordinator recoveryCoordinator) {
        peers.enableGossip(gossip, recoveryCoordinator);
    }

    /** Returns the coordinator of recovery; null if recovery is not enabled. Any thread. */
    public RecoveryCoordinator recoveryCoordinator() {
        return peers.recoveryCoordinator();
    }

    /**
     * Enables the shadow, which counts the decisions that would have been different under other
     * settings. Must be called before {@link #start}.
     */
    public void enableShadow(Settings settings, long seed) {
        shadow.enable(settings, seed);
    }

    /**
     * Returns the shadow; null if it is not enabled or was ended by an error. Only after the loop
     * has stopped.
     */
    public ShadowEvaluator shadowEvaluator() {
        return shadow.evaluator();
    }

    public void start() {
        eventLoop.start();
    }

    /**
     * Stops the thread and waits until it has ended. Guards against actions that are sent to the
     * I/O thread after that thread has ended.
     */
    public void stop() {
        eventLoop.stop();
        shadow.logSummary();
    }

    @Override
    public void requestArrived(PendingRequest pending) {
        eventLoop.enqueue(
                new Event(
                        EventType.REQUEST_ARRIVED,
                        pending.request().arrivedAt,
                        pending.request(),
                        () -> eventHandler.requestArrived(pending)));
    }

    /** Returns at once and queues no event. Any thread. */
    @Override
    public Optional<ShedThreshold> shedThreshold(int requestClass, double secondsLeft) {
        return shedThresholds.forRequest(requestClass, secondsLeft);
    }

    @Override
    public void attemptEnded(
            Attempt attempt,
            AttemptOutcome outcome,
            double durationSeconds,
            double[] loadReport,
            BackendResponse response) {
        enqueue(
                EventType.ATTEMPT_ENDED,
                attempt.request,
                () ->
                        eventHandler.attemptEnded(
                                attempt, outcome, durationSeconds, loadReport, response));
    }

    @Override
    public void probeEnded(int backend, AttemptOutcome outcome, double[] loadReport) {
        enqueue(EventType.PROBE_ENDED, () -> eventHandler.probeEnded(backend, outcome, loadReport));
    }

    @Override
    public void requestAbandoned(Request request) {
        enqueue(EventType.CLIENT_LEFT, request, () -> eventHandler.requestAbandoned(request));
    }

    @Override
    public void bodyNotReplayable(Request request) {
        enqueue(
                EventType.BODY_NOT_REPLAYABLE,
                request,
                () -> eventHandler.bodyNotReplayable(request));
    }

    /** Applies the list as {@link EndpointListApplier} describes. */
    @Override
    public void endpointListReceived(
            EndpointList list, boolean knownBeforeStart, Runnable onApplied) {
        enqueue(
                EventType.ENDPOINT_LIST_RECEIVED,
                () -> endpointLists.endpointListReceived(list, knownBeforeStart, onApplied));
    }

    @Override
    public void endpointListFailed() {
        enqueue(EventType.ENDPOINT_LIST_FAILED, eventHandler::endpointListFailed);
    }

    /**
     * Wakes the loop only for a recovery datagram. Load reports of other proxies can wait: they
     * matter only when the loop decides.
     */
    @Override
    public void datagramReceived(int fromProxy, byte[] datagram) {
        if (peers.datagramReceived(fromProxy, datagram)) {
            enqueue(EventType.RECOVERY_DATAGRAM_RECEIVED, () -> {});
        }
    }

    /**
     * Divides the resources that the settings grant this proxy among this many processes, 1 or
     * more. This includes the proxy's share of the request budget of a backend in slow start.
     */
    public void setProcessCount(int processCount) {
        enqueue(
                EventType.PROCESS_COUNT_CHANGED,
                () -> activeSettings.setProcessCount(processCount));
    }

    /**
     * Replaces the settings for requests that arrive from now on.
     *
     * @param classNames the names of the new request classes, in the order of the settings
     * @param shadowSettings the settings of the shadow; null if the new configuration has none
     */
    public void reload(Settings newSettings, List<String> classNames, Settings shadowSettings) {
        enqueue(
                EventType.SETTINGS_RELOADED,
                () -> activeSettings.reload(newSettings, classNames, shadowSettings));
    }

    /**
     * Reports that the I/O thread has applied the settings of one reload.
     *
     * @param classesInUse indexes of the request classes of its open requests
     */
    public void settingsApplied(Set<Integer> classesInUse) {
        enqueue(EventType.SETTINGS_APPLIED, () -> activeSettings.reloadApplied(classesInUse));
    }

    /**
     * Ends all open requests: as rejected if a retry is harmless, else as failed. Called at the end
     * of the process.
     */
    public void endOpenRequests() {
        enqueue(EventType.SHUTDOWN, executor::endOpenRequests);
    }

    /**
     * Runs a task on the loop's thread after all actions requested so far have been handed to the
     * I/O thread.
     */
    public void runOnLoop(Runnable task) {
        enqueue(
                EventType.TASK,
                () -> {
                    actions.flush();
                    task.run();
                });
    }

    /** Returns how many references attempts and probes hold to backends. The loop's thread only. */
    public int backendReferenceCount() {
        return directory.referenceCount();
    }

    /** Returns how many requests are open. The loop's thread only. */
    public int openRequestCount() {
        return executor.openRequestCount();
    }

    /** Returns waits of events and durations of iterations as JSON. Any thread. */
    public String metricsJson() {
        return eventLoop.metricsJson();
    }

    private void enqueue(EventType type, Runnable action) {
        enqueue(type, null, action);
    }

    private void enqueue(EventType type, Request request, Runnable action) {
        eventLoop.enqueue(new Event(type, Event.UNKNOWN_TIME, request, action));
    }
}
