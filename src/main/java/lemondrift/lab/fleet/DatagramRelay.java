package lemondrift.lab.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import lemondrift.lab.simulation.Fault;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.xnio.IoUtils;

/**
 * The way of datagrams from proxy to proxy, with the faults that fall on it. To all proxies each of
 * them has one address, a socket of the testbed's: what comes there is for that proxy, and what a
 * proxy hears of another comes from the other's. It has a thread of its own.
 */
final class DatagramRelay implements AutoCloseable {
    /** Milliseconds between two datagrams of junk to each, and the longest that is sent. */
    private static final int JUNK_PACE = 10;

    private static final int LONGEST_JUNK = 600;

    private record Late(double at, long order, int from, int to, byte[] datagram)
            implements Comparable<Late> {
        @Override
        public int compareTo(Late other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final DoubleSupplier clock;
    private final Supplier<FaultPlan> faults;
    private final DatagramChannel[] boxes;
    private final DatagramChannel foreign = DatagramChannel.open();
    private final InetSocketAddress[] homes;
    private final Map<SocketAddress, Integer> numbers = new HashMap<>();
    private final Selector selector = Selector.open();
    private final PriorityQueue<Late> late = new PriorityQueue<>();
    private final UniformRandomProvider random;
    private final ByteBuffer buffer = ByteBuffer.allocate(2048);

    /** Datagrams and bytes that each proxy has sent. */
    private final AtomicLongArray sent;

    private final AtomicLongArray bytes;

    private final Thread thread = new Thread(this::run, "mail");
    private long order;
    private double junkAt;
    private volatile boolean over;

    /** Each proxy hears at a home of its own; the clock is the day's. */
    DatagramRelay(
            InetSocketAddress[] homes, Supplier<FaultPlan> faults, long seed, DoubleSupplier clock)
            throws IOException {
        this.homes = homes;
        this.faults = faults;
        this.clock = clock;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        boxes = new DatagramChannel[homes.length];
        sent = new AtomicLongArray(homes.length);
        bytes = new AtomicLongArray(homes.length);
        for (int i = 0; i < homes.length; i++) {
            numbers.put(homes[i], i);
            boxes[i] = DatagramChannel.open();
            boxes[i].bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .configureBlocking(false);
            boxes[i].register(selector, SelectionKey.OP_READ, i);
        }
        foreign.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        thread.setDaemon(true);
        thread.start();
    }

    /** Where all send what is for a proxy. */
    InetSocketAddress address(int proxy) throws IOException {
        return (InetSocketAddress) boxes[proxy].getLocalAddress();
    }

    long sent(int proxy) {
        return sent.get(proxy);
    }

    long bytes(int proxy) {
        return bytes.get(proxy);
    }

    private void run() {
        while (!over) {
            try {
                selector.select(
                        key -> comes((Integer) key.attachment()),
                        late.isEmpty()
                                ? JUNK_PACE
                                : Math.max(
                                        1,
                                        Math.min(
                                                JUNK_PACE,
                                                (long) (1000 * (late.peek().at - now())))));
                while (!late.isEmpty() && late.peek().at <= now()) {
                    Late next = late.poll();
                    deliver(next.from, next.to, next.datagram);
                }
                if (now() >= junkAt) {
                    junkAt = now() + JUNK_PACE / 1000.0;
                    faults.get().junk(now()).forEach(this::junk);
                }
            } catch (IOException e) {
                // A socket that fails is a way that loses; the run goes on and its figures show it.
            }
        }
    }

    private double now() {
        return clock.getAsDouble();
    }

    private void comes(int to) {
        try {
            for (SocketAddress from = boxes[to].receive(buffer.clear());
                    from != null;
                    from = boxes[to].receive(buffer.clear())) {
                Integer proxy = numbers.get(from);
                if (proxy != null) {
                    byte[] datagram = new byte[buffer.flip().remaining()];
                    buffer.get(datagram);
                    sent.incrementAndGet(proxy);
                    bytes.addAndGet(proxy, datagram.length);
                    carry(proxy, to, datagram);
                }
            }
        } catch (IOException e) {
            // As above.
        }
    }

    private void carry(int from, int to, byte[] datagram) {
        double now = now();
        double at = now;
        boolean twice = false;
        List<Fault> holding = faults.get().onDatagram(from, to, now);
        for (Fault each : holding) {
            boolean falls = random.nextDouble() < each.share();
            switch (each.kind()) {
                case CUT -> {
                    return;
                }
                case LOSE -> {
                    if (falls) {
                        return;
                    }
                }
                case LATE -> at += falls ? each.by() : 0;
                case DISORDER -> at += falls ? each.by() * random.nextDouble() : 0;
                case TWICE -> twice |= falls;
                default -> {}
            }
        }
        for (int i = 0; i < (twice ? 2 : 1); i++) {
            if (at > now) {
                late.add(new Late(at + i * (at - now), ++order, from, to, datagram));
            } else {
                deliver(from, to, datagram);
            }
        }
    }

    private void deliver(int from, int to, byte[] datagram) {
        try {
            boxes[from].send(ByteBuffer.wrap(datagram), homes[to]);
        } catch (IOException e) {
            // Nobody is at home: lost, as on any network.
        }
    }

    /** What no proxy has sent: under a known number, or from where no proxy is. */
    private void junk(FaultPlan.Drawn each) {
        byte[] datagram = new byte[random.nextInt(LONGEST_JUNK)];
        random.nextBytes(datagram);
        if (datagram.length > 0 && random.nextBoolean()) {
            // The kind of a real gossip message, with whatever follows.
            datagram[0] = 2;
        }
        for (int to = 0; to < homes.length; to++) {
            if (each.to()[to]) {
                int from = random.nextInt(homes.length + 1);
                if (from < homes.length) {
                    deliver(from, to, datagram);
                } else {
                    try {
                        foreign.send(ByteBuffer.wrap(datagram), homes[to]);
                    } catch (IOException e) {
                        // As above.
                    }
                }
            }
        }
    }

    @Override
    public void close() {
        over = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (DatagramChannel each : boxes) {
            IoUtils.safeClose(each);
        }
        IoUtils.safeClose(foreign, selector);
    }
}
