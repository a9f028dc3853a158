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
 * Keeps the endpoint list up to date. It requests the full list from discovery, and then the
 * changes after the last revision. At most one call is in progress. Used only on the I/O thread,
 * except where noted.
 */
public final class EndpointListWatch {
    private static final Logger LOG = LoggerFactory.getLogger(EndpointListWatch.class);

    /** Maximum size of the body of a list, in bytes. */
    private static final int MAX_LIST_BYTES = 4 << 20;

    /** Maximum number of connections to discovery. */
    private static final int MAX_CONNECTIONS = 4;

    /**
     * Seconds for which discovery may hold a watch call if there is no change. Two calls in a row
     * without a response, each with slack and pause, end within the 6 s after which a change counts
     * as known.
     */
    private static final double HOLD_SECONDS = 1.8;

    /**
     * Seconds for which discovery may hold a call if the balancer polls. Longer than {@link
     * #HOLD_SECONDS} because each call has a cost. One call without a response ends within the 6 s
     * after which a change counts as known.
     */
    private static final double POLLING_HOLD_SECONDS = 3;

    /** Seconds after the hold time after which a call without a response counts as failed. */
    private static final double HOLD_SLACK_SECONDS = 0.7;

    /** Seconds between a failed call and the next one, if the balancer does not poll. */
    private static final double RETRY_PAUSE_SECONDS = 0.1;

    /**
     * Timeout in seconds for a new connection, and for the full list of an agent on this machine.
     */
    private static final double RESPONSE_TIMEOUT_SECONDS = 0.5;

    /**
     * Timeout in seconds for the full list if the balancer polls. Guards against abandoning the
     * call each time if discovery is slow or overloaded.
     */
    private static final double POLLED_LIST_TIMEOUT_SECONDS = 2.5;

    /**
     * Seconds for which the start of the proxy waits for the first list: enough for a connection
     * and a response.
     */
    private static final double FIRST_LIST_TIMEOUT_SECONDS = 2 * RESPONSE_TIMEOUT_SECONDS;

    private enum State {
        /** No call is in progress, so the next one may start. */
        IDLE,
        /** A call is in progress. */
        CALLING,
        /** The task thread is parsing a response. */
        PARSING,
        STOPPED
    }

    private final MonotonicClock clock;
    private final XnioIoThread ioThread;
    private final BackendConnector connector;
    private final ByteBufferPool buffers;
    private final DecisionEvents decisionEvents;
    private final EndpointListParserTask parserTask;

    /** Whether the balancer decides when to call, because each call has a cost. */
    private final boolean polling;

    /** Counted down when the first list is applied or the first call has failed. */
    private final CountDownLatch firstCallEnded = new CountDownLatch(1);

    private State state = State.IDLE;

    /** The revision of the last list; empty if the next call is for the full list. */
    private OptionalLong lastRevision = OptionalLong.empty();

    /** Whether the last call failed. */
    private boolean lastCallFailed;

    /** Connections to the current address of discovery. */
    private ConnectionPool pool;

    /** The call in progress; null if there is none. */
    private BackendCall call;

    /** Creates a watch of the configured discovery address; {@link #start} starts it. */
    public EndpointListWatch(
            ProxyConfig config,
            MonotonicClock clock,
            XnioIoThread ioThread,
            BackendConnector connector,
            ByteBufferPool buffers,
            DecisionEvents decisionEvents) {
        this.clock = clock;
        this.ioThread = ioThread;
        parserTask = new EndpointListParserTask(ioThread);
        this.connector = connector;
        this.buffers = buffers;
        this.decisionEvents = decisionEvents;
        polling = config.settings().pollsEndpointList();
        pool = createPool(config.discovery());
    }

    private ConnectionPool createPool(InetSocketAddress discovery) {
        return new ConnectionPool(
                discovery,
                ioThread,
                connector,
                buffers,
                clock,
                new ConnectionPool.ConnectionBudget(MAX_CONNECTIONS),
                MAX_CONNECTIONS,
                ConnectionPool.Quarantine.NONE);
    }

    /** Starts watching, unless the balancer polls: then the balancer requests the first call. */
    public void start() {
        if (!polling) {
            startCall();
        }
    }

    /**
     * Waits until the balancer has applied the current list or the first call has failed, for at
     * most one second. Guards against requests to backends that are in the list known before the
     * start but have drained since. May be called on any thread except the I/O thread.
     */
    public void awaitFirstList() {
        try {
            firstCallEnded.await((long) (FIRST_LIST_TIMEOUT_SECONDS * 1e9), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Switches to another address of discovery; abandons a call in progress to the old address. */
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
        // Guards against using a revision of the old address: the new one may count differently.
        lastRevision = OptionalLong.empty();
        startCall();
    }

    /** Handles a request of the balancer for the list. */
    public void listRequested(Decision.EndpointListCall kind) {
        if (kind == Decision.EndpointListCall.FULL) {
            lastRevision = OptionalLong.empty();
        }
        startCall();
    }

    /** Stops watching permanently. */
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
                BackendCall.create(
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
                list -> listParsed(list, sourcePool),
                cause -> parsingFailed(cause, sourcePool));
    }

    private void listParsed(EndpointList list, ConnectionPool sourcePool) {
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
        // Calls again immediately. Guards against a gap: a change more than 200 ms before the next
        // watch call begins counts as known.
        startCall();
    }

    private void parsingFailed(Throwable cause, ConnectionPool sourcePool) {
        if (endParsing(sourcePool)) {
            callFailed(cause.toString());
        }
    }

    /**
     * Ends the parsing of a response. Returns whether its result is still valid: it is not if this
     * watch has stopped or has switched to another address in the meantime.
     */
    private boolean endParsing(ConnectionPool sourcePool) {
        if (state == State.STOPPED || sourcePool != pool) {
            return false;
        }
        state = State.IDLE;
        return true;
    }

    /** Calls again after a pause; if the balancer polls, leaves the next call to it. */
    private void callFailed(String reason) {
        // Guards against a log line for each failed call while discovery is down.
        if (!lastCallFailed) {
            LOG.info("list call failed, asking again: {}", reason);
        }
        lastCallFailed = true;
        firstCallEnded.countDown();
        if (polling) {
            decisionEvents.endpointListFailed();
        } else {
            ioThread.executeAfter(
                    this::startCall, Math.round(RETRY_PAUSE_SECONDS * 1e9), TimeUnit.NANOSECONDS);
        }
    }
}
