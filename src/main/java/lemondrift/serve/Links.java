package lemondrift.serve;

import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/** A bounded pool of connections to one address; one request at a time on each. I/O thread only. */
final class Links {
    /** One connection with its socket. */
    static final class Link {
        final ClientConnection connection;
        private final StreamConnection socket;
        private double idleSince;

        private Link(ClientConnection connection, StreamConnection socket) {
            this.connection = connection;
            this.socket = socket;
        }

        /** Danger: a polite close waits for a peer that may never say anything again. */
        void close() {
            IoUtils.safeClose(socket);
        }
    }

    /** How many connections may be open over all pools that share it. */
    static final class Budget {
        private final int most;
        private int open;

        Budget(int most) {
            this.most = most;
        }
    }

    final InetSocketAddress address;
    final Dialler dialler;
    final ByteBufferPool buffers;
    private final Clock clock;
    private final Budget budget;
    private final int most;
    private final Deque<Link> idle = new ArrayDeque<>();
    private int open;
    private boolean retired;

    Links(InetSocketAddress address, Dialler dialler, ByteBufferPool buffers, Clock clock, Budget budget,
            int most) {
        this.address = address;
        this.dialler = dialler;
        this.buffers = buffers;
        this.clock = clock;
        this.budget = budget;
        this.most = most;
    }

    /** The idle connection used last, so that the others grow old; null if there is none. */
    Link idle() {
        for (Link link = idle.pollFirst(); link != null; link = idle.pollFirst()) {
            if (link.connection.isOpen()) {
                return link;
            }
            link.close();
        }
        return null;
    }

    /** Whether another connection may be opened; it counts from now on. */
    boolean reserve() {
        if (open >= most || budget.open >= budget.most) {
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

    Link opened(ClientConnection connection, StreamConnection socket) {
        Link link = new Link(connection, socket);
        connection.addCloseListener(closed -> {
            released();
            idle.remove(link);
        });
        return link;
    }

    void back(Link link) {
        if (retired) {
            link.close();
        } else if (link.connection.isOpen()) {
            link.idleSince = clock.now();
            idle.addFirst(link);
        }
    }

    /** No more is sent here: idle connections are closed now, busy ones when their request has ended. */
    void retire() {
        retired = true;
        closeIdleSince(Double.POSITIVE_INFINITY);
    }

    /** Closes what has stood idle since before a time. */
    void closeIdleSince(double time) {
        while (!idle.isEmpty() && idle.peekLast().idleSince <= time) {
            idle.pollLast().close();
        }
    }
}
