package lemondrift.proxy.events;

import java.net.InetSocketAddress;
import lemondrift.gossip.LoadGossip;
import lemondrift.model.Attempt;
import lemondrift.model.Decision;
import lemondrift.model.Settings;
import lemondrift.settings.RequestClassIndex;

/**
 * The actions that the decision thread requests from the I/O thread. Called on the decision thread.
 * Each method returns at once; the actions are performed after the next {@link #flush}, in the
 * order of the calls.
 */
public interface ProxyActions {
    /** Sends an attempt to its backend. */
    void send(Attempt attempt, PendingRequest pending, InetSocketAddress address);

    /** Cancels an attempt that is in flight. */
    void cancel(Attempt attempt);

    /** Sends a load probe to a backend. */
    void probe(int backend, InetSocketAddress address);

    /** Calls discovery for the endpoint list. */
    void requestEndpointList(Decision.EndpointListCall call);

    /** Passes a response on to the client. */
    void deliver(PendingRequest pending, BackendResponse response);

    /** Discards the remainder of a response that is not passed on to the client. */
    void discard(BackendResponse response);

    /**
     * Answers a request with 503, which promises that a retry is harmless.
     *
     * @param retryAfterSeconds seconds after which the client may retry; 0 if the response has no
     *     Retry-After header
     */
    void reject(PendingRequest pending, double retryAfterSeconds);

    /** Answers a request with 502, which promises nothing about a retry. */
    void fail(PendingRequest pending);

    /** Closes idle connections to a backend that is no longer ready or has another address. */
    void retirePool(int backend);

    /**
     * Reports how many arrived requests an iteration has decided.
     *
     * @param totalSeconds the duration of the iteration
     */
    void requestsDecided(int requestCount, double totalSeconds);

    /**
     * Updates the counts of backends in the metrics.
     *
     * @param disabledCount how many of the listed backends are not usable now
     */
    void updateBackendCounts(int listedCount, int disabledCount);

    /** Puts new settings into force on the I/O thread. */
    void settingsChanged(RequestClassIndex requestClasses, Settings settings);

    /** Sends a datagram to another proxy. */
    void sendGossip(LoadGossip.Message message);

    /** Has the I/O thread perform all actions requested since the last flush. */
    void flush();
}
