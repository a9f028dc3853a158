package lemondrift.proxy.discovery;

import io.undertow.connector.ByteBufferPool;
import java.net.InetSocketAddress;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
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

/**
 * Keeps the endpoint list up to date: calls discovery for the full list, and then for what changes
 * after the last revision. At most one call is out. I/O thread only, but where it says otherwise.
 */
public final class EndpointListWatch {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListWatch.class);

    /** Longest body of a list, in bytes. */
    private static final int MAX_LIST_BYTES = 4 << 20;

    /** Connections to discovery. */
    private static final int MAX_CONNECTIONS = 4;

    /**
     * Seconds for which discovery may hold a watch call without news. Two silent calls in a row,
     * each with slack and pause, end within the 6 s after which a change counts as known.
     */
    private static final double HOLD_SECONDS = 1.8;

    /**
     * The same where the balancer polls, as each call has a cost; here one silent call ends within
     * the 6 s.
     */
    private static final double POLLING_HOLD_SECONDS = 3;

    /** Seconds after the hold after which silence is a failure. */
    private static final double HOLD_SLACK_SECONDS = 0.7;

    /** Seconds between a failed call and the next, where the balancer does not poll. */
    private static final double RETRY_PAUSE_SECONDS = 0.1;

    /** Seconds for a new connection, and for the full list of an agent on this machine. */
    private static final double RESPONSE_TIMEOUT_SECONDS = 0.5;

    /**
     * Seconds for the full list where the balancer polls. Guards against a discovery that is slow
     * or crowded and whose list is given up each time.
     */
    private static final double POLLED_LIST_TIMEOUT_SECONDS = 2.5;

    /** Seconds for which the start waits for the first list: a connection and a response. */
    private static final double FIRST_LIST_TIMEOUT_SECONDS = 2 * RESPONSE_TIMEOUT_SECONDS;

    private enum State {
        /** The next call may start. */
        IDLE,
        /** A call is out. */
        CALLING,
        /** The task thread parses a response. */
        PARSING,
        STOPPED
    }

    private final MonotonicClock clock;
    private final XnioIoThread io;
    private final BackendConnector connector;
    private final ByteBufferPool buffers;
    private final DecisionEvents decisionEvents;
    private final EndpointListParserTask parserTask;

    /** Whether the balancer says when to call, as each call has a cost. */
    private final boolean polling;

    /** Counted down when the first call has ended, with a list or without. */
    private final CountDownLatch firstCallEnded = new CountDownLatch(1);

    private State state = State.IDLE;

    /** The revision of the last list; empty where the next call is for the full list. */
    private OptionalLong lastRevision = OptionalLong.empty();

    /** Whether the last call failed. */
    private boolean lastCallFailed;

    /** Connections to the present address of discovery. */
    private ConnectionPool pool;

    /** Null but while calling. */
    private BackendCall call;

    /** A watch of the configured discovery address, not started yet. */
    public EndpointListWatch(
            ProxyConfig config,
            MonotonicClock clock,
            XnioIoThread io,
            BackendConnector connector,
            ByteBufferPool buffers,
            DecisionEvents decisionEvents) {
        this.clock = clock;
        this.io = io;
        parserTask = new EndpointListParserTask(io);
        this.connector = connector;
        this.buffers = buffers;
        this.decisionEvents = decisionEvents;
        polling = config.settings().pollsEndpointList();
        pool = createPool(config.discovery());
    }

    private ConnectionPool createPool(InetSocketAddress discovery) {
        return new ConnectionPool(
                discovery,
                io,
                connector,
                buffers,
                clock,
                new ConnectionPool.ConnectionBudget(MAX_CONNECTIONS),
                MAX_CONNECTIONS,
                ConnectionPool.Quarantine.NONE);
    }

    /** Starts to watch, unless the balancer polls: then it asks for the first call. */
    public void start() {
        if (!polling) {
            startCall();
        }
    }

    /**
     * Waits until the balancer has the present list, or the first call has failed, for a second at
     * most. Guards against requests to backends that the list known from before names and that have
     * drained since. Any thread but the I/O thread.
     */
    public void awaitFirstList() {
        try {
            firstCallEnded.await((long) (FIRST_LIST_TIMEOUT_SECONDS * 1e9), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Leaves discovery for another address; what is out at the old one is dropped. */
    public void switchTo(InetSocketAddress discovery) {
        if (state == State.STOPPED) {
            return;
        }
        if (call != null) {
            call.abandon();
            call = null;
        }
        state = State.IDLE;
        pool.retire();
        pool = createPool(discovery);
        // Guards against revisions that the new address counts otherwise.
        lastRevision = OptionalLong.empty();
        startCall();
    }

    /** The balancer asks for the list. */
    public void listRequested(Decision.EndpointListCall kind) {
        if (kind == Decision.EndpointListCall.FULL) {
            lastRevision = OptionalLong.empty();
        }
        startCall();
    }

    /** Stops for good. */
    public void stop() {
        state = State.STOPPED;
        if (call != null) {
            call.abandon();
        }
    }

    private void startCall() {
        if (state != State.IDLE) {
            return;
        }
        double holdSeconds = polling ? POLLING_HOLD_SECONDS : HOLD_SECONDS;
        boolean full = lastRevision.isEmpty();
        String path =
                "/v1/servers"
                        + (full
                                ? ""
                                : "?from="
                                        + lastRevision.getAsLong()
                                        + "&hold_ms="
                                        + Math.round(holdSeconds * 1000));
        call =
                BackendCall.make(
                        pool,
                        BackendCall.buildGetRequest(path, pool.address.getHostString()),
                        MAX_LIST_BYTES,
                        RESPONSE_TIMEOUT_SECONDS,
                        full ? fullListTimeoutSeconds() : holdSeconds + HOLD_SLACK_SECONDS,
                        this::callEnded);
        if (call == null) {
            callFailed("no connection free");
        } else {
            state = State.CALLING;
            call.start();
        }
    }

    private double fullListTimeoutSeconds() {
        return polling ? POLLED_LIST_TIMEOUT_SECONDS : RESPONSE_TIMEOUT_SECONDS;
    }

    private void callEnded(BackendResponse response) {
        call = null;
        state = State.IDLE;
        if (!response.isSuccess()) {
            callFailed(
                    response.completion() == BackendResponse.Completion.RECEIVED
                            ? "status " + response.status()
                            : response.completion().toString());
            return;
        }
        state = State.PARSING;
        ConnectionPool sourcePool = pool;
        parserTask.start(
                response.body(),
                list -> parsed(list, sourcePool),
                cause -> parsingFailed(cause, sourcePool));
    }

    private void parsed(EndpointList list, ConnectionPool sourcePool) {
        if (!endParsing(sourcePool)) {
            return;
        }
        lastRevision =
                list.revision() < 0 ? OptionalLong.empty() : OptionalLong.of(list.revision());
        if (lastCallFailed || !list.endpoints().isEmpty()) {
            LOG.info(
                    "endpoint list of revision {} received, endpoints: {}",
                    list.revision(),
                    list.endpoints().size());
        }
        lastCallFailed = false;
        decisionEvents.endpointListReceived(list, false, firstCallEnded::countDown);
        // Guards against a gap: what changes more than 200 ms before the next watch begins counts
        // as known.
        startCall();
    }

    private void parsingFailed(Throwable cause, ConnectionPool sourcePool) {
        if (endParsing(sourcePool)) {
            callFailed(cause.toString());
        }
    }

    /**
     * Whether the outcome counts: not after the end, nor from an address that was left meanwhile.
     */
    private boolean endParsing(ConnectionPool sourcePool) {
        if (state == State.STOPPED || sourcePool != pool) {
            return false;
        }
        state = State.IDLE;
        return true;
    }

    /** Calls again after a pause, or leaves that to the balancer where it polls. */
    private void callFailed(String reason) {
        // Guards against a line for every call while discovery is down.
        if (!lastCallFailed) {
            LOG.info("list call failed, asking again: {}", reason);
        }
        lastCallFailed = true;
        firstCallEnded.countDown();
        if (polling) {
            decisionEvents.endpointListFailed();
        } else {
            io.executeAfter(
                    this::startCall, Math.round(RETRY_PAUSE_SECONDS * 1e9), TimeUnit.NANOSECONDS);
        }
    }
}
