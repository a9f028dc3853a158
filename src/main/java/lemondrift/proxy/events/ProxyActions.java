package lemondrift.proxy.events;

import java.net.InetSocketAddress;
import lemondrift.gossip.LoadGossip;
import lemondrift.model.Attempt;
import lemondrift.model.Decision;
import lemondrift.model.Settings;
import lemondrift.settings.RequestClassIndex;

/** What the owner of the decisions has the sockets do; each returns at once. */
public interface ProxyActions {
    void send(Attempt attempt, PendingRequest pending, InetSocketAddress to);

    void cancel(Attempt attempt);

    void probe(int backend, InetSocketAddress to);

    void requestEndpointList(Decision.EndpointListCall call);

    void deliver(PendingRequest pending, BackendResponse response);

    /** Nobody wants the rest of an answer that is passed on. */
    void discard(BackendResponse response);

    /**
     * Ends an exchange as the decisions say; the retry-after is in seconds, 0 where there is none.
     */
    void fail(PendingRequest pending, boolean shed, double retryAfter);

    /** A backend is no longer ready or has another address: what stands idle there is closed. */
    void retirePool(int backend);

    /**
     * So many exchanges that had arrived were decided, in so many seconds for all that was done.
     */
    void requestsDecided(int exchanges, double seconds);

    /** So many backends are listed, and to so many of them nothing is sent now. */
    void backendsCounted(int listed, int disabled);

    /** These are stated from now on. */
    void settingsChanged(RequestClassIndex requestClasses, Settings settings);

    /** Tells another proxy. */
    public void sendGossip(LoadGossip.Message telling);

    /** All that was asked for since the last time is to be done now. */
    void flush();
}
