package lemondrift.proxy.client;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import lemondrift.connection.CloseReason;
import lemondrift.connection.ConnectionLimits;
import lemondrift.connection.ConnectionPolicy;
import lemondrift.metrics.ProxyMetrics;
import lemondrift.model.Request;
import lemondrift.proxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Clients' connections as sockets: tells the door what happens on them and does what it says. I/O
 * thread only.
 */
final class ClientConnections implements ConnectionPolicy.Actions {
    private static final Logger LOG = LoggerFactory.getLogger(ClientConnections.class);

    /** How often the door is looked after while it drains, for each time that it asks for. */
    private static final int DRAINING_SWEEPS = 4;

    /**
     * Seconds after its expiry after which a request is answered here if the decisions have not
     * done so.
     */
    private static final double OVERDUE = 0.1;

    /** Seconds between two lines of the log about a crowd. */
    private static final double TELLS = 1;

    /** One connection. What it says is heard below Undertow, which tells of whole requests only. */
    final class Visitor {
        /** The answer that is passed on to it, and how that is ended; null where none is. */
        Runnable passing;

        /** The request's body that is read of it; null where none is. */
        RequestBody upload;

        private boolean whole;

        /** What is open on it, if anything, and under which id. */
        Request exchange;

        /** Answers it when it is overdue; null where nothing is open that has come whole. */
        Runnable answersOverdue;

        private String trace;

        /** What the open exchange brought; below 0 where there was none. */
        private double benefit = -1;

        private final StreamConnection connection;
        private final int index;
        private final StreamSourceConduit below;

        /** What was read to see whether there is anything, until it is read in earnest. */
        private final ByteBuffer ahead = ByteBuffer.allocate(1);

        private boolean gone;

        private Visitor(StreamConnection connection, int index) {
            this.connection = connection;
            this.index = index;
            below = connection.getSourceChannel().getConduit();
        }

        private StreamSourceConduit listening() {
            return new AbstractStreamSourceConduit<StreamSourceConduit>(below) {
                @Override
                public int read(ByteBuffer to) throws IOException {
                    int had = ahead.flip().remaining();
                    if (to.hasRemaining()) {
                        to.put(ahead);
                    }
                    ahead.compact();
                    int got = below.read(to);
                    if (got > 0) {
                        heard(got);
                    }
                    return had > 0 ? had + Math.max(0, got) : got;
                }
            };
        }

        private StreamSinkConduit watching() {
            StreamSinkConduit sink = connection.getSinkChannel().getConduit();
            return new AbstractStreamSinkConduit<StreamSinkConduit>(sink) {
                @Override
                public int write(ByteBuffer from) throws IOException {
                    return fetched(next.write(from));
                }

                @Override
                public long write(ByteBuffer[] from, int offset, int length) throws IOException {
                    return fetched((int) next.write(from, offset, length));
                }

                @Override
                public int writeFinal(ByteBuffer from) throws IOException {
                    return fetched(next.writeFinal(from));
                }

                @Override
                public long writeFinal(ByteBuffer[] from, int offset, int length)
                        throws IOException {
                    return fetched((int) next.writeFinal(from, offset, length));
                }
            };
        }

        private void heard(int bytes) {
            if (!gone) {
                door.heard(index, bytes, clock.now());
            }
        }

        private int fetched(int bytes) {
            if (!gone && bytes > 0) {
                door.fetched(index, bytes, clock.now());
            }
            return bytes;
        }

        void headRead() {
            benefit = -1;
            // Danger: a head read before its connection was closed would bring the index back to
            // life.
            if (!gone) {
                door.headRead(index, clock.now());
            }
        }

        /**
         * False where another exchange of this id is open. Its request need not have come whole.
         */
        boolean began(String id, Request request) {
            // Danger: two under one id could not be told apart by the backends.
            if (!traces.add(id)) {
                return false;
            }
            trace = id;
            exchange = request;
            return true;
        }

        /** All of its request has come. */
        void whole() {
            if (!gone && !whole) {
                whole = true;
                metrics.requestAccepted();
                benefit = 0;
                door.opened(index, exchange.tenant, clock.now());
            }
        }

        void brings(double delivered) {
            benefit = delivered;
        }

        /** An answer is ready: whether the connection stays open after it. */
        boolean keeps() {
            return !gone && door.keeps(index, clock.now());
        }

        /** How many whole seconds it is promised to stay; 0 is no promise. */
        int promise() {
            return door.promise(index);
        }

        /** More of its answer is there. */
        void offered() {
            if (!gone) {
                door.offered(index, clock.now());
            }
        }

        void turnedAway() {
            if (!gone) {
                door.turnedAway(index, clock.now());
            }
        }

        /** For how many seconds it is not read, its request having been turned away. */
        double lingers() {
            return gone ? 0 : door.lingers(index, clock.now());
        }

        /** Its answer is out, and it has no exchange open from now on. */
        void answered() {
            if (!gone) {
                door.answered(index, benefit, clock.now());
            }
            ended();
        }

        private Request ended() {
            Request request = exchange;
            traces.remove(trace);
            if (whole) {
                metrics.requestCompleted();
            }
            whole = false;
            if (upload != null) {
                upload.release();
                upload = null;
            }
            exchange = null;
            answersOverdue = null;
            trace = null;
            return request;
        }

        private boolean isSilent() {
            try {
                if (ahead.position() == 0) {
                    int got = below.read(ahead);
                    if (got > 0) {
                        heard(got);
                        connection.getSourceChannel().wakeupReads();
                    }
                }
                return ahead.position() == 0;
            } catch (IOException e) {
                return true;
            }
        }
    }

    private final MonotonicClock clock;
    private final XnioIoThread io;
    private final ConnectionPolicy door;
    private final double sweep;
    private final int places;
    private final ProxyMetrics metrics;
    private final Visitor[] byIndex;
    private final Map<StreamConnection, Visitor> all = new HashMap<>();
    private final Set<String> traces = new HashSet<>();

    /** Told of an exchange whose client has gone. */
    private final Consumer<Request> left;

    private XnioExecutor.Key sweeping;
    private boolean makingRoom;
    private boolean stopped;
    private double toldAt = Double.NEGATIVE_INFINITY;

    ClientConnections(
            MonotonicClock clock,
            XnioIoThread io,
            ConnectionLimits limits,
            long seed,
            ProxyMetrics metrics,
            Consumer<Request> left) {
        this.metrics = metrics;
        this.clock = clock;
        this.io = io;
        this.left = left;
        door = new ConnectionPolicy(limits, this, seed);
        sweep = limits.sweep();
        places = limits.places();
        byIndex = new Visitor[door.indexes()];
        // Danger: a class that is first needed when descriptors have run out may not be loaded any
        // more.
        door.sweep(clock.now());
        sweepEvery(sweep);
    }

    private void sweepEvery(double seconds) {
        sweeping = io.executeAtInterval(this::sweep, (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    /** A share of its places is this process's from now on. */
    void share(double share) {
        door.places((int) (share * places));
    }

    /** How many have an exchange open. */
    int open() {
        return traces.size();
    }

    /** The indexes of classes that open exchanges name. */
    Set<Integer> grades() {
        return all.values().stream()
                .filter(each -> each.exchange != null)
                .map(each -> each.exchange.requestClass)
                .collect(Collectors.toSet());
    }

    /**
     * When a request that is read now has come at the latest: before now if the process stood
     * still.
     */
    double arrival() {
        return door.unreadSince(clock.now());
    }

    /** Whether what is read now may have waited while the process stood still. */
    boolean stoodStill() {
        double now = clock.now();
        return door.unreadSince(now) < now;
    }

    /** Whether the drain has left nobody to whom an answer is owed. */
    boolean isDrained() {
        return door.isDrained(clock.now());
    }

    Visitor of(StreamConnection connection) {
        return all.get(connection);
    }

    /** Takes a connection in and has it read by then. */
    void came(StreamConnection connection, ChannelListener<StreamConnection> then) {
        int index =
                door.came(address(connection.getPeerAddress(InetSocketAddress.class)), clock.now());
        if (index < 0) {
            IoUtils.safeClose(connection);
            return;
        }
        Visitor visitor = new Visitor(connection, index);
        byIndex[index] = visitor;
        all.put(connection, visitor);
        connection.getSourceChannel().setConduit(visitor.listening());
        connection.getSinkChannel().setConduit(visitor.watching());
        then.handleEvent(connection);
        // Undertow has its own listener on the end, which is to hear of it first.
        ChannelListener<? super StreamConnection> its = connection.getCloseListener();
        connection.setCloseListener(
                closed -> {
                    ChannelListeners.invokeChannelListener(closed, its);
                    gone(visitor);
                });
        if (!connection.isOpen()) {
            gone(visitor);
        } else if (door.isCrowded() && !makingRoom) {
            makingRoom = true;
            io.execute(this::makeRoom);
        }
    }

    /** What tells one address from another; of IPv6 the network, as one client has all of it. */
    private static long address(InetSocketAddress peer) {
        InetAddress address = peer == null ? null : peer.getAddress();
        return address == null
                ? 0
                : ByteBuffer.wrap(address.getAddress()).remaining() == 4
                        ? ByteBuffer.wrap(address.getAddress()).getInt() & 0xffff_ffffL
                        : ByteBuffer.wrap(address.getAddress()).getLong() & Long.MAX_VALUE;
    }

    private void makeRoom() {
        makingRoom = false;
        door.makeRoom(clock.now());
        tell();
    }

    private void sweep() {
        if (!stopped) {
            door.sweep(clock.now());
            answerOverdue(clock.now());
            tell();
        }
    }

    /** Danger: a request is owed its answer in time, whatever the decisions are busy with. */
    private void answerOverdue(double now) {
        if (traces.isEmpty()) {
            return;
        }
        for (Visitor each : byIndex) {
            if (each != null
                    && each.answersOverdue != null
                    && now > each.exchange.deadline + OVERDUE) {
                each.answersOverdue.run();
            }
        }
    }

    /** A line a second at the most, while there is a crowd. */
    private void tell() {
        double now = clock.now();
        if (door.isCrowded() && now >= toldAt + TELLS) {
            toldAt = now;
            LOG.info("crowd at the door: {}", door.told());
        }
    }

    private void gone(Visitor visitor) {
        if (visitor.gone) {
            return;
        }
        door.gone(visitor.index, clock.now());
        visitor.gone = true;
        byIndex[visitor.index] = null;
        all.remove(visitor.connection);
        if (visitor.passing != null) {
            visitor.passing.run();
        }
        Request request = visitor.ended();
        if (request != null) {
            left.accept(request);
        }
    }

    @Override
    public boolean isSilent(int i) {
        return byIndex[i].isSilent();
    }

    @Override
    public void close(int i, CloseReason why) {
        Visitor visitor = byIndex[i];
        IoUtils.safeClose(visitor.connection);
        gone(visitor);
    }

    /** Answers close their connections from now on, and the others go one by one until a time. */
    void drain(double until) {
        LOG.info("the door drains: {}", door.told());
        door.drain(clock.now(), until);
        sweeping.remove();
        sweepEvery(sweep / DRAINING_SWEEPS);
    }

    /** The door is as it was before it drained. */
    void resume() {
        LOG.info("the door takes clients again: {}", door.told());
        door.resume();
        sweeping.remove();
        sweepEvery(sweep);
    }

    void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        sweeping.remove();
        if (door.ended(CloseReason.CROWD) + door.ended(CloseReason.WITH_ANSWER) > 0) {
            LOG.info("the door closes: {}", door.told());
        }
    }
}
