package lemondrift.proxy.events;

import java.net.InetSocketAddress;
import lemondrift.gossip.LoadGossip;
import lemondrift.model.Attempt;
import lemondrift.model.Decision;
import lemondrift.model.Settings;
import lemondrift.settings.RequestClassIndex;

/**
 * What the thread that decides has the I/O thread do. Called on the decisions thread; each call
 * returns at once, and what it asks for is done after the next {@link #flush}, in the order of the
 * calls.
 */
public interface ProxyActions {
    /** Sends an attempt to its backend. */
    void send(Attempt attempt, PendingRequest pending, InetSocketAddress address);

    /** Gives up an attempt that is in flight. */
    void cancel(Attempt attempt);

    /** Asks a backend for its load. */
    void probe(int backend, InetSocketAddress address);

    /** Calls discovery for the endpoint list. */
    void requestEndpointList(Decision.EndpointListCall call);

    /** Passes a response on to the client. */
    void deliver(PendingRequest pending, BackendResponse response);

    /** Drops the remainder of a response that is not passed on. */
    void discard(BackendResponse response);

    /**
     * Answers a request with 503, which promises that a retry is harmless.
     *
     * @param retryAfterSeconds 0 where the client gets no Retry-After
     */
    void reject(PendingRequest pending, double retryAfterSeconds);

    /** Answers a request with 502, which promises nothing about a retry. */
    void fail(PendingRequest pending);

    /** Closes idle connections to a backend that is no longer ready or has another address. */
    void retirePool(int backend);

    /** So many arrived requests were decided in an iteration that took so many seconds in all. */
    void requestsDecided(int requestCount, double totalSeconds);

    /** So many backends are listed, and so many of them are not usable now. */
    void updateBackendCounts(int listedCount, int disabledCount);

    /** These settings are in force from now on. */
    void settingsChanged(RequestClassIndex requestClasses, Settings settings);

    /** Sends a datagram to another proxy. */
    void sendGossip(LoadGossip.Message message);

    /** Has the I/O thread do all that was asked for since the last call. */
    void flush();
}
