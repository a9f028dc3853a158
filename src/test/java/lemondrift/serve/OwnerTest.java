package lemondrift.serve;

import static org.junit.jupiter.api.Assertions.*;

import com.google.gson.JsonParser;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import lemondrift.decide.Balancer;
import lemondrift.peer.Holdings;
import lemondrift.peer.Shares;
import lemondrift.model.*;
import lemondrift.settings.Grades;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The owner without sockets, its clock in the test's hand. */
class OwnerTest implements Hands {
    private static final Settings SETTINGS = new Settings(1, 1, 0, false,
            List.of(new ServiceGrade(1, 0, 1, 2, Effect.EFFECTFUL, Group.ALL, 0)), new double[0], 1, false,
            new Settings.Reports(false, -1, -1, false, -1), new Settings.Limits(true, false, 4, 0.5),
            new Settings.Rules(0.25, 8, 3, 2, 10), new Settings.Charges(0, 0));
    private static final Answer DELIVERED = new Answer(Answer.OK, null, new byte[0], true, false, null);

    private final LinkedBlockingQueue<byte[]> tellings = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> did = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<Forward> sends = new LinkedBlockingQueue<>();
    private volatile double now = 1000;
    private volatile boolean failing;
    private final Owner owner = new Owner(new Balancer(SETTINGS, 7), new Directory(List.of("a")), () -> now,
            this, new Grades(List.of("order"), SETTINGS.grades()), SETTINGS);

    private Forward arrive(long id) throws InterruptedException {
        owner.arrived(new Taken(new Exchange(id, 0, 0, now, 2), null, new byte[0], null));
        return sends.poll(5, TimeUnit.SECONDS);
    }

    private void list(String phase) {
        owner.listed(JsonParser.parseString("{\"complete\":true,\"members\":[{\"id\":\"s-1\",\"phase\":"
                + "\"" + phase + "\",\"host_port\":\"127.0.0.1:1\"}]}").getAsJsonObject(), false);
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
        owner.arrived(new Taken(new Exchange(1, 0, 0, now, 2), null, new byte[0], null));
        assertEquals("scrapped 1", next());
        failing = false;
        owner.ended(arrive(2), Outcome.DELIVERED, 0.1, null, DELIVERED);
        assertEquals("delivered 2", next());
    }

    @Test
    void theOthersAreToldWhatIsOut() throws Exception {
        InetSocketAddress any = InetSocketAddress.createUnresolved("p", 1);
        owner.tells(new Peers.Place(null, List.of(any, any), 1, 0, 1, 12));
        owner.start();
        list("active");
        Forward f = arrive(1);
        Shares shares = new Shares(2, 12);
        Holdings other = new Holdings(2, 0, 1, 0, 1, shares, tag -> { });
        other.told(1, tellings.poll(5, TimeUnit.SECONDS), now);
        while (other.others(Holdings.tag("s-1")) == 0) {
            other.told(1, tellings.poll(5, TimeUnit.SECONDS), now);
        }
        owner.told(0, new byte[] {1, 2, 3});
        owner.ended(f, Outcome.DELIVERED, 0.1, null, DELIVERED);
        while (other.others(Holdings.tag("s-1")) > 0) {
            other.told(1, tellings.poll(5, TimeUnit.SECONDS), now);
        }
        assertEquals("delivered 1", next());
    }

    @Test
    void anExchangeIsAnsweredOnceAndLateAnswersAreDropped() throws Exception {
        owner.start();
        list("active");
        Forward first = arrive(1);
        now += 1.5;
        owner.ended(first, Outcome.TIMED_OUT, 1.5, null, null);
        assertEquals("scrapped 1", next());
        Forward second = arrive(2);
        owner.left(second.exchange);
        assertEquals("cancelled 2", next());
        owner.ended(second, Outcome.DELIVERED, 0.1, null, DELIVERED);
        owner.ended(arrive(3), Outcome.DELIVERED, 0.1, null, DELIVERED);
        assertEquals("delivered 3", next(), "nothing more for the one whose client has gone");
    }

    @Test
    void aDrainToldLetsGoAndTheNextIsShed() throws Exception {
        owner.start();
        list("leaving");
        assertEquals("let go", next());
        owner.arrived(new Taken(new Exchange(1, 0, 0, now, 2), null, new byte[0], null));
        assertEquals("shed 1", next());
    }

    private static List<Listed> listed(Directory directory, boolean whole, String... idPhasePort) {
        String members = List.of(idPhasePort).stream().map(each -> each.replaceFirst("(.+) (.+) (.+)",
                "{\"id\":\"$1\",\"phase\":\"$2\",\"host_port\":\"127.0.0.1:$3\",\"cell\":3}"))
                .collect(Collectors.joining(","));
        return directory.listed(JsonParser.parseString("{\"members\":[" + members + "]}").getAsJsonObject(),
                whole);
    }

    @Test
    void anIndexPassesOnOnceItsBackendIsGoneAndNothingSpeaksOfIt() {
        Directory directory = new Directory(List.of("a"));
        listed(directory, true, "one active 1", "two active 2");
        directory.hold(0);
        assertTrue(listed(directory, true, "two active 2").contains(
                new Listed(0, false, 0, 3, Listed.State.GONE, 0)), "gone without a word");
        assertEquals(2, listed(directory, false, "three active 3").get(0).backend(), "still spoken of");
        directory.letGo(0);
        assertEquals(new Listed(0, true, 0, 3, Listed.State.READY, 0),
                listed(directory, false, "four active 4").get(0));
        assertEquals(3, listed(directory, false, "one active 1").get(0).backend(), "another place");
    }

    @Test
    void anAddressThatPassesOnTakesItsOldBackendAway() {
        Directory directory = new Directory(List.of("a"));
        listed(directory, true, "one active 1");
        assertEquals(List.of(new Listed(0, false, 0, 3, Listed.State.GONE, 0),
                new Listed(0, true, 0, 3, Listed.State.READY, 0)), listed(directory, false, "two active 1"));
    }

    @Override
    public void send(Forward f, Taken taken, InetSocketAddress to) {
        if (failing) {
            throw new IllegalStateException("made up");
        }
        sends.add(f);
    }

    @Override
    public void cancel(Forward f) {
        did.add("cancelled " + f.exchange.id);
    }

    @Override
    public void probe(int backend, InetSocketAddress to) {
        did.add("probe");
    }

    @Override
    public void list(Turn.ListCall call) {
        did.add("list");
    }

    @Override
    public void deliver(Taken taken, Answer answer) {
        did.add("delivered " + taken.exchange().id);
    }

    @Override
    public void drop(Answer answer) {
        did.add("dropped");
    }

    @Override
    public void giveUp(Taken taken, boolean shed, double retryAfter) {
        did.add((shed ? "shed " : "scrapped ") + taken.exchange().id);
    }

    @Override
    public void decided(int exchanges, double seconds) {
    }

    @Override
    public void targets(int listed, int disabled) {
    }

    @Override
    public void retuned(Grades grades, Settings settings) {
        did.add("retuned " + grades.names());
    }

    @Override
    public void tell(Holdings.Telling telling) {
        tellings.add(telling.datagram());
    }

    @Override
    public void act() {
    }

    @Override
    public void letGo(int backend) {
        did.add("let go");
    }
}
