package case6;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import standin2.Backend;
import standin2.Case;
import standin2.Client;
import standin2.Discovery;
import standin2.Net;
import standin2.Proxy;
import standin2.Settings;

/** Idle clients that fill the descriptors of a proxy, beside ordinary clients. */
public final class IdleCrowd {
    private static final String GRADE = "cutout";
    private static final int EXPIRY_MILLIS = 880;

    /** Up to half a second after its time an answer only earns nothing; 50 ms are slack. */
    private static final int LOST_AFTER_MILLIS = EXPIRY_MILLIS + 500 + 50;

    private static final double SECONDS = 30;
    private static final double CROWD_FROM_MILLIS = 3000;
    private static final int IDLE_CLIENTS = 900;

    /** One idle client in so many asks once before it rests. */
    private static final int ASKS_EVERY = 10;

    /** An idle client comes back so long after the proxy has ended its connection. */
    private static final double BACK_AFTER_MILLIS = 1000;

    /** Ordinary clients; one half keep their connections, the others take new ones. */
    private static final int ORDINARY_CLIENTS = 24;

    private final Case frame;
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger notServed = new AtomicInteger();
    private final AtomicInteger shut = new AtomicInteger();
    private final AtomicInteger notLetIn = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger idleOpen = new AtomicInteger();
    private final AtomicInteger idleEnded = new AtomicInteger();

    private IdleCrowd(Case frame) {
        this.frame = frame;
    }

    public static void main(String[] arguments) throws IOException {
        Case.main(Path.of(arguments[0]), frame -> new IdleCrowd(frame).run());
    }

    private static void work(Backend.Call call) throws IOException {
        Net.sleep(ThreadLocalRandom.current().nextDouble(20, 60));
        call.serve("made for " + call.id());
    }

    /** Each idle client connects, some ask once, and all rest until the proxy ends them. */
    private void crowd(Proxy proxy, double until) {
        SocketChannel[] channels = new SocketChannel[IDLE_CLIENTS];
        double[] backAt = new double[IDLE_CLIENTS];
        ByteBuffer buffer = ByteBuffer.allocate(4096);
        while (Net.now() < until) {
            int open = 0;
            for (int number = 0; number < IDLE_CLIENTS; number++) {
                try {
                    if (channels[number] == null) {
                        if (Net.now() >= backAt[number]) {
                            channels[number] = connect(proxy, number);
                        }
                    } else if (channels[number].read(buffer.clear()) < 0) {
                        throw new IOException("ended");
                    }
                } catch (IOException e) {
                    close(channels[number]);
                    channels[number] = null;
                    backAt[number] = Net.now() + BACK_AFTER_MILLIS;
                    idleEnded.incrementAndGet();
                }
                open += channels[number] == null ? 0 : 1;
            }
            idleOpen.set(open);
            Net.sleep(1);
        }
    }

    private static SocketChannel connect(Proxy proxy, int number) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.socket().connect(new InetSocketAddress(Net.HOST, proxy.port), 1000);
        channel.configureBlocking(false);
        if (number % ASKS_EVERY == 0) {
            channel.write(
                    ByteBuffer.wrap(Client.request(Client.newId(), GRADE, EXPIRY_MILLIS, null)));
        }
        return channel;
    }

    private static void close(SocketChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // It is closed.
        }
    }

    private void ordinary(Proxy proxy, boolean keeps, double until) throws IOException {
        Client client = null;
        while (Net.now() < until) {
            String id = Client.newId();
            boolean reusable = false;
            if (client == null) {
                try {
                    client = new Client(proxy.port);
                } catch (IOException e) {
                    notLetIn.incrementAndGet();
                    continue;
                }
            }
            try {
                client.socket.setSoTimeout(LOST_AFTER_MILLIS);
                client.write(Client.request(id, GRADE, EXPIRY_MILLIS, null));
                Net.Message answer = client.read();
                if (answer == null) {
                    shut.incrementAndGet();
                } else {
                    (answer.status() == 200 ? served : notServed).incrementAndGet();
                    reusable = keeps && !answer.field("connection").equalsIgnoreCase("close");
                }
            } catch (SocketTimeoutException e) {
                lost.incrementAndGet();
                frame.record(
                        "LOST: %s has neither an answer nor a closed connection %d ms after its"
                                + " last byte",
                        id, LOST_AFTER_MILLIS);
            } catch (IOException e) {
                // The connection was shut unread, which the pages allow in a crowd.
                shut.incrementAndGet();
            }
            if (!reusable) {
                client.close();
                client = null;
            }
            Net.sleep(20);
        }
    }

    private int run() throws IOException {
        List<Backend> backends = new ArrayList<>();
        for (String id : List.of("s-a", "s-b", "s-c", "s-d")) {
            backends.add(new Backend(id, "muc-nord", IdleCrowd::work));
        }
        Discovery discovery = new Discovery(backends);
        Settings settings = new Settings().grade(GRADE, "retryable", 350, EXPIRY_MILLIS, 0);
        Proxy proxy = new Proxy(frame, 0, settings, discovery);
        double until = Net.now() + SECONDS * 1000;
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < ORDINARY_CLIENTS; number++) {
            boolean keeps = number % 2 == 0;
            clients.add(Net.start("client", () -> ordinary(proxy, keeps, until)));
        }
        Net.sleep(CROWD_FROM_MILLIS);
        int servedBefore = served.get();
        if (frame.trouble) {
            frame.record("%d idle clients come", IDLE_CLIENTS);
            Net.start("crowd", () -> crowd(proxy, until));
        }
        while (Net.now() < until) {
            Net.sleep(Math.min(5000, Math.max(0, until - Net.now())));
            frame.record(
                    "so far: served %d, refused or failed %d, shut without an answer %d, not let in"
                            + " %d, lost %d; idle clients connected %d, ended by the proxy %d"
                            + " times",
                    served.get(),
                    notServed.get(),
                    shut.get(),
                    notLetIn.get(),
                    lost.get(),
                    idleOpen.get(),
                    idleEnded.get());
        }
        Net.join(clients);
        boolean alive = proxy.isAlive();
        proxy.end();
        frame.record("the process was alive at the end: %s", alive);
        if (servedBefore == 0) {
            throw new IOException("the proxy did not serve");
        }
        return lost.get() + (alive ? 0 : 1);
    }
}
