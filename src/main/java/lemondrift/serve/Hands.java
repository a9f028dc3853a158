package lemondrift.serve;

import java.net.InetSocketAddress;
import lemondrift.model.Forward;
import lemondrift.model.Settings;
import lemondrift.model.Turn;
import lemondrift.peer.Holdings;
import lemondrift.settings.Grades;

/** What the owner of the decisions has the sockets do; each returns at once. */
interface Hands {
    void send(Forward f, Taken taken, InetSocketAddress to);

    void cancel(Forward f);

    void probe(int backend, InetSocketAddress to);

    void list(Turn.ListCall call);

    void deliver(Taken taken, Answer answer);

    /** Nobody wants the rest of an answer that is passed on. */
    void drop(Answer answer);

    /** Ends an exchange as the decisions say; the retry-after is in seconds, 0 where there is none. */
    void giveUp(Taken taken, boolean shed, double retryAfter);

    /** A backend is no longer ready or has another address: what stands idle there is closed. */
    void letGo(int backend);

    /** So many exchanges that had arrived were decided, in so many seconds for all that was done. */
    void decided(int exchanges, double seconds);

    /** So many backends are listed, and to so many of them nothing is sent now. */
    void targets(int listed, int disabled);

    /** These are stated from now on. */
    void retuned(Grades grades, Settings settings);

    /** Tells another proxy. */
    void tell(Holdings.Telling telling);

    /** All that was asked for since the last time is to be done now. */
    void act();
}
