package case8;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import standin2.Backend;
import standin2.Case;
import standin2.Client;
import standin2.Discovery;
import standin2.Net;
import standin2.Proxy;
import standin2.Settings;

/**
 * Answers that come a second time some milliseconds late, after a long quiet time: in turn an
 * answer 200 of one backend, and a request that all backends turn away, as their queues are full.
 */
public final class SecondAnswer {
    private static final String GRADE = "time-booking";
    private static final int EXPIRY_MILLIS = 880;
    private static final int PROXIES = 5;
    private static final double SECONDS = 73;

    /** Each client rests for some seconds and then asks for some; one answer of these is spoilt. */
    private static final double CYCLE_MILLIS = 12_500;

    private static final double REST_MILLIS = 6_500;
    private static final double SPOILT_AT_MILLIS = REST_MILLIS + 3_000;
    private static final double LATE_MILLIS = 5;

    private final Case frame;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    /** By the request's id: the status that its client got; 0 for none. */
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();

    /** By the client's letter: the last cycle in which an answer was spoilt. */
    private final Map<Character, Integer> spoiltCycle = new ConcurrentHashMap<>();

    /** By the client's letter: the request that all backends turn away. */
    private final Map<Character, String> turnedAway = new ConcurrentHashMap<>();

    private final AtomicInteger spoilt = new AtomicInteger();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicInteger twice = new AtomicInteger();

    private SecondAnswer(Case frame) {
        this.frame = frame;
    }

    public static void main(String[] arguments) throws IOException {
        Case.main(Path.of(arguments[0]), frame -> new SecondAnswer(frame).run());
    }

    /** Returns whether the answer to this request comes twice. */
    private boolean isSpoilt(Backend.Call call) {
        // The first character of an id names the client, and so the proxy.
        char letter = call.id().charAt(0);
        double now = Net.now();
        int cycle = (int) (now / CYCLE_MILLIS);
        synchronized (this) {
            if (call.id().equals(turnedAway.get(letter))) {
                return true;
            }
            boolean turnsAway = cycle % 2 == 1;
            if (!frame.trouble
                    || now % CYCLE_MILLIS < SPOILT_AT_MILLIS
                    || spoiltCycle.getOrDefault(letter, -1) == cycle
                    || !turnsAway && !call.backend.id.equals("s-a")) {
                return false;
            }
            if (turnsAway) {
                turnedAway.put(letter, call.id());
            }
            spoiltCycle.put(letter, cycle);
            return true;
        }
    }

    private void work(Backend.Call call) throws IOException {
        boolean spoils = isSpoilt(call);
        boolean turnsAway = call.id().equals(turnedAway.get(call.id().charAt(0)));
        byte[] answer;
        if (turnsAway) {
            answer = call.answer("503 Service Unavailable", "X-Never-Ran: 1\r\n", "full");
        } else {
            runs.computeIfAbsent(call.id(), id -> new AtomicInteger()).incrementAndGet();
            Net.sleep(ThreadLocalRandom.current().nextDouble(30, 50));
            answer = call.answer("200 OK", "", "made for " + call.id());
        }
        call.write(answer);
        if (spoils) {
            frame.record(
                    "%s answers %s %s twice, %.0f ms apart",
                    call.backend.id,
                    call.id(),
                    turnsAway ? "503, never ran," : "200",
                    LATE_MILLIS);
            spoilt.incrementAndGet();
            Net.sleep(LATE_MILLIS);
            call.write(answer);
        }
    }

    /** Asks without a pause; a request that was refused is tried again at once, with a new id. */
    private void client(Proxy proxy, char letter, double until) throws IOException {
        Client connection = new Client(proxy.port);
        while (Net.now() < until) {
            if (Net.now() % CYCLE_MILLIS < REST_MILLIS) {
                connection.close();
                Net.sleep(REST_MILLIS - Net.now() % CYCLE_MILLIS);
                connection = new Client(proxy.port);
            }
            String id = letter + Client.newId().substring(1);
            asked.incrementAndGet();
            connection.write(Client.request(id, GRADE, EXPIRY_MILLIS, "book"));
            Net.Message answer = connection.read();
            statuses.put(id, answer == null ? 0 : answer.status());
            if (answer != null && answer.status() == 200) {
                served.incrementAndGet();
                String body = new String(answer.body, StandardCharsets.US_ASCII);
                if (!body.equals("made for " + id)) {
                    foreign.incrementAndGet();
                    frame.record("FOREIGN: %s was answered 200 with \"%s\"", id, body);
                }
            }
            if (answer == null || answer.field("connection").equalsIgnoreCase("close")) {
                connection.close();
                connection = new Client(proxy.port);
            }
        }
        connection.close();
    }

    private int run() throws IOException {
        List<Backend> backends =
                List.of(
                        new Backend("s-a", "muc-nord", this::work),
                        new Backend("s-b", "muc-nord", this::work));
        Discovery discovery = new Discovery(backends);
        Settings settings = new Settings().grade(GRADE, "fragile", 350, EXPIRY_MILLIS, 0);
        settings.connIdleMillis = 10_000;
        settings.probes = false;
        settings.proxies = PROXIES;
        List<Proxy> proxies = new ArrayList<>();
        for (int number = 0; number < PROXIES; number++) {
            proxies.add(new Proxy(frame, number, settings, discovery));
        }
        double until = Net.now() + SECONDS * 1000;
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < PROXIES; number++) {
            Proxy proxy = proxies.get(number);
            char letter = (char) ('a' + number);
            clients.add(Net.start("client", () -> client(proxy, letter, until)));
        }
        Net.join(clients);
        Net.sleep(500);
        for (Map.Entry<String, Integer> each : statuses.entrySet()) {
            int ran = runs.containsKey(each.getKey()) ? runs.get(each.getKey()).get() : 0;
            if (ran > 1 || (ran > 0 && each.getValue() == 503)) {
                twice.incrementAndGet();
                frame.record(
                        "TWICE: %s, which may run once, ran %d times and was answered %d",
                        each.getKey(), ran, each.getValue());
            }
        }
        boolean alive = proxies.stream().allMatch(Proxy::isAlive);
        proxies.forEach(Proxy::end);
        frame.record(
                "asked %d, served %d, answers spoilt %d; run twice, or refused after running: %d;"
                        + " foreign answers: %d",
                asked.get(), served.get(), spoilt.get(), twice.get(), foreign.get());
        if (!alive || served.get() < asked.get() / 2) {
            throw new IOException("the proxy did not serve");
        }
        return twice.get() + foreign.get();
    }
}
