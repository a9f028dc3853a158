package lemondrift.serve;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import lemondrift.model.Exchange;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/** Clients' connections: how many there may be, and how long one may stay that has no exchange open. */
final class Visitors {
    /** Seconds that one may say nothing, take for a request, and take for its first one since it came. */
    private static final double SILENT = 2.2, SPEAKING = 2.5, FIRST = 2.6;
    private static final double SWEEP = 0.2;
    /** The share of the places that may stand without an exchange before answers close their connections. */
    private static final double UNUSED = 0.25;
    /** Seconds that a new one has for its first word, and twice that for its first request, in a crowd. */
    private static final double PATIENCE = 0.1;

    /** One connection. What it says is heard below Undertow, which tells of whole requests only. */
    final class Visitor {
        /** What is open on it, if anything, and under which id. */
        Exchange exchange;
        String trace;
        private final StreamConnection connection;
        private final StreamSourceConduit below;
        /** What was read to see whether there is anything, until it is read in earnest. */
        private final ByteBuffer ahead = ByteBuffer.allocate(1);
        private final double came = clock.now();
        private double quietSince = came, spokeAt;
        private boolean speaking, fresh = true;

        private Visitor(StreamConnection connection) {
            this.connection = connection;
            var source = connection.getSourceChannel();
            below = source.getConduit();
            source.setConduit(new AbstractStreamSourceConduit<StreamSourceConduit>(below) {
                @Override
                public int read(ByteBuffer to) throws IOException {
                    int had = ahead.flip().remaining();
                    if (to.hasRemaining()) {
                        to.put(ahead);
                    }
                    ahead.compact();
                    int got = below.read(to);
                    spoke(got);
                    return had > 0 ? had + Math.max(0, got) : got;
                }
            });
        }

        private void spoke(int got) {
            if (got > 0 && !speaking) {
                speaking = true;
                spokeAt = clock.now();
            }
        }

        /** Danger: a request that has come and waits unread, after a pause of the process, would be lost. */
        private boolean isSilent() {
            try {
                if (!speaking && ahead.hasRemaining()) {
                    spoke(below.read(ahead));
                    if (speaking) {
                        connection.getSourceChannel().wakeupReads();
                    }
                }
                return !speaking;
            } catch (IOException e) {
                return true;
            }
        }

        /** False where another exchange of this id is open. */
        boolean began(String id, Exchange x) {
            // Danger: two under one id could not be told apart by the backends.
            if (!traces.add(id)) {
                return false;
            }
            trace = id;
            exchange = x;
            quiet.remove(this);
            return true;
        }

        /** It has no exchange open from now on. */
        void answered() {
            traces.remove(trace);
            exchange = null;
            fresh = false;
            speaking = false;
            quietSince = clock.now();
            if (connection.isOpen()) {
                quiet.add(this);
            }
        }

        private boolean isOverdue(double now) {
            return now > (!speaking ? quietSince + SILENT : fresh ? came + FIRST : spokeAt + SPEAKING);
        }
    }

    private final Clock clock;
    private final XnioIoThread io;
    private final int most;
    private final XnioExecutor.Key sweep;
    private final Map<StreamConnection, Visitor> all = new HashMap<>();
    private final Set<String> traces = new HashSet<>();
    /** Those without an exchange, the longest quiet first. */
    private final Set<Visitor> quiet = new LinkedHashSet<>();

    Visitors(Clock clock, XnioIoThread io, int most) {
        this.clock = clock;
        this.io = io;
        this.most = most;
        sweep = io.executeAtInterval(this::sweep, (long) (SWEEP * 1e9), TimeUnit.NANOSECONDS);
    }

    /** How many have an exchange open. */
    int open() {
        return traces.size();
    }

    /** Danger: clients that ask once and keep their connection would fill all places and keep others out. */
    boolean isCrowded() {
        return quiet.size() > UNUSED * most;
    }

    Visitor of(StreamConnection connection) {
        return all.get(connection);
    }

    void came(StreamConnection connection) {
        Visitor visitor = new Visitor(connection);
        all.put(connection, visitor);
        quiet.add(visitor);
        if (all.size() > most) {
            io.execute(this::makeRoom);
        }
    }

    private void forgetClosed() {
        quiet.removeIf(visitor -> !visitor.connection.isOpen());
        all.values().removeIf(visitor -> !visitor.connection.isOpen());
    }

    /** Danger: connections that say nothing would keep those out that bring exchanges. */
    private void makeRoom() {
        forgetClosed();
        double now = clock.now();
        makeRoom(each -> each.fresh && now - each.came > PATIENCE && each.isSilent());
        // Danger: heads without end would keep all others out. None was answered here: nothing is lost.
        makeRoom(each -> each.fresh && now - each.came > 2 * PATIENCE);
        makeRoom(each -> !each.fresh && each.isSilent());
    }

    /** Closes such as this, the longest quiet first, until there are few enough. */
    private void makeRoom(Predicate<Visitor> such) {
        for (Visitor each : all.size() > most ? List.copyOf(quiet) : List.<Visitor>of()) {
            if (all.size() > most && such.test(each)) {
                close(each);
            }
        }
    }

    /** Danger: a head or body without end would hold its connection and its buffers for good. */
    private void sweep() {
        makeRoom();
        double now = clock.now();
        for (Visitor each : List.copyOf(quiet)) {
            if (each.isOverdue(now) && (each.speaking || each.isSilent())) {
                close(each);
            }
        }
    }

    private void close(Visitor visitor) {
        quiet.remove(visitor);
        all.remove(visitor.connection);
        IoUtils.safeClose(visitor.connection);
    }

    void stop() {
        sweep.remove();
    }
}
