package lemondrift.proxy.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import lemondrift.balancer.LoadBalancer;
import lemondrift.gossip.LoadGossip;
import lemondrift.gossip.SubsetAssignment;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.DeduplicationScope;
import lemondrift.model.Idempotency;
import lemondrift.model.Request;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;
import lemondrift.proxy.config.GossipSettings;
import lemondrift.proxy.discovery.BackendDirectory;
import lemondrift.proxy.discovery.EndpointLists;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.events.EndpointList;
import lemondrift.proxy.events.PendingRequest;
import lemondrift.proxy.events.ProxyActions;
import lemondrift.proxy.health.TaskMonitor;
import lemondrift.settings.RequestClassIndex;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the decision loop without sockets. The test sets the clock and records the requested
 * actions.
 */
class DecisionLoopTest implements ProxyActions {
    private static final int BACKENDS = 3200;

    /** How long a test waits for an action before it fails, in seconds. */
    private static final long WAIT_SECONDS = 5;

    /** The timeout that clients state in their requests. */
    private static final double REQUEST_TIMEOUT_SECONDS = 2;

    /** The index of the class whose requests must not be executed twice. */
    private static final int NOT_IDEMPOTENT_CLASS = 0;

    /** The index of the class whose requests may be executed twice. */
    private static final int IDEMPOTENT_CLASS = 1;

    /** An index without a class, so that a decision about such a request throws. */
    private static final int UNKNOWN_CLASS = 99;

    private static final Settings SETTINGS =
            new Settings(
                    1,
                    1,
                    0,
                    false,
                    List.of(
                            requestClass(Idempotency.NOT_IDEMPOTENT),
                            requestClass(Idempotency.IDEMPOTENT)),
                    new double[0],
                    1,
                    false,
                    new Settings.LoadReports(false, -1, -1, false, -1),
                    new Settings.Limits(true, false, 4, 0.5),
                    new Settings.Rules(0.25, 8, 3, 2, 10),
                    new Settings.Costs(0, 0));
    private static final BackendResponse OK_RESPONSE =
            BackendResponse.received(BackendResponse.OK, null, new byte[0], null);

    private final LinkedBlockingQueue<byte[]> gossipDatagrams = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> actions = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<Attempt> sentAttempts = new LinkedBlockingQueue<>();
    private volatile double now = 1000;
    private volatile boolean sendFails;
    private volatile boolean gossipFails;

    /** By how many seconds the clock advances when the next pool is retired. */
    private volatile double retireSeconds;

    private final TaskMonitor tasks = new TaskMonitor(() -> now);
    private final DecisionLoop decisionLoop =
            new DecisionLoop(
                    new LoadBalancer(SETTINGS, 7),
                    new BackendDirectory(List.of("a")),
                    () -> now,
                    this,
                    new RequestClassIndex(List.of("order", "look"), SETTINGS.requestClasses()),
                    SETTINGS,
                    tasks);

    private static RequestClass requestClass(Idempotency idempotency) {
        return new RequestClass(1, 0, 1, 2, idempotency, DeduplicationScope.ALL, 0);
    }

    private void receiveRequest(long id) {
        receiveRequest(id, NOT_IDEMPOTENT_CLASS);
    }

    private void receiveRequest(long id, int requestClass) {
        decisionLoop.requestArrived(
                new PendingRequest(
                        new Request(id, requestClass, 0, now, REQUEST_TIMEOUT_SECONDS),
                        null,
                        new byte[0],
                        null));
    }

    /** Returns the attempt that is sent for a request; null if none is sent in time. */
    private Attempt receiveRequestAndAwaitAttempt(long id) throws InterruptedException {
        receiveRequest(id);
        return nextAttempt();
    }

    private Attempt nextAttempt() throws InterruptedException {
        return sentAttempts.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private byte[] nextGossipDatagram() throws InterruptedException {
        return gossipDatagrams.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private void receiveList(String phase) {
        decisionLoop.endpointListReceived(
                EndpointLists.of(true, "s-1 " + phase + " 1"), false, () -> {});
    }

    private String nextAction() throws InterruptedException {
        return actions.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() {
        decisionLoop.stop();
    }

    /**
     * Guards against an attempt that stays in flight forever after its send has thrown, and against
     * replying 502 to a request of which nothing was sent.
     */
    @Test
    void rejectsRequestAndEndsAttemptWhenSendThrows() throws Exception {
        decisionLoop.start();
        receiveList("active");
        sendFails = true;
        receiveRequest(1);
        assertEquals("rejected 1", nextAction());
        sendFails = false;
        Attempt unsent = nextAttempt();
        assertEquals(0, openRequestsAndReferences());
        assertTrue(unsent.ended, "the balancer was not informed of the attempt's end");
        assertEquals(0, unsent.request.attemptsInFlight);
        decisionLoop.attemptEnded(
                receiveRequestAndAwaitAttempt(2), AttemptOutcome.SUCCESS, 0.1, null, OK_RESPONSE);
        assertEquals("delivered 2", nextAction());
        assertEquals(0, openRequestsAndReferences());
    }

    /** Guards against a request that is never answered because a decision about it has thrown. */
    @Test
    void failsRequestWhenBalancerThrowsAndKeepsRunning() throws Exception {
        decisionLoop.start();
        receiveList("active");
        receiveRequest(1, UNKNOWN_CLASS);
        assertEquals("failed 1", nextAction());
        decisionLoop.attemptEnded(
                receiveRequestAndAwaitAttempt(2), AttemptOutcome.SUCCESS, 0.1, null, OK_RESPONSE);
        assertEquals("delivered 2", nextAction());
        assertEquals(0, openRequestsAndReferences());
    }

    /** Returns the number of open requests plus the number of references to backends. */
    private int openRequestsAndReferences() throws Exception {
        CompletableFuture<Integer> count = new CompletableFuture<>();
        decisionLoop.runOnLoop(
                () ->
                        count.complete(
                                decisionLoop.openRequestCount()
                                        + decisionLoop.backendReferenceCount()));
        return count.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void reportsAttemptsInFlightToOtherProxies() throws Exception {
        InetSocketAddress anyAddress = InetSocketAddress.createUnresolved("p", 1);
        decisionLoop.enableGossip(
                new GossipSettings(null, List.of(anyAddress, anyAddress), 1, 0, 1, 12));
        decisionLoop.start();
        receiveList("active");
        Attempt attempt = receiveRequestAndAwaitAttempt(1);
        SubsetAssignment subsets = new SubsetAssignment(2, 12);
        LoadGossip otherProxy = new LoadGossip(2, 0, 1, 0, 1, subsets, tag -> {});
        otherProxy.processDatagram(1, nextGossipDatagram(), now);
        while (otherProxy.peerLoad(LoadGossip.tag("s-1")) == 0) {
            otherProxy.processDatagram(1, nextGossipDatagram(), now);
        }
        decisionLoop.datagramReceived(0, new byte[] {1, 2, 3});
        decisionLoop.attemptEnded(attempt, AttemptOutcome.SUCCESS, 0.1, null, OK_RESPONSE);
        while (otherProxy.peerLoad(LoadGossip.tag("s-1")) > 0) {
            otherProxy.processDatagram(1, nextGossipDatagram(), now);
        }
        assertEquals("delivered 1", nextAction());
    }

    /** Guards against an error of gossip that ends the thread that decides about all requests. */
    @Test
    void decidesWhileGossipFails() throws Exception {
        gossipFails = true;
        InetSocketAddress anyAddress = InetSocketAddress.createUnresolved("p", 1);
        decisionLoop.enableGossip(
                new GossipSettings(null, List.of(anyAddress, anyAddress), 1, 0, 1, 12));
        decisionLoop.start();
        receiveList("active");
        assertNotNull(receiveRequestAndAwaitAttempt(1));
        for (int failure = 0; failure < 3; failure++) {
            now++;
            assertNotNull(nextGossipDatagram(), "messages are due each second");
            assertNotNull(receiveRequestAndAwaitAttempt(2 + failure));
        }
        assertTrue(tasks.json().matches(".*\"GOSSIP_SEND\":[1-9].*"), tasks.json());
    }

    @Test
    void answersRequestOnceAndDiscardsLateResponses() throws Exception {
        decisionLoop.start();
        receiveList("active");
        Attempt first = receiveRequestAndAwaitAttempt(1);
        now += 1.5;
        decisionLoop.attemptEnded(first, AttemptOutcome.TIMED_OUT, 1.5, null, null);
        assertEquals("failed 1", nextAction());
        Attempt second = receiveRequestAndAwaitAttempt(2);
        decisionLoop.requestAbandoned(second.request);
        assertEquals("cancelled 2", nextAction());
        decisionLoop.attemptEnded(second, AttemptOutcome.SUCCESS, 0.1, null, OK_RESPONSE);
        decisionLoop.attemptEnded(
                receiveRequestAndAwaitAttempt(3), AttemptOutcome.SUCCESS, 0.1, null, OK_RESPONSE);
        assertEquals(
                "delivered 3", nextAction(), "no action for the request whose client has left");
    }

    /**
     * Guards against replying 502 at the end of the process to requests that a client may send
     * again.
     */
    @Test
    void rejectsIdempotentAndFailsOtherOpenRequestsAtShutdown() throws Exception {
        decisionLoop.start();
        receiveList("active");
        receiveRequest(1, NOT_IDEMPOTENT_CLASS);
        receiveRequest(2, IDEMPOTENT_CLASS);
        assertNotNull(nextAttempt());
        assertNotNull(nextAttempt());
        decisionLoop.endOpenRequests();
        List<String> ended = List.of(nextAction(), nextAction(), nextAction(), nextAction());
        assertTrue(ended.contains("failed 1"), ended.toString());
        assertTrue(ended.contains("rejected 2"), ended.toString());
    }

    @Test
    void retiresPoolOfDrainingBackendAndRejectsNextRequest() throws Exception {
        decisionLoop.start();
        receiveList("leaving");
        assertEquals("pool retired", nextAction());
        receiveRequest(1);
        assertEquals("rejected 1", nextAction());
    }

    /** Returns an incomplete list of thousands of backends, all in the same phase. */
    private static EndpointList longList(String phase) {
        return EndpointLists.of(
                false,
                IntStream.range(0, BACKENDS)
                        .mapToObj(
                                backend -> "many-" + backend + " " + phase + " " + (1000 + backend))
                        .toArray(String[]::new));
    }

    /** Guards against a long list that delays requests and replies. */
    @Test
    void decidesRequestsAndKeepsDeadlinesWhileALongListIsApplied() throws Exception {
        receiveList("active");
        decisionLoop.endpointListReceived(longList("active"), false, () -> actions.add("applied"));
        receiveRequest(1);
        decisionLoop.start();
        Attempt first = nextAttempt();
        assertEquals(
                List.of(), List.copyOf(actions), "the attempt is sent before the list is applied");
        assertEquals("applied", nextAction());
        retireSeconds = 3;
        decisionLoop.endpointListReceived(longList("left"), false, () -> actions.add("applied"));
        List<String> meanwhile = new ArrayList<>();
        for (String action = nextAction(); !"applied".equals(action); action = nextAction()) {
            meanwhile.add(action);
        }
        assertTrue(
                meanwhile.contains("failed 1") && meanwhile.indexOf("failed 1") < BACKENDS / 2,
                meanwhile.toString());
        decisionLoop.attemptEnded(first, AttemptOutcome.CANCELLED, 3, null, null);
    }

    /** Guards against applying an older list after a newer one. */
    @Test
    void appliesListsInOrderOfArrival() throws Exception {
        decisionLoop.endpointListReceived(
                longList("active"), false, () -> actions.add("applied 1"));
        decisionLoop.endpointListReceived(
                EndpointLists.of(true, "s-1 active 1"), false, () -> actions.add("applied 2"));
        decisionLoop.start();
        for (String action = nextAction(); !"applied 2".equals(action); action = nextAction()) {
            assertTrue(List.of("applied 1", "pool retired").contains(action), action);
        }
        assertEquals(
                0,
                receiveRequestAndAwaitAttempt(1).backend,
                "the only remaining backend has the first free index");
    }

    @Override
    public void send(Attempt attempt, PendingRequest pending, InetSocketAddress address) {
        sentAttempts.add(attempt);
        if (sendFails) {
            throw new IllegalStateException("thrown by the test");
        }
    }

    @Override
    public void cancel(Attempt attempt) {
        actions.add("cancelled " + attempt.request.id);
    }

    @Override
    public void probe(int backend, InetSocketAddress address) {
        actions.add("probe");
    }

    @Override
    public void requestEndpointList(Decision.EndpointListCall call) {
        actions.add("list requested");
    }

    @Override
    public void deliver(PendingRequest pending, BackendResponse response) {
        actions.add("delivered " + pending.request().id);
    }

    @Override
    public void discard(BackendResponse response) {
        actions.add("discarded");
    }

    @Override
    public void reject(PendingRequest pending, double retryAfterSeconds) {
        actions.add("rejected " + pending.request().id);
    }

    @Override
    public void fail(PendingRequest pending) {
        actions.add("failed " + pending.request().id);
    }

    @Override
    public void requestsDecided(int requestCount, double totalSeconds) {}

    @Override
    public void updateBackendCounts(int listedCount, int disabledCount) {}

    @Override
    public void settingsChanged(RequestClassIndex requestClasses, Settings settings) {
        actions.add("settings changed " + requestClasses.names());
    }

    @Override
    public void sendGossip(LoadGossip.Message message) {
        if (gossipFails) {
            gossipDatagrams.add(message.datagram());
            throw new IllegalStateException("gossip fails");
        }
        gossipDatagrams.add(message.datagram());
    }

    @Override
    public void flush() {}

    @Override
    public void retirePool(int backend) {
        now += retireSeconds;
        retireSeconds = 0;
        actions.add("pool retired");
    }
}
