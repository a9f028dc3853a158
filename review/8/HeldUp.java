package case8;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import standin2.Backend;
import standin2.Case;
import standin2.Client;
import standin2.Discovery;
import standin2.Net;
import standin2.Proxy;
import standin2.Settings;

/** A proxy that is held up while it sends requests again near the end of the window for repeats. */
public final class HeldUp {
    private static final String GRADE = "download-order";
    private static final int CONTRACT_MILLIS = 410;
    private static final int EXPIRY_MILLIS = 1000;

    /** How long the backends remember a mark. */
    private static final int WINDOW_MILLIS = 250;

    private static final double SLACK_MILLIS = 50;

    /** Connections are reset so long before the end of the window. */
    private static final double RESET_BEFORE_MILLIS = 30;

    /** Below the 150 ms that the pages name. */
    private static final double HELD_UP_MILLIS = 130;

    /** A round in which the proxy was held up for longer, by the test's clock, counts for nothing. */
    private static final double HELD_UP_AT_MOST_MILLIS = 145;

    private static final int CLIENTS = 24;
    private static final int ROUNDS = 40;
    private static final double ROUND_MILLIS = 1200;

    private final Case frame;
    private final List<Backend> backends = new ArrayList<>();

    /** When each request came whole to the first backend. */
    private final Map<String, Double> firstAt = new ConcurrentHashMap<>();

    private final Queue<Backend.Call> toReset = new ConcurrentLinkedQueue<>();
    private final AtomicInteger twiceInRound = new AtomicInteger();
    private final AtomicInteger twice = new AtomicInteger();
    private final AtomicInteger recognized = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();

    /** The backend whose connections are reset in this round. */
    private volatile Backend struck;

    /** When the first request of the round came to it; 0 if none has. */
    private volatile double roundFirstAt;

    private HeldUp(Case frame) {
        this.frame = frame;
    }

    public static void main(String[] arguments) throws IOException {
        Case.main(Path.of(arguments[0]), frame -> new HeldUp(frame).run());
    }

    private void work(Backend.Call call) throws IOException {
        double now = call.request.lastByteAt;
        Double first = firstAt.putIfAbsent(call.id(), now);
        if (first != null && now - first <= WINDOW_MILLIS + SLACK_MILLIS) {
            recognized.incrementAndGet();
            call.serve("recognized");
            return;
        }
        if (first != null) {
            twiceInRound.incrementAndGet();
            frame.record(
                    "TWICE: %s came again to %s %.1f ms after it had run; the window is %d ms",
                    call.id(), call.backend.id, now - first, WINDOW_MILLIS);
        } else if (call.backend == struck) {
            synchronized (this) {
                if (roundFirstAt == 0) {
                    roundFirstAt = now;
                }
            }
            toReset.add(call);
            // The connection is reset, or else the request is answered late.
            Net.sleep(WINDOW_MILLIS);
        }
        Net.sleep(ThreadLocalRandom.current().nextDouble(98, 147));
        call.serve("made for " + call.id());
    }

    private void client(Proxy proxy, double startAt) throws IOException {
        Client connection = null;
        for (int round = 0; round < ROUNDS; round++) {
            Net.sleep(startAt + round * ROUND_MILLIS - Net.now());
            // An idle connection may be closed meanwhile.
            if (connection != null) {
                connection.close();
            }
            connection = new Client(proxy.port);
            connection.write(Client.request(Client.newId(), GRADE, EXPIRY_MILLIS, "order"));
            Net.Message answer = connection.read();
            if (answer != null && answer.status() == 200) {
                served.incrementAndGet();
            }
        }
        connection.close();
    }

    private int run() throws IOException {
        for (String id : List.of("s-a", "s-b", "s-c", "s-d")) {
            backends.add(new Backend(id, "muc-nord", this::work));
        }
        Discovery discovery = new Discovery(backends);
        Settings settings =
                new Settings()
                        .grade(GRADE, "dedup", CONTRACT_MILLIS, EXPIRY_MILLIS, WINDOW_MILLIS);
        settings.reportNames = "\"util\"";
        Proxy proxy = new Proxy(frame, 0, settings, discovery);
        double startAt = Net.now() + 500;
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            clients.add(Net.start("client", () -> client(proxy, startAt)));
        }
        for (int round = 0; round < ROUNDS; round++) {
            Net.sleep(startAt + round * ROUND_MILLIS - 100 - Net.now());
            toReset.clear();
            roundFirstAt = 0;
            // The first rounds only warm the proxy up.
            struck = frame.trouble && round > 2 ? backends.get(round % backends.size()) : null;
            Net.sleep(startAt + round * ROUND_MILLIS + 100 - Net.now());
            if (roundFirstAt > 0) {
                strike(proxy, round);
            }
        }
        Net.join(clients);
        boolean alive = proxy.isAlive();
        proxy.end();
        frame.record(
                "requests %d, served %d; sent again within the window %d, run again after it %d",
                CLIENTS * ROUNDS, served.get(), recognized.get(), twice.get());
        if (!alive || served.get() < CLIENTS * ROUNDS / 2) {
            throw new IOException("the proxy did not serve");
        }
        return twice.get();
    }

    private void strike(Proxy proxy, int round) throws IOException {
        Net.sleep(roundFirstAt + WINDOW_MILLIS - RESET_BEFORE_MILLIS - Net.now());
        double delay = ThreadLocalRandom.current().nextDouble(0, 3);
        double now = Net.now();
        int count = 0;
        for (Backend.Call call : toReset) {
            call.reset();
            count++;
        }
        Net.sleep(delay - (Net.now() - now));
        double stopped = Net.now();
        proxy.signal("STOP");
        Net.sleep(HELD_UP_MILLIS);
        proxy.signal("CONT");
        double heldUp = Net.now() - stopped;
        // What was written late comes at once now.
        Net.sleep(200);
        int late = twiceInRound.getAndSet(0);
        boolean counts = heldUp <= HELD_UP_AT_MOST_MILLIS;
        twice.addAndGet(counts ? late : 0);
        frame.record(
                "round %d: %s resets %d connections %.0f ms after the first request; the proxy is"
                        + " held up %.1f ms later, for %.1f ms%s",
                round,
                struck.id,
                count,
                now - roundFirstAt,
                delay,
                heldUp,
                counts ? "" : ", too long to count");
    }
}
