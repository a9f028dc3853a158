package lemondrift.connection;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Decides about clients' connections: which are accepted, how long each may take for what it is
 * doing, which are kept when they are answered, and which give way in a crowd. The adapter tells it
 * what happens on each, with the time, and carries out what it says; it knows no sockets. A
 * connection is an index until it is gone.
 */
public final class ConnectionPolicy {
    /** What the door has done to the sockets. */
    public interface Actions {
        /** Whether nothing unread waits on a connection; looks at the socket. */
        boolean isSilent(int i);

        /** Closes a connection at once; gone is told before this returns. */
        void close(int i, CloseReason why);
    }

    /** Answers to a connection by which its reuse is learned apart: one, two or three, more. */
    private static final int KINDS = 3;

    /**
     * The share kept whatever is thought of them. Danger: who never sees one used again can't
     * learn.
     */
    private static final double EXPLORED = 1.0 / 16;

    /**
     * How steeply a place's price rises with the places that stand unused; beyond this, none
     * explores.
     */
    private static final int STEEP = 4;

    private static final double MOST_EXPLORING = 2;

    /** Lateness of the sweep, in sweeps, from which the process is taken to have stood still. */
    private static final double PAUSE = 2;

    /** The part of a sweep in which what has waited through such a pause is read. */
    private static final double CATCHING_UP = 4;

    /**
     * How often a request in a row may be turned away before the connection closes with the answer.
     */
    private static final int TURNED_AWAY = 6;

    /** Indexes beyond the last place: so many, and one for each so many places. */
    private static final int SLACK = 16;

    /**
     * What an exchange shed or scrapped counts beside a delivered one: its client is not at fault.
     */
    private static final double UNSERVED = 0.25;

    private final ConnectionLimits limits;
    private final Actions hands;
    private final SplittableRandom random;
    private final ClientSourceTable sources;
    private final FairEviction fairEviction;
    private final IdleReuseEstimator[] reuse = new IdleReuseEstimator[KINDS];
    private final double[] limit = new double[KINDS];
    private final Map<ConnectionState, ConnectionOrder> orders =
            new EnumMap<>(ConnectionState.class);

    private final ConnectionState[] state;
    private final ClientSource[] source;
    private final long[] key;
    private final CloseReason[] ending;
    private final boolean[] promised;
    private final boolean[] ahead;
    private final int[] answers;
    private final int[] turnedAway;

    /**
     * When it came, when it came into its state, and until when it may stay so without progress.
     */
    private final double[] came;

    private final double[] since;
    private final double[] due;
    private final double[] drainAt;

    private final long[][] closed =
            new long[ConnectionState.values().length][CloseReason.values().length];

    private int used;
    private int places;

    /** How many were closed at once, as there was no place. */
    private long refused;

    /**
     * When something was told last, and the time for which the process stood still, which counts
     * for nobody.
     */
    private double toldAt = Double.NEGATIVE_INFINITY;

    private double stoodStill;

    /** Since when what is read may have waited, up to a time. */
    private double wentStill;

    private double caughtUp = Double.NEGATIVE_INFINITY;

    private double drainBegan = Double.POSITIVE_INFINITY;
    private double drainUntil;

    /** The seed decides which connections are kept to learn from. */
    public ConnectionPolicy(ConnectionLimits limits, Actions hands, long seed) {
        this.limits = limits;
        this.hands = hands;
        random = new SplittableRandom(seed);
        // Danger: the system may count one as closed before it is told here, and its successor
        // needs an
        // index.
        places = limits.places();
        int last = limits.last() + SLACK + limits.last() / SLACK;
        sources = new ClientSourceTable(last);
        fairEviction = new FairEviction(last, limits.memory());
        Arrays.setAll(
                reuse,
                kind -> new IdleReuseEstimator(limits.quiet(), limits.earliest(), limits.memory()));
        Arrays.fill(limit, limits.quiet());
        state = new ConnectionState[last];
        source = new ClientSource[last];
        key = new long[last];
        ending = new CloseReason[last];
        promised = new boolean[last];
        ahead = new boolean[last];
        answers = new int[last];
        turnedAway = new int[last];
        came = new double[last];
        since = new double[last];
        due = new double[last];
        drainAt = new double[last];
        int[] next = ConnectionOrder.links(last);
        int[] previous = ConnectionOrder.links(last);
        for (ConnectionState each : ConnectionState.values()) {
            orders.put(each, new ConnectionOrder(next, previous));
        }
        Arrays.fill(state, ConnectionState.FREE);
        for (int i = 0; i < last; i++) {
            orders.get(ConnectionState.FREE).add(i);
        }
    }

    /**
     * Danger: after a pause of the process all would seem overdue while their requests wait unread.
     */
    private double time(double now) {
        if (now - toldAt > PAUSE * limits.sweep() && toldAt > Double.NEGATIVE_INFINITY) {
            stoodStill += now - toldAt - limits.sweep();
            wentStill = toldAt;
            caughtUp = now + limits.sweep() / CATCHING_UP;
        }
        toldAt = Math.max(toldAt, now);
        return toldAt - stoodStill;
    }

    /**
     * Since when a request that is read now may have waited unread, which is now unless the process
     * has just stood still. Danger: its client's time has passed all the same.
     */
    public double unreadSince(double now) {
        time(now);
        return now < caughtUp ? wentStill : now;
    }

    private void enter(int i, ConnectionState to, double t) {
        orders.get(state[i]).remove(i);
        orders.get(to).add(i);
        state[i] = to;
        since[i] = t;
    }

    /**
     * A connection was accepted.
     *
     * @param address what tells its client's address from others
     * @return its index, or -1 if there is no place and it must be closed
     */
    public int came(long address, double now) {
        double t = time(now);
        int i = orders.get(ConnectionState.FREE).first();
        if (i < 0) {
            refused++;
            return -1;
        }
        used++;
        key[i] = address;
        source[i] =
                limits.sharing() == ConnectionLimits.Sharing.CONNECTION
                        ? new ClientSource()
                        : sources.enter(address);
        if (limits.sharing() == ConnectionLimits.Sharing.CONNECTION) {
            source[i].held++;
        }
        ending[i] = CloseReason.GONE;
        promised[i] = false;
        ahead[i] = false;
        // Danger: one that comes while all are sent away would stay for as long as it says nothing.
        drainAt[i] =
                t >= drainBegan
                        ? Math.max(drainUntil, t + limits.firstWord() / 2)
                        : Double.POSITIVE_INFINITY;
        answers[i] = 0;
        turnedAway[i] = 0;
        came[i] = t;
        due[i] = t + limits.firstWord();
        enter(i, ConnectionState.NEW, t);
        return i;
    }

    /** Indexes are from 0 to under this. */
    public int indexes() {
        return state.length;
    }

    /** Only so many connections are to stay from now on, of those that its bounds allow. */
    public void places(int many) {
        places = Math.min(limits.places(), Math.max(1, many));
    }

    /** Whether there are more than there should be, so that some must give way. */
    public boolean isCrowded() {
        return used > places;
    }

    /** So many bytes came on a connection, 1 or more. */
    public void heard(int i, int bytes, double now) {
        double t = time(now);
        if (state[i] == ConnectionState.NEW || state[i] == ConnectionState.QUIET) {
            if (state[i] == ConnectionState.QUIET) {
                reuse[kind(i)].usedAfter(t - since[i], t);
            }
            due[i] = t + limits.pause();
            enter(i, ConnectionState.HEAD, t);
        } else if (state[i] == ConnectionState.HEAD || state[i] == ConnectionState.BODY) {
            progress(i, bytes, limits.pause(), t);
        } else {
            ahead[i] = true;
        }
    }

    private void progress(int i, int bytes, double ahead, double t) {
        due[i] = Math.min(t + ahead, due[i] + bytes / limits.leastRate());
    }

    /**
     * The head of a request was read; it may have come with the answer to the one before, in one
     * piece.
     */
    public void headRead(int i, double now) {
        double t = time(now);
        if (state[i] == ConnectionState.FREE) {
            return;
        }
        if (state[i] == ConnectionState.QUIET) {
            reuse[kind(i)].usedAfter(t - since[i], t);
        }
        ahead[i] = false;
        due[i] = t + limits.pause();
        enter(i, ConnectionState.BODY, t);
    }

    /** An exchange is open on a connection, of a tenant given as a number that is not negative. */
    public void opened(int i, int tenant, double now) {
        double t = time(now);
        turnedAway[i] = 0;
        if (limits.sharing() == ConnectionLimits.Sharing.TENANT && key[i] != -1L - tenant) {
            sources.leave(key[i], source[i]);
            key[i] = -1L - tenant;
            source[i] = sources.enter(key[i]);
        }
        enter(i, ConnectionState.OPEN, t);
    }

    /**
     * An answer is ready for a connection: whether the connection stays open after it. Closing with
     * the answer loses nothing, where a close between requests can cross one.
     */
    public boolean keeps(int i, double now) {
        double t = time(now);
        answers[i]++;
        due[i] = t + limits.fetch();
        enter(i, ConnectionState.FETCHING, t);
        ending[i] = ending(i, t);
        promised[i] =
                ending[i] == CloseReason.GONE && limits.announces() && price() < 1 / limits.quiet();
        return ending[i] == CloseReason.GONE;
    }

    private CloseReason ending(int i, double t) {
        if (t >= drainBegan) {
            return CloseReason.DRAIN;
        } else if (turnedAway[i] >= TURNED_AWAY) {
            return CloseReason.TURNED_AWAY;
        }
        boolean worth = reuse[kind(i)].limit(price(), t) > 0;
        boolean explores = unusedShare() < MOST_EXPLORING && random.nextDouble() < EXPLORED;
        return worth || explores ? CloseReason.GONE : CloseReason.WITH_ANSWER;
    }

    /**
     * How many whole seconds its client may be told that the connection stays, 0 where nothing is
     * promised.
     */
    public int promise(int i) {
        return promised[i] ? (int) limits.quiet() : 0;
    }

    private int kind(int i) {
        return answers[i] < 2 ? 0 : answers[i] < 4 ? 1 : 2;
    }

    /** Places that stand unused, as a ratio to how many may before they have their full price. */
    private double unusedShare() {
        int busy =
                orders.get(ConnectionState.OPEN).size()
                        + orders.get(ConnectionState.FETCHING).size();
        return (used - busy) / (ConnectionLimits.UNUSED * places);
    }

    /**
     * What a place costs for a second, in connections opened again: nothing while most of them are
     * free.
     */
    private double price() {
        return Math.pow(unusedShare(), STEEP) / limits.quiet();
    }

    /**
     * More of its answer is there. Danger: what its backend takes long to give is not its client's
     * fault.
     */
    public void offered(int i, double now) {
        if (state[i] == ConnectionState.FETCHING) {
            due[i] = time(now) + limits.fetch();
        }
    }

    /** So many bytes of an answer were taken by a connection. */
    public void fetched(int i, int bytes, double now) {
        double t = time(now);
        if (state[i] == ConnectionState.FETCHING) {
            progress(i, bytes, limits.fetch(), t);
        }
    }

    /**
     * The answer is out whole.
     *
     * @param benefit what it brought, 0 where it was shed or scrapped, below 0 where there was no
     *     exchange
     */
    public void answered(int i, double benefit, double now) {
        double t = time(now);
        if (benefit >= 0) {
            double brought = benefit > 0 ? benefit / limits.benefit() : UNSERVED;
            source[i].brought(brought, t, limits.memory());
        }
        // What came ahead of the answer is the next request's beginning, unless its head is read
        // right away.
        due[i] = t + limits.pause();
        enter(i, ahead[i] ? ConnectionState.HEAD : ConnectionState.QUIET, t);
    }

    /** A request is to be turned away; keeps is asked next, as with any answer. */
    public void turnedAway(int i, double now) {
        if (state[i] == ConnectionState.FREE) {
            return;
        }
        turnedAway[i]++;
        source[i].cost(time(now), limits.memory());
    }

    /**
     * The answer that turned a request away is out: for how many seconds the connection is not
     * read. Danger: clients that send the same again as soon as it is turned away would take all of
     * the processor.
     */
    public double lingers(int i, double now) {
        double t = time(now);
        enter(i, ConnectionState.TURNED_AWAY, t);
        double costs = Math.max(turnedAway[i], source[i].costs(t, limits.memory()));
        double lingers = limits.linger() * Math.scalb(1.0, (int) Math.max(0, costs - 1));
        return Math.min(limits.longestLinger(), lingers);
    }

    /** A connection is closed, by whichever side; its index goes to another one. */
    public void gone(int i, double now) {
        double t = time(now);
        if (state[i] == ConnectionState.FREE) {
            return;
        }
        if (state[i] == ConnectionState.QUIET
                && ending[i] != CloseReason.WITH_ANSWER
                && ending[i] != CloseReason.DRAIN) {
            reuse[kind(i)].endedAfter(t - since[i], t);
        }
        if (answers[i] == 0 && state[i] != ConnectionState.OPEN) {
            source[i].cost(t, limits.memory());
        }
        closed[state[i].ordinal()][ending[i].ordinal()]++;
        if (limits.sharing() != ConnectionLimits.Sharing.CONNECTION) {
            sources.leave(key[i], source[i]);
        }
        source[i] = null;
        used--;
        enter(i, ConnectionState.FREE, t);
    }

    private void close(int i, CloseReason why) {
        ending[i] = why;
        hands.close(i, why);
    }

    /** To be called while there is a crowd, once for all that came at a time. */
    public void makeRoom(double now) {
        double t = time(now);
        if (!isCrowded()) {
            return;
        }
        for (int i = orders.get(ConnectionState.NEW).first();
                i >= 0;
                i = orders.get(ConnectionState.NEW).after(i)) {
            if (t - came[i] > limits.patience()) {
                fairEviction.mayYield(i, source[i]);
            }
        }
        // Danger: heads without end would keep all others out. None was answered here: nothing is
        // lost.
        for (ConnectionState each :
                new ConnectionState[] {ConnectionState.HEAD, ConnectionState.BODY}) {
            for (int i = orders.get(each).first(); i >= 0; i = orders.get(each).after(i)) {
                if (answers[i] == 0 && t - came[i] > 2 * limits.patience()) {
                    fairEviction.mayYield(i, source[i]);
                }
            }
        }
        for (int i = orders.get(ConnectionState.QUIET).first();
                i >= 0;
                i = orders.get(ConnectionState.QUIET).after(i)) {
            if (!promised[i]) {
                fairEviction.mayYield(i, source[i]);
            }
        }
        fairEviction.evict(
                used - places,
                t,
                i -> {
                    // Danger: a request that has come and waits unread, after a pause of the
                    // process, would be lost.
                    boolean silent =
                            (answers[i] == 0 && state[i] != ConnectionState.NEW)
                                    || hands.isSilent(i);
                    if (silent) {
                        close(i, CloseReason.CROWD);
                    }
                    return silent;
                });
    }

    /** Ends what has taken too long; to be called every Bounds.sweep() seconds at the least. */
    public void sweep(double now) {
        double t = time(now);
        makeRoom(now);
        for (int kind = 0; kind < KINDS; kind++) {
            limit[kind] = Math.max(limits.earliest(), reuse[kind].limit(price(), t));
        }
        for (int i = 0; i < state.length; i++) {
            CloseReason why = overdue(i, t);
            if (why != null
                    && ((state[i] != ConnectionState.NEW && state[i] != ConnectionState.QUIET)
                            || hands.isSilent(i))) {
                close(i, why);
            }
        }
    }

    /**
     * Why a connection is to be closed now, null if it may stay. Danger: one without end holds its
     * buffers.
     */
    private CloseReason overdue(int i, double t) {
        return switch (state[i]) {
            case NEW -> t > due[i] ? CloseReason.NO_WORD : drains(i, t);
            case HEAD, BODY -> t > due[i] ? CloseReason.SLOW : null;
            case FETCHING -> t > due[i] ? CloseReason.UNFETCHED : null;
            case QUIET -> {
                double quiet = t - since[i];
                yield quiet > limits.quiet()
                        ? CloseReason.QUIET
                        : quiet > limit[kind(i)] && !promised[i]
                                ? CloseReason.UNUSED
                                : drains(i, t);
            }
            case FREE, OPEN, TURNED_AWAY -> null;
        };
    }

    private CloseReason drains(int i, double t) {
        return t >= drainAt[i] ? CloseReason.DRAIN : null;
    }

    /**
     * Every answer closes its connection from now on, and those without a word go one by one until
     * a time. Danger: all closed in one instant would fall on the siblings as a herd.
     */
    public void drain(double now, double until) {
        drainBegan = time(now);
        drainUntil = drainBegan + until - now;
        int count = in(ConnectionState.NEW) + in(ConnectionState.QUIET);
        int rank = 0;
        for (ConnectionState each :
                new ConnectionState[] {ConnectionState.QUIET, ConnectionState.NEW}) {
            for (int i = orders.get(each).first(); i >= 0; i = orders.get(each).after(i)) {
                drainAt[i] = drainBegan + (until - now) * rank++ / count;
            }
        }
    }

    /** Ends the drain: those that are still there stay, and answers close as they usually do. */
    public void resume() {
        drainBegan = Double.POSITIVE_INFINITY;
        Arrays.fill(drainAt, Double.POSITIVE_INFINITY);
    }

    /**
     * Whether the drain has left nobody to whom an answer is owed. Who has had the one that closes
     * has a moment to go. Danger: with bytes unread the end of the process would reset the
     * connection, and an answer that is still on its way be destroyed.
     */
    public boolean isDrained(double now) {
        double t = time(now);
        for (int i = 0; i < state.length; i++) {
            boolean answered =
                    ending[i] == CloseReason.DRAIN
                            && t - since[i] >= limits.linger()
                            && (state[i] == ConnectionState.QUIET
                                    || state[i] == ConnectionState.HEAD);
            if (state[i] != ConnectionState.FREE && !answered) {
                return false;
            }
        }
        return true;
    }

    /** How many connections are in a state. */
    public int in(ConnectionState each) {
        return orders.get(each).size();
    }

    /** How many have ended for a reason, in whatever state. */
    public long ended(CloseReason why) {
        return Arrays.stream(closed).mapToLong(each -> each[why.ordinal()]).sum();
    }

    ConnectionState state(int i) {
        return state[i];
    }

    int remembered() {
        return sources.remembered();
    }

    /**
     * What there is by state and what ended by reason, as key and value pairs for a line of the
     * log.
     */
    public String told() {
        StringBuilder text = new StringBuilder();
        for (ConnectionState each : ConnectionState.values()) {
            text.append(each.name().toLowerCase(Locale.ROOT))
                    .append('=')
                    .append(in(each))
                    .append(' ');
        }
        for (CloseReason why : CloseReason.values()) {
            text.append("ended_")
                    .append(why.name().toLowerCase(Locale.ROOT))
                    .append('=')
                    .append(ended(why))
                    .append(' ');
        }
        return text.append("refused=").append(refused).toString();
    }
}
