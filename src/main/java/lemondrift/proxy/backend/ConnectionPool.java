package lemondrift.proxy.backend;

import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import lemondrift.proxy.time.MonotonicClock;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/** A bounded pool of connections to one address; one request at a time on each. I/O thread only. */
public final class ConnectionPool {
    /** One connection. */
    public static final class Link {
        public final StreamConnection connection;
        private double idleSince;

        private Link(StreamConnection connection) {
            this.connection = connection;
        }

        void close() {
            IoUtils.safeClose(connection);
        }

        /** How many bytes that nobody asked for have come, of one; below 0 where it has ended. */
        private int looks() {
            try {
                return connection.isOpen()
                        ? connection.getSourceChannel().read(ByteBuffer.allocate(1))
                        : -1;
            } catch (IOException e) {
                return -1;
            }
        }
    }

    /**
     * How many connections may be open over all pools that share it, and the idle ones, oldest
     * first.
     */
    public static final class Budget {
        private int most;

        /** Until when connections rest. */
        private double waryUntil = Double.NEGATIVE_INFINITY;

        private final Set<Link> idle = new LinkedHashSet<>();
        private int open;

        public Budget(int most) {
            this.most = most;
        }

        /** Another bound; what stands idle beyond it is closed. */
        void most(int other) {
            most = other;
            while (open > most && !idle.isEmpty()) {
                idle.iterator().next().close();
            }
        }

        /**
         * Danger: pools that stand idle would keep an exchange from the backend that was picked for
         * it.
         */
        private boolean hasRoom() {
            if (open >= most && !idle.isEmpty()) {
                idle.iterator().next().close();
            }
            return open < most;
        }
    }

    /**
     * For so many seconds a connection is not used again after an answer, while somebody has said
     * more than his answer less than so many seconds ago.
     */
    public record Rest(double seconds, double memory) {
        public static final Rest NONE = new Rest(0, 0);
    }

    public final InetSocketAddress address;
    final XnioIoThread io;
    final BackendConnector dial;
    final ByteBufferPool buffers;
    final MonotonicClock clock;
    private final Budget budget;
    private final int most;
    private final Rest rest;
    private final Deque<Link> idle = new ArrayDeque<>();
    private int open;
    private boolean retired;

    public ConnectionPool(
            InetSocketAddress address,
            XnioIoThread io,
            BackendConnector connector,
            ByteBufferPool buffers,
            MonotonicClock clock,
            Budget budget,
            int most,
            Rest rest) {
        this.address = address;
        this.io = io;
        this.dial = connector;
        this.buffers = buffers;
        this.clock = clock;
        this.budget = budget;
        this.most = most;
        this.rest = rest;
    }

    /**
     * The connection that has been idle longest, if it has rested; null if there is none. Danger:
     * that a backend closes one right after its answer, or says something more there, is not heard
     * of in time on the one used last, and another client would be given what it says.
     */
    Link rested() {
        double now = clock.now();
        return idleSince(now < budget.waryUntil ? now - rest.seconds : now);
    }

    /** More has come than belongs to an answer. */
    void saidMore() {
        budget.waryUntil = clock.now() + rest.memory;
    }

    /**
     * The one that has been idle longest, where there is no place for another; null if there is
     * none.
     */
    Link idle() {
        return idleSince(Double.POSITIVE_INFINITY);
    }

    private Link idleSince(double time) {
        while (!idle.isEmpty() && idle.peekLast().idleSince <= time) {
            Link link = idle.pollLast();
            budget.idle.remove(link);
            int bytes = link.looks();
            if (bytes == 0) {
                return link;
            }
            ends(link, bytes);
        }
        return null;
    }

    /** Whether another connection may be opened; it counts from now on. */
    public boolean reserve() {
        if (open >= most || !budget.hasRoom()) {
            return false;
        }
        open++;
        budget.open++;
        return true;
    }

    /** A connection that was reserved is closed, or did not come up. */
    void released() {
        open--;
        budget.open--;
    }

    public Link opened(StreamConnection connection) {
        Link link = new Link(connection);
        connection.setCloseListener(
                closed -> {
                    released();
                    idle.remove(link);
                    budget.idle.remove(link);
                });
        return link;
    }

    public void back(Link link) {
        if (retired || !link.connection.isOpen()) {
            link.close();
            return;
        }
        link.idleSince = clock.now();
        idle.addFirst(link);
        budget.idle.add(link);
        // Whatever comes now, its end or more bytes, makes it useless.
        link.connection.getSourceChannel().setReadListener(source -> ends(link, link.looks()));
        link.connection.getSourceChannel().resumeReads();
    }

    private void ends(Link link, int bytes) {
        if (bytes > 0) {
            saidMore();
        }
        link.close();
    }

    /**
     * No more is sent here: idle connections are closed now, busy ones when their request has
     * ended.
     */
    public void retire() {
        retired = true;
        closeIdleSince(Double.POSITIVE_INFINITY);
    }

    /** Whether nothing more is to be sent here. */
    boolean isRetired() {
        return retired;
    }

    /** Closes what has stood idle since before a time. */
    void closeIdleSince(double time) {
        while (!idle.isEmpty() && idle.peekLast().idleSince <= time) {
            idle.pollLast().close();
        }
    }
}
