package lemondrift.proxy.loop;

import lemondrift.proxy.backend.BackendResponse;
import lemondrift.proxy.client.PendingRequest;

import java.net.InetSocketAddress;
import lemondrift.model.Attempt;
import lemondrift.model.Decision;
import lemondrift.model.Settings;
import lemondrift.gossip.LoadGossip;
import lemondrift.settings.RequestClassIndex;

/** What the owner of the decisions has the sockets do; each returns at once. */
public interface ProxyActions {
    void send(Attempt f, PendingRequest taken, InetSocketAddress to);

    void cancel(Attempt f);

    void probe(int backend, InetSocketAddress to);

    void list(Decision.ListCall call);

    void deliver(PendingRequest taken, BackendResponse answer);

    /** Nobody wants the rest of an answer that is passed on. */
    void drop(BackendResponse answer);

    /** Ends an exchange as the decisions say; the retry-after is in seconds, 0 where there is none. */
    void giveUp(PendingRequest taken, boolean shed, double retryAfter);

    /** A backend is no longer ready or has another address: what stands idle there is closed. */
    void letGo(int backend);

    /** So many exchanges that had arrived were decided, in so many seconds for all that was done. */
    void decided(int exchanges, double seconds);

    /** So many backends are listed, and to so many of them nothing is sent now. */
    void targets(int listed, int disabled);

    /** These are stated from now on. */
    void retuned(RequestClassIndex grades, Settings settings);

    /** Tells another proxy. */
    public void tell(LoadGossip.Telling telling);

    /** All that was asked for since the last time is to be done now. */
    void act();
}
