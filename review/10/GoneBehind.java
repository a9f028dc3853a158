package case10;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import standin2.Backend;
import standin2.Case;
import standin2.Client;
import standin2.Discovery;
import standin2.Net;
import standin2.Proxy;
import standin2.Settings;

/** Clients that send much at once and go, while some connections are reset under requests. */
public final class GoneBehind {
    private static final String GRADE = "cutout";
    private static final String GRADE_BEHIND = "bulk-order";
    private static final int EXPIRY_MILLIS = 880;
    private static final int CLIENTS = 40;

    /** Requests that a client sends behind its first one, and the length of their bodies. */
    private static final int BEHIND = 5;

    private static final int BODY_BYTES = 60 * 1024;

    /** One request in so many has its connection reset under it, so late. */
    private static final int RESET_EVERY = 3;

    private static final double RESET_AFTER_MILLIS = 250;

    /** An attempt may begin 0.1 s after the close of its client; 50 ms are slack. */
    private static final double LOST_AFTER_MILLIS = 150;

    private final Case frame;
    private final Map<String, Double> goneAt = new ConcurrentHashMap<>();
    private final Set<String> resetIds = ConcurrentHashMap.newKeySet();
    private final AtomicInteger attempts = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();

    private GoneBehind(Case frame) {
        this.frame = frame;
    }

    public static void main(String[] arguments) throws IOException {
        Case.main(Path.of(arguments[0]), frame -> new GoneBehind(frame).run());
    }

    private void work(Backend.Call call) throws IOException {
        Double gone = goneAt.get(call.id());
        double begins = call.request.firstByteAt;
        if (gone != null && begins > gone + LOST_AFTER_MILLIS) {
            lost.incrementAndGet();
            frame.record(
                    "LOST: an attempt for %s begins at %s %.0f ms after its client closed",
                    call.id(), call.backend.id, begins - gone);
        }
        if (attempts.incrementAndGet() % RESET_EVERY == 0 && resetIds.add(call.id())) {
            Net.sleep(RESET_AFTER_MILLIS);
            frame.record("%s resets the connection under %s", call.backend.id, call.id());
            call.reset();
            return;
        }
        Net.sleep(100);
        call.serve("made for " + call.id());
    }

    private int run() throws IOException {
        List<Backend> backends = new ArrayList<>();
        for (String id : List.of("s-a", "s-b", "s-c")) {
            backends.add(new Backend(id, "muc-nord", this::work));
        }
        Discovery discovery = new Discovery(backends);
        Settings settings =
                new Settings()
                        .grade(GRADE, "retryable", 350, EXPIRY_MILLIS, 0)
                        .grade(GRADE_BEHIND, "fragile", 350, EXPIRY_MILLIS, 0);
        Proxy proxy = new Proxy(frame, 0, settings, discovery);
        for (int number = 0; number < CLIENTS; number++) {
            String id = Client.newId();
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(Client.request(id, GRADE, EXPIRY_MILLIS, null));
            for (int behind = 0; behind < BEHIND; behind++) {
                bytes.write(
                        Client.request(
                                Client.newId(),
                                GRADE_BEHIND,
                                EXPIRY_MILLIS,
                                "x".repeat(BODY_BYTES)));
            }
            Client client = new Client(proxy.port);
            client.write(bytes.toByteArray());
            Net.sleep(20);
            if (frame.trouble) {
                client.close();
                goneAt.put(id, Net.now());
                frame.record("client of %s sent %d bytes and closed", id, bytes.size());
            } else {
                Net.Message answer = client.read();
                if (answer != null && answer.status() == 200) {
                    served.incrementAndGet();
                }
                client.close();
            }
            Net.sleep(700);
        }
        boolean alive = proxy.isAlive();
        proxy.end();
        frame.record(
                "clients %d, attempts %d, served %d, attempts that began over %.0f ms after the"
                        + " close: %d",
                CLIENTS, attempts.get(), served.get(), LOST_AFTER_MILLIS, lost.get());
        if (!alive || (!frame.trouble && served.get() < CLIENTS / 2)) {
            throw new IOException("the proxy did not serve");
        }
        return lost.get();
    }
}
