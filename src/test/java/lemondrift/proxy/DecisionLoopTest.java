package lemondrift.proxy;

import lemondrift.proxy.backend.BackendResponse;
import lemondrift.proxy.client.PendingRequest;
import lemondrift.proxy.discovery.BackendDirectory;
import lemondrift.proxy.discovery.EndpointList;
import lemondrift.proxy.discovery.EndpointListUpdate;
import lemondrift.proxy.gossip.GossipTransport;
import lemondrift.proxy.loop.DecisionLoop;
import lemondrift.proxy.loop.ProxyActions;

import static org.junit.jupiter.api.Assertions.*;

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
import lemondrift.settings.RequestClassIndex;
import lemondrift.model.*;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The owner without sockets, its clock in the test's hand. */
class DecisionLoopTest implements ProxyActions {
    private static final int MANY = 3200;
    private static final Settings SETTINGS = new Settings(1, 1, 0, false,
            List.of(new RequestClass(1, 0, 1, 2, Idempotency.EFFECTFUL, DeduplicationScope.ALL, 0)), new double[0], 1, false,
            new Settings.Reports(false, -1, -1, false, -1), new Settings.Limits(true, false, 4, 0.5),
            new Settings.Rules(0.25, 8, 3, 2, 10), new Settings.Charges(0, 0));
    private static final BackendResponse DELIVERED = new BackendResponse(BackendResponse.OK, null, new byte[0], true, false, null);

    private final LinkedBlockingQueue<byte[]> tellings = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> did = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<Attempt> sends = new LinkedBlockingQueue<>();
    private volatile double now = 1000;
    private volatile boolean failing;
    /** How many seconds pass while the sockets are told to let go of a backend. */
    private volatile double passes;
    private final DecisionLoop owner = new DecisionLoop(new LoadBalancer(SETTINGS, 7), new BackendDirectory(List.of("a")), () -> now,
            this, new RequestClassIndex(List.of("order"), SETTINGS.grades()), SETTINGS);

    private Attempt arrive(long id) throws InterruptedException {
        owner.arrived(new PendingRequest(new Request(id, 0, 0, now, 2), null, new byte[0], null));
        return sends.poll(5, TimeUnit.SECONDS);
    }

    private void list(String phase) {
        owner.listed(list(true, "s-1 " + phase + " 1"), false, () -> { });
    }

    private String next() throws InterruptedException {
        return did.poll(5, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() {
        owner.stop();
    }

    @Test
    void anErrorInOneExchangeEndsThatExchangeAlone() throws Exception {
        owner.start();
        list("active");
        failing = true;
        owner.arrived(new PendingRequest(new Request(1, 0, 0, now, 2), null, new byte[0], null));
        assertEquals("scrapped 1", next());
        failing = false;
        owner.ended(arrive(2), AttemptOutcome.DELIVERED, 0.1, null, DELIVERED);
        assertEquals("delivered 2", next());
    }

    @Test
    void theOthersAreToldWhatIsOut() throws Exception {
        InetSocketAddress any = InetSocketAddress.createUnresolved("p", 1);
        owner.tells(new GossipTransport.Place(null, List.of(any, any), 1, 0, 1, 12));
        owner.start();
        list("active");
        Attempt f = arrive(1);
        SubsetAssignment subsets = new SubsetAssignment(2, 12);
        LoadGossip other = new LoadGossip(2, 0, 1, 0, 1, subsets, tag -> { });
        other.told(1, tellings.poll(5, TimeUnit.SECONDS), now);
        while (other.others(LoadGossip.tag("s-1")) == 0) {
            other.told(1, tellings.poll(5, TimeUnit.SECONDS), now);
        }
        owner.told(0, new byte[] {1, 2, 3});
        owner.ended(f, AttemptOutcome.DELIVERED, 0.1, null, DELIVERED);
        while (other.others(LoadGossip.tag("s-1")) > 0) {
            other.told(1, tellings.poll(5, TimeUnit.SECONDS), now);
        }
        assertEquals("delivered 1", next());
    }

    @Test
    void anExchangeIsAnsweredOnceAndLateAnswersAreDropped() throws Exception {
        owner.start();
        list("active");
        Attempt first = arrive(1);
        now += 1.5;
        owner.ended(first, AttemptOutcome.TIMED_OUT, 1.5, null, null);
        assertEquals("scrapped 1", next());
        Attempt second = arrive(2);
        owner.left(second.exchange);
        assertEquals("cancelled 2", next());
        owner.ended(second, AttemptOutcome.DELIVERED, 0.1, null, DELIVERED);
        owner.ended(arrive(3), AttemptOutcome.DELIVERED, 0.1, null, DELIVERED);
        assertEquals("delivered 3", next(), "nothing more for the one whose client has gone");
    }

    @Test
    void aDrainToldLetsGoAndTheNextIsShed() throws Exception {
        owner.start();
        list("leaving");
        assertEquals("let go", next());
        owner.arrived(new PendingRequest(new Request(1, 0, 0, now, 2), null, new byte[0], null));
        assertEquals("shed 1", next());
    }

    private static EndpointList list(boolean whole, String... idPhasePort) {
        String members = Arrays.stream(idPhasePort).map(each -> each.replaceFirst("(.+) (.+) (.+)",
                "{\"id\":\"$1\",\"phase\":\"$2\",\"host_port\":\"127.0.0.1:$3\",\"cell\":3}"))
                .collect(Collectors.joining(","));
        return EndpointList.of(JsonParser.parseString("{\"complete\":" + whole + ",\"members\":[" + members
                + "]}").getAsJsonObject());
    }

    /** Thousands of backends, all in one phase. */
    private static EndpointList longList(String phase) {
        return list(false, IntStream.range(0, MANY).mapToObj(i -> "many-" + i + " " + phase + " "
                + (1000 + i)).toArray(String[]::new));
    }

    private static List<EndpointUpdate> listed(BackendDirectory directory, boolean whole, String... idPhasePort) {
        EndpointListUpdate update = new EndpointListUpdate(directory, list(whole, idPhasePort), false, () -> { });
        List<EndpointUpdate> lines = new ArrayList<>();
        while (!update.isDone()) {
            lines.addAll(update.slice());
        }
        return lines;
    }

    /** Danger: thousands of lines would hold up whoever comes meanwhile, and all that have to be answered. */
    @Test
    void whileALongListIsFollowedRequestsAreDecidedAndExpiriesKept() throws Exception {
        list("active");
        owner.listed(longList("active"), false, () -> did.add("followed"));
        owner.arrived(new PendingRequest(new Request(1, 0, 0, now, 2), null, new byte[0], null));
        owner.start();
        Attempt first = sends.poll(5, TimeUnit.SECONDS);
        assertEquals(List.of(), List.copyOf(did), "sent before the list was followed");
        assertEquals("followed", next());
        passes = 3;
        owner.listed(longList("left"), false, () -> did.add("followed"));
        List<String> then = new ArrayList<>();
        for (String each = next(); !"followed".equals(each); each = next()) {
            then.add(each);
        }
        assertTrue(then.contains("scrapped 1") && then.indexOf("scrapped 1") < MANY / 2, then.toString());
        owner.ended(first, AttemptOutcome.CANCELLED, 3, null, null);
    }

    /** Danger: what came while another list is followed must not be told of backends by the older one. */
    @Test
    void listsThatComeWhileOneIsFollowedAreFollowedInTheirOrder() throws Exception {
        owner.listed(longList("active"), false, () -> did.add("followed 1"));
        owner.listed(list(true, "s-1 active 1"), false, () -> did.add("followed 2"));
        owner.start();
        for (String each = next(); !"followed 2".equals(each); each = next()) {
            assertTrue(List.of("followed 1", "let go").contains(each), each);
        }
        assertEquals(0, arrive(1).backend, "the only one left, under the first index that is free");
    }

    @Test
    void whatALongListSaysOfDrainsComesBeforeAllElse() {
        BackendDirectory directory = new BackendDirectory(List.of("a"));
        listed(directory, true, "one active 1", "two active 2");
        String[] lines = IntStream.range(0, MANY).mapToObj(i -> "many-" + i + " active " + (1000 + i))
                .toArray(String[]::new);
        lines[MANY - 1] = "two leaving 2";
        List<EndpointUpdate> told = listed(directory, true, lines);
        assertEquals(List.of(EndpointUpdate.State.GONE, EndpointUpdate.State.DRAINING, EndpointUpdate.State.READY),
                told.stream().limit(3).map(EndpointUpdate::state).toList());
        assertEquals(List.of(), listed(directory, true, lines), "the same again says nothing");
    }

    @Test
    void anIndexPassesOnOnceItsBackendIsGoneAndNothingSpeaksOfIt() {
        BackendDirectory directory = new BackendDirectory(List.of("a"));
        listed(directory, true, "one active 1", "two active 2");
        directory.hold(0);
        assertTrue(listed(directory, true, "two active 2").contains(
                new EndpointUpdate(0, false, 0, 3, EndpointUpdate.State.GONE, 0)), "gone without a word");
        assertEquals(2, listed(directory, false, "three active 3").get(0).backend(), "still spoken of");
        directory.letGo(0);
        assertEquals(new EndpointUpdate(0, true, 0, 3, EndpointUpdate.State.READY, 0),
                listed(directory, false, "four active 4").get(0));
        assertEquals(3, listed(directory, false, "one active 1").get(0).backend(), "another place");
    }

    @Test
    void anAddressThatPassesOnTakesItsOldBackendAway() {
        BackendDirectory directory = new BackendDirectory(List.of("a"));
        listed(directory, true, "one active 1");
        assertEquals(List.of(new EndpointUpdate(0, false, 0, 3, EndpointUpdate.State.GONE, 0),
                new EndpointUpdate(0, true, 0, 3, EndpointUpdate.State.READY, 0)), listed(directory, false, "two active 1"));
    }

    @Override
    public void send(Attempt f, PendingRequest taken, InetSocketAddress to) {
        if (failing) {
            throw new IllegalStateException("made up");
        }
        sends.add(f);
    }

    @Override
    public void cancel(Attempt f) {
        did.add("cancelled " + f.exchange.id);
    }

    @Override
    public void probe(int backend, InetSocketAddress to) {
        did.add("probe");
    }

    @Override
    public void list(Decision.ListCall call) {
        did.add("list");
    }

    @Override
    public void deliver(PendingRequest taken, BackendResponse answer) {
        did.add("delivered " + taken.exchange().id);
    }

    @Override
    public void drop(BackendResponse answer) {
        did.add("dropped");
    }

    @Override
    public void giveUp(PendingRequest taken, boolean shed, double retryAfter) {
        did.add((shed ? "shed " : "scrapped ") + taken.exchange().id);
    }

    @Override
    public void decided(int exchanges, double seconds) {
    }

    @Override
    public void targets(int listed, int disabled) {
    }

    @Override
    public void retuned(RequestClassIndex grades, Settings settings) {
        did.add("retuned " + grades.names());
    }

    @Override
    public void tell(LoadGossip.Telling telling) {
        tellings.add(telling.datagram());
    }

    @Override
    public void act() {
    }

    @Override
    public void letGo(int backend) {
        now += passes;
        passes = 0;
        did.add("let go");
    }
}
