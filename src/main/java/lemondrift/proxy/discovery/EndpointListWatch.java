package lemondrift.proxy.discovery;

import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import lemondrift.model.Decision;
import lemondrift.proxy.backend.BackendCall;
import lemondrift.proxy.backend.BackendConnector;
import lemondrift.proxy.backend.ConnectionPool;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.events.DecisionEvents;
import lemondrift.proxy.events.EndpointList;
import lemondrift.proxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Keeps the list up to date: the whole list once, then one watch. I/O thread only. */
public final class EndpointListWatch {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListWatch.class);
    private static final int MOST_LIST = 4 << 20;

    /**
     * How many seconds discovery may hold a watch, and where each call costs it something; how much
     * later silence is no answer, and the pause then. What a silent watch misses counts as told 6 s
     * after it fell silent: two in a row take 2 x (1.8 + 0.7 + 0.1) s. Where the decisions ask,
     * their own pause of 1.9 s at the most comes in place of the short one, and one silent watch
     * takes 5.6 s.
     */
    private static final double HOLD = 1.8;

    private static final double COSTLY_HOLD = 3;
    private static final double SLACK = 0.7;
    private static final double PAUSE = 0.1;

    /** Within how many seconds a whole list, or a new connection, is to be there. */
    private static final double AT_ONCE = 0.5;

    /** A list is read so many lines at a time, with so many nanoseconds for others in between. */
    private static final int LINES_AT_A_TIME = 64;

    private static final long BETWEEN_PARTS = 500_000;

    private final MonotonicClock clock;
    private final XnioIoThread io;
    private final XnioWorker worker;
    private final BackendConnector connector;
    private final ByteBufferPool buffers;
    private final DecisionEvents decisionEvents;
    private final boolean onRequest;

    /** The first call has ended, with a list or without. */
    private final CountDownLatch first = new CountDownLatch(1);

    private long revision = -1;
    private boolean stopped;
    private boolean failing;

    /** An answer is read by the worker. */
    private boolean reading;

    private ConnectionPool pool;
    private BackendCall call;

    public EndpointListWatch(
            ProxyConfig config,
            MonotonicClock clock,
            XnioIoThread io,
            BackendConnector connector,
            ByteBufferPool buffers,
            DecisionEvents decisionEvents) {
        this.clock = clock;
        this.io = io;
        worker = io.getWorker();
        this.connector = connector;
        this.buffers = buffers;
        this.decisionEvents = decisionEvents;
        onRequest = config.settings().pollsEndpointList();
        pool = links(config.discovery());
    }

    private ConnectionPool links(InetSocketAddress discovery) {
        return new ConnectionPool(
                discovery,
                io,
                connector,
                buffers,
                clock,
                new ConnectionPool.Budget(4),
                4,
                ConnectionPool.Rest.NONE);
    }

    /**
     * Where lists are told unasked the watch runs from the start; elsewhere the decisions begin it.
     */
    public void start() {
        if (!onRequest) {
            call();
        }
    }

    /**
     * Waits until the decisions have the list as it stands, or discovery does not tell it. Danger:
     * what the agent has counts as told from the first moment of the process, and the list known
     * from before may name backends that have drained for longer than the grace. Any thread but the
     * I/O thread.
     */
    public void awaitFirst() {
        try {
            first.await((long) (2 * AT_ONCE * 1e9), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Leaves discovery for another address. Danger: the old one's late answer would undo the new
     * one's.
     */
    public void moveTo(InetSocketAddress discovery) {
        if (stopped) {
            return;
        }
        if (call != null) {
            call.abandon();
            call = null;
        }
        reading = false;
        pool.retire();
        pool = links(discovery);
        // Danger: the new one may count its revisions otherwise and never tell what the old one had
        // not.
        revision = -1;
        call();
    }

    public void listRequested(Decision.EndpointListCall call) {
        if (call == Decision.EndpointListCall.FULL) {
            revision = -1;
        }
        call();
    }

    private void call() {
        if (call != null || reading || stopped) {
            return;
        }
        double hold = onRequest ? COSTLY_HOLD : HOLD;
        String path =
                "/v1/servers"
                        + (revision < 0
                                ? ""
                                : "?from=" + revision + "&hold_ms=" + Math.round(hold * 1000));
        call =
                BackendCall.make(
                        pool,
                        BackendCall.get(path, pool.address.getHostString()),
                        MOST_LIST,
                        AT_ONCE,
                        revision < 0 ? AT_ONCE : hold + SLACK,
                        this::answered);
        if (call == null) {
            failed("no connection free");
        } else {
            call.start();
        }
    }

    public void stop() {
        stopped = true;
        if (call != null) {
            call.abandon();
        }
    }

    private void answered(BackendResponse response) {
        call = null;
        if (response.status() != BackendResponse.OK) {
            failed("status " + response.status());
            return;
        }
        reading = true;
        ConnectionPool from = pool;
        EndpointListParser parser = new EndpointListParser(response.body());
        hand(worker, () -> read(parser, from));
    }

    /** Danger: a process that ends takes no more tasks, and needs no list. */
    private static void hand(Executor to, Runnable task) {
        try {
            to.execute(task);
        } catch (RejectedExecutionException e) {
            LOG.debug("a list comes after the end");
        }
    }

    /**
     * Reads a part of a list. Danger: thousands of lines at once would hold up whoever shares the
     * core.
     */
    private void read(EndpointListParser parser, ConnectionPool from) {
        try {
            while (!parser.advance(LINES_AT_A_TIME)) {
                LockSupport.parkNanos(BETWEEN_PARTS);
            }
            EndpointList list = parser.list();
            hand(io, () -> told(list, from));
        } catch (IOException | RuntimeException | StackOverflowError e) {
            // The last is how nesting without end shows.
            hand(io, () -> unreadable(e, from));
        }
    }

    /** Danger: what comes of an address that was left since would undo what the new one says. */
    private boolean isOfLate(ConnectionPool from) {
        if (from == pool) {
            reading = false;
        }
        return stopped || from != pool;
    }

    private void told(EndpointList list, ConnectionPool from) {
        if (isOfLate(from)) {
            return;
        }
        revision = list.revision();
        if (failing || !list.members().isEmpty()) {
            LOG.info("list of revision {}, lines: {}", revision, list.members().size());
        }
        failing = false;
        decisionEvents.endpointListReceived(list, false, first::countDown);
        // Danger: a later call than 200 ms begins a new watch, and what changed before it counts as
        // told.
        call();
    }

    private void unreadable(Throwable e, ConnectionPool from) {
        if (!isOfLate(from)) {
            failed(e.toString());
        }
    }

    /** Danger: an agent that answers nonsense at once would be asked without a pause. */
    private void failed(String why) {
        // Danger: a line for every call would drown all others while discovery is down.
        if (!failing) {
            LOG.info("list call failed, asking again: {}", why);
        }
        failing = true;
        first.countDown();
        if (onRequest) {
            decisionEvents.endpointListFailed();
        } else {
            io.executeAfter(this::call, Math.round(PAUSE * 1e9), TimeUnit.NANOSECONDS);
        }
    }
}
