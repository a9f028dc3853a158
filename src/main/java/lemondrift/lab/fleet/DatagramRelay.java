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
import lemondrift.lab.simulation.Fault;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.xnio.IoUtils;

/**
 * Relays the datagrams between proxies and applies the active faults to them. It has one socket for
 * each proxy: on this socket it receives the datagrams to that proxy, and from this socket it
 * forwards the datagrams that the proxy has sent. Runs on its own thread.
 */
final class DatagramRelay implements AutoCloseable {
    /** The time between two junk datagrams to each proxy, and the longest wait of the thread. */
    private static final int JUNK_INTERVAL_MILLIS = 10;

    /** Junk datagrams are shorter than this. */
    private static final int MAX_JUNK_BYTES = 600;

    /** The size of the receive buffer; a longer datagram is truncated. */
    private static final int MAX_DATAGRAM_BYTES = 2048;

    /** The first byte of a gossip message. */
    private static final byte GOSSIP_MESSAGE_TYPE = 2;

    private static final double MILLIS_PER_SECOND = 1000;

    /**
     * A datagram that is delayed by a fault. Datagrams that are due at the same time are delivered
     * in the order of their arrival.
     */
    private record DelayedDatagram(double dueAt, long order, int from, int to, byte[] datagram)
            implements Comparable<DelayedDatagram> {
        @Override
        public int compareTo(DelayedDatagram other) {
            int byTime = Double.compare(dueAt, other.dueAt);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final TestbedContext context;

    /** The address at which each proxy listens for datagrams. */
    private final List<InetSocketAddress> proxyAddresses;

    private final Map<SocketAddress, Integer> proxyByAddress = new HashMap<>();

    /** The relay's socket for each proxy. */
    private final DatagramChannel[] sockets;

    /** Sends junk from an address that belongs to no proxy. */
    private final DatagramChannel foreignSocket = DatagramChannel.open();

    private final Selector selector = Selector.open();
    private final PriorityQueue<DelayedDatagram> delayed = new PriorityQueue<>();
    private final UniformRandomProvider random;
    private final ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);

    /** How many datagrams each proxy has sent. */
    private final AtomicLongArray sentDatagrams;

    /** How many bytes each proxy has sent. */
    private final AtomicLongArray sentBytes;

    private final Thread thread = new Thread(this::run, "datagram-relay");
    private long delayedCount;
    private double nextJunkAt;
    private volatile boolean closed;

    /**
     * Starts the relay.
     *
     * @param proxyAddresses the address at which each proxy listens for datagrams, by proxy number
     * @throws IOException if a socket cannot be opened
     */
    DatagramRelay(TestbedContext context, List<InetSocketAddress> proxyAddresses)
            throws IOException {
        this.context = context;
        this.proxyAddresses = proxyAddresses;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(context.seed());
        int proxies = proxyAddresses.size();
        sockets = new DatagramChannel[proxies];
        sentDatagrams = new AtomicLongArray(proxies);
        sentBytes = new AtomicLongArray(proxies);
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        for (int proxy = 0; proxy < proxies; proxy++) {
            proxyByAddress.put(proxyAddresses.get(proxy), proxy);
            sockets[proxy] = DatagramChannel.open();
            sockets[proxy].bind(anyPort).configureBlocking(false);
            sockets[proxy].register(selector, SelectionKey.OP_READ, proxy);
        }
        foreignSocket.bind(anyPort);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the address to which other proxies send their datagrams to a proxy. */
    InetSocketAddress address(int proxy) throws IOException {
        return (InetSocketAddress) sockets[proxy].getLocalAddress();
    }

    /** Returns how many datagrams a proxy has sent. Any thread. */
    long sentDatagrams(int proxy) {
        return sentDatagrams.get(proxy);
    }

    /** Returns how many bytes a proxy has sent. Any thread. */
    long sentBytes(int proxy) {
        return sentBytes.get(proxy);
    }

    private void run() {
        while (!closed) {
            try {
                selector.select(key -> receiveDatagrams((Integer) key.attachment()), waitMillis());
                deliverDue();
                sendJunkWhenDue();
            } catch (IOException e) {
                // Handled like datagram loss in a network: the run continues, and its results show
                // the effect.
            }
        }
    }

    private long waitMillis() {
        if (delayed.isEmpty()) {
            return JUNK_INTERVAL_MILLIS;
        }
        long untilDue = (long) (MILLIS_PER_SECOND * (delayed.peek().dueAt - now()));
        return Math.max(1, Math.min(JUNK_INTERVAL_MILLIS, untilDue));
    }

    private void deliverDue() {
        while (!delayed.isEmpty() && delayed.peek().dueAt <= now()) {
            DelayedDatagram next = delayed.poll();
            deliver(next.from, next.to, next.datagram);
        }
    }

    private void sendJunkWhenDue() {
        if (now() >= nextJunkAt) {
            nextJunkAt = now() + JUNK_INTERVAL_MILLIS / MILLIS_PER_SECOND;
            context.faultPlan().activeJunkFaults(now()).forEach(this::sendJunk);
        }
    }

    private double now() {
        return context.scheduler().now();
    }

    private void receiveDatagrams(int receiver) {
        try {
            SocketAddress source = sockets[receiver].receive(buffer.clear());
            while (source != null) {
                Integer sender = proxyByAddress.get(source);
                if (sender != null) {
                    byte[] datagram = new byte[buffer.flip().remaining()];
                    buffer.get(datagram);
                    sentDatagrams.incrementAndGet(sender);
                    sentBytes.addAndGet(sender, datagram.length);
                    relay(sender, receiver, datagram);
                }
                source = sockets[receiver].receive(buffer.clear());
            }
        } catch (IOException e) {
            // Handled like datagram loss in a network, as in run().
        }
    }

    private void relay(int from, int to, byte[] datagram) {
        double now = now();
        double dueAt = now;
        boolean duplicated = false;
        for (Fault fault : context.faultPlan().activeDatagramFaults(from, to, now)) {
            boolean affected = random.nextDouble() < fault.share();
            switch (fault.kind()) {
                case CUT -> {
                    return;
                }
                case LOSE -> {
                    if (affected) {
                        return;
                    }
                }
                case LATE -> dueAt += affected ? fault.maxDelaySeconds() : 0;
                case DISORDER ->
                        dueAt += affected ? fault.maxDelaySeconds() * random.nextDouble() : 0;
                case TWICE -> duplicated |= affected;
                default -> {}
            }
        }
        deliverAt(dueAt, now, from, to, datagram);
        if (duplicated) {
            deliverAt(dueAt + (dueAt - now), now, from, to, datagram);
        }
    }

    private void deliverAt(double dueAt, double now, int from, int to, byte[] datagram) {
        if (dueAt > now) {
            delayed.add(new DelayedDatagram(dueAt, ++delayedCount, from, to, datagram));
        } else {
            deliver(from, to, datagram);
        }
    }

    private void deliver(int from, int to, byte[] datagram) {
        send(sockets[from], to, datagram);
    }

    private void send(DatagramChannel socket, int to, byte[] datagram) {
        try {
            socket.send(ByteBuffer.wrap(datagram), proxyAddresses.get(to));
        } catch (IOException e) {
            // No process listens at the address: the datagram is lost, as in any network.
        }
    }

    /**
     * Sends random bytes to each proxy that a junk fault affects, from the address of a proxy or
     * from a foreign address.
     */
    private void sendJunk(FaultPlan.DrawnFault fault) {
        byte[] datagram = new byte[random.nextInt(MAX_JUNK_BYTES)];
        random.nextBytes(datagram);
        if (datagram.length > 0 && random.nextBoolean()) {
            datagram[0] = GOSSIP_MESSAGE_TYPE;
        }
        for (int to = 0; to < sockets.length; to++) {
            if (fault.to()[to]) {
                int from = random.nextInt(sockets.length + 1);
                send(from < sockets.length ? sockets[from] : foreignSocket, to, datagram);
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (DatagramChannel socket : sockets) {
            IoUtils.safeClose(socket);
        }
        IoUtils.safeClose(foreignSocket, selector);
    }
}
