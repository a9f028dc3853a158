package lemondrift.proxy.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParser;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import lemondrift.balancer.LoadBalancer;
import lemondrift.gossip.LoadGossip;
import lemondrift.gossip.SubsetAssignment;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.DeduplicationScope;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Idempotency;
import lemondrift.model.Request;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;
import lemondrift.proxy.config.GossipSettings;
import lemondrift.proxy.discovery.BackendDirectory;
import lemondrift.proxy.discovery.EndpointListBuilder;
import lemondrift.proxy.discovery.EndpointListUpdate;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.events.EndpointList;
import lemondrift.proxy.events.PendingRequest;
import lemondrift.proxy.events.ProxyActions;
import lemondrift.settings.RequestClassIndex;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The owner without sockets, its clock in the test's hand. */
class DecisionLoopTest implements ProxyActions {
    private static final int MANY = 3200;
    private static final Settings SETTINGS =
            new Settings(
                    1,
                    1,
                    0,
                    false,
                    List.of(
                            new RequestClass(
                                    1,
                                    0,
                                    1,
                                    2,
                                    Idempotency.NOT_IDEMPOTENT,
                                    DeduplicationScope.ALL,
                                    0)),
                    new double[0],
                    1,
                    false,
                    new Settings.LoadReports(false, -1, -1, false, -1),
                    new Settings.Limits(true, false, 4, 0.5),
                    new Settings.Rules(0.25, 8, 3, 2, 10),
                    new Settings.Costs(0, 0));
    private static final BackendResponse DELIVERED =
            new BackendResponse(BackendResponse.OK, null, new byte[0], true, false, null);

    private final LinkedBlockingQueue<byte[]> tellings = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> did = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<Attempt> sends = new LinkedBlockingQueue<>();
    private volatile double now = 1000;
    private volatile boolean failing;

    /** How many seconds pass while the sockets are told to let go of a backend. */
    private volatile double passes;

    private final DecisionLoop decisionLoop =
            new DecisionLoop(
                    new LoadBalancer(SETTINGS, 7),
                    new BackendDirectory(List.of("a")),
                    () -> now,
                    this,
                    new RequestClassIndex(List.of("order"), SETTINGS.requestClasses()),
                    SETTINGS);

    private Attempt arrive(long id) throws InterruptedException {
        decisionLoop.requestArrived(
                new PendingRequest(new Request(id, 0, 0, now, 2), null, new byte[0], null));
        return sends.poll(5, TimeUnit.SECONDS);
    }

    private void list(String phase) {
        decisionLoop.endpointListReceived(list(true, "s-1 " + phase + " 1"), false, () -> {});
    }

    private String next() throws InterruptedException {
        return did.poll(5, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() {
        decisionLoop.stop();
    }

    @Test
    void anErrorInOneExchangeEndsThatExchangeAlone() throws Exception {
        decisionLoop.start();
        list("active");
        failing = true;
        decisionLoop.requestArrived(
                new PendingRequest(new Request(1, 0, 0, now, 2), null, new byte[0], null));
        assertEquals("scrapped 1", next());
        failing = false;
        decisionLoop.attemptEnded(arrive(2), AttemptOutcome.SUCCESS, 0.1, null, DELIVERED);
        assertEquals("delivered 2", next());
    }

    @Test
    void theOthersAreToldWhatIsOut() throws Exception {
        InetSocketAddress any = InetSocketAddress.createUnresolved("p", 1);
        decisionLoop.enableGossip(new GossipSettings(null, List.of(any, any), 1, 0, 1, 12));
        decisionLoop.start();
        list("active");
        Attempt attempt = arrive(1);
        SubsetAssignment subsets = new SubsetAssignment(2, 12);
        LoadGossip other = new LoadGossip(2, 0, 1, 0, 1, subsets, tag -> {});
        other.receive(1, tellings.poll(5, TimeUnit.SECONDS), now);
        while (other.peerLoad(LoadGossip.tag("s-1")) == 0) {
            other.receive(1, tellings.poll(5, TimeUnit.SECONDS), now);
        }
        decisionLoop.datagramReceived(0, new byte[] {1, 2, 3});
        decisionLoop.attemptEnded(attempt, AttemptOutcome.SUCCESS, 0.1, null, DELIVERED);
        while (other.peerLoad(LoadGossip.tag("s-1")) > 0) {
            other.receive(1, tellings.poll(5, TimeUnit.SECONDS), now);
        }
        assertEquals("delivered 1", next());
    }

    @Test
    void anExchangeIsAnsweredOnceAndLateAnswersAreDropped() throws Exception {
        decisionLoop.start();
        list("active");
        Attempt first = arrive(1);
        now += 1.5;
        decisionLoop.attemptEnded(first, AttemptOutcome.TIMED_OUT, 1.5, null, null);
        assertEquals("scrapped 1", next());
        Attempt second = arrive(2);
        decisionLoop.clientLeft(second.request);
        assertEquals("cancelled 2", next());
        decisionLoop.attemptEnded(second, AttemptOutcome.SUCCESS, 0.1, null, DELIVERED);
        decisionLoop.attemptEnded(arrive(3), AttemptOutcome.SUCCESS, 0.1, null, DELIVERED);
        assertEquals("delivered 3", next(), "nothing more for the one whose client has gone");
    }

    @Test
    void aDrainToldLetsGoAndTheNextIsShed() throws Exception {
        decisionLoop.start();
        list("leaving");
        assertEquals("let go", next());
        decisionLoop.requestArrived(
                new PendingRequest(new Request(1, 0, 0, now, 2), null, new byte[0], null));
        assertEquals("shed 1", next());
    }

    private static EndpointList list(boolean whole, String... idPhasePort) {
        String member =
                "{\"id\":\"$1\",\"phase\":\"$2\"," + "\"host_port\":\"127.0.0.1:$3\",\"cell\":3}";
        String members =
                Arrays.stream(idPhasePort)
                        .map(each -> each.replaceFirst("(.+) (.+) (.+)", member))
                        .collect(Collectors.joining(","));
        return EndpointListBuilder.of(
                JsonParser.parseString("{\"complete\":" + whole + ",\"members\":[" + members + "]}")
                        .getAsJsonObject());
    }

    /** Thousands of backends, all in one phase. */
    private static EndpointList longList(String phase) {
        return list(
                false,
                IntStream.range(0, MANY)
                        .mapToObj(i -> "many-" + i + " " + phase + " " + (1000 + i))
                        .toArray(String[]::new));
    }

    private static List<EndpointUpdate> listed(
            BackendDirectory directory, boolean whole, String... idPhasePort) {
        EndpointListUpdate update =
                new EndpointListUpdate(directory, list(whole, idPhasePort), false, () -> {});
        List<EndpointUpdate> updates = new ArrayList<>();
        while (!update.isDone()) {
            updates.addAll(update.nextSlice());
        }
        return updates;
    }

    /**
     * Danger: thousands of lines would hold up whoever comes meanwhile, and all that have to be
     * answered.
     */
    @Test
    void whileALongListIsFollowedRequestsAreDecidedAndExpiriesKept() throws Exception {
        list("active");
        decisionLoop.endpointListReceived(longList("active"), false, () -> did.add("followed"));
        decisionLoop.requestArrived(
                new PendingRequest(new Request(1, 0, 0, now, 2), null, new byte[0], null));
        decisionLoop.start();
        Attempt first = sends.poll(5, TimeUnit.SECONDS);
        assertEquals(List.of(), List.copyOf(did), "sent before the list was followed");
        assertEquals("followed", next());
        passes = 3;
        decisionLoop.endpointListReceived(longList("left"), false, () -> did.add("followed"));
        List<String> then = new ArrayList<>();
        for (String each = next(); !"followed".equals(each); each = next()) {
            then.add(each);
        }
        assertTrue(
                then.contains("scrapped 1") && then.indexOf("scrapped 1") < MANY / 2,
                then.toString());
        decisionLoop.attemptEnded(first, AttemptOutcome.CANCELLED, 3, null, null);
    }

    /**
     * Danger: what came while another list is followed must not be told of backends by the older
     * one.
     */
    @Test
    void listsThatComeWhileOneIsFollowedAreFollowedInTheirOrder() throws Exception {
        decisionLoop.endpointListReceived(longList("active"), false, () -> did.add("followed 1"));
        decisionLoop.endpointListReceived(
                list(true, "s-1 active 1"), false, () -> did.add("followed 2"));
        decisionLoop.start();
        for (String each = next(); !"followed 2".equals(each); each = next()) {
            assertTrue(List.of("followed 1", "let go").contains(each), each);
        }
        assertEquals(0, arrive(1).backend, "the only one left, under the first index that is free");
    }

    @Test
    void whatALongListSaysOfDrainsComesBeforeAllElse() {
        BackendDirectory directory = new BackendDirectory(List.of("a"));
        listed(directory, true, "one active 1", "two active 2");
        String[] lines =
                IntStream.range(0, MANY)
                        .mapToObj(i -> "many-" + i + " active " + (1000 + i))
                        .toArray(String[]::new);
        lines[MANY - 1] = "two leaving 2";
        List<EndpointUpdate> told = listed(directory, true, lines);
        assertEquals(
                List.of(
                        EndpointUpdate.State.GONE,
                        EndpointUpdate.State.DRAINING,
                        EndpointUpdate.State.READY),
                told.stream().limit(3).map(EndpointUpdate::state).toList());
        assertEquals(List.of(), listed(directory, true, lines), "the same again says nothing");
    }

    @Test
    void anIndexPassesOnOnceItsBackendIsGoneAndNothingSpeaksOfIt() {
        BackendDirectory directory = new BackendDirectory(List.of("a"));
        listed(directory, true, "one active 1", "two active 2");
        directory.retain(0);
        assertTrue(
                listed(directory, true, "two active 2")
                        .contains(new EndpointUpdate(0, false, 0, 3, EndpointUpdate.State.GONE, 0)),
                "gone without a word");
        assertEquals(
                2, listed(directory, false, "three active 3").get(0).backend(), "still spoken of");
        directory.release(0);
        assertEquals(
                new EndpointUpdate(0, true, 0, 3, EndpointUpdate.State.READY, 0),
                listed(directory, false, "four active 4").get(0));
        assertEquals(3, listed(directory, false, "one active 1").get(0).backend(), "another place");
    }

    @Test
    void anAddressThatPassesOnTakesItsOldBackendAway() {
        BackendDirectory directory = new BackendDirectory(List.of("a"));
        listed(directory, true, "one active 1");
        assertEquals(
                List.of(
                        new EndpointUpdate(0, false, 0, 3, EndpointUpdate.State.GONE, 0),
                        new EndpointUpdate(0, true, 0, 3, EndpointUpdate.State.READY, 0)),
                listed(directory, false, "two active 1"));
    }

    @Override
    public void send(Attempt attempt, PendingRequest pending, InetSocketAddress to) {
        if (failing) {
            throw new IllegalStateException("made up");
        }
        sends.add(attempt);
    }

    @Override
    public void cancel(Attempt attempt) {
        did.add("cancelled " + attempt.request.id);
    }

    @Override
    public void probe(int backend, InetSocketAddress to) {
        did.add("probe");
    }

    @Override
    public void requestEndpointList(Decision.EndpointListCall call) {
        did.add("list");
    }

    @Override
    public void deliver(PendingRequest pending, BackendResponse response) {
        did.add("delivered " + pending.request().id);
    }

    @Override
    public void discard(BackendResponse response) {
        did.add("dropped");
    }

    @Override
    public void fail(PendingRequest pending, boolean shed, double retryAfter) {
        did.add((shed ? "shed " : "scrapped ") + pending.request().id);
    }

    @Override
    public void requestsDecided(int exchanges, double seconds) {}

    @Override
    public void backendsCounted(int listed, int disabled) {}

    @Override
    public void settingsChanged(RequestClassIndex requestClasses, Settings settings) {
        did.add("retuned " + requestClasses.names());
    }

    @Override
    public void sendGossip(LoadGossip.Message telling) {
        tellings.add(telling.datagram());
    }

    @Override
    public void flush() {}

    @Override
    public void retirePool(int backend) {
        now += passes;
        passes = 0;
        did.add("let go");
    }
}
