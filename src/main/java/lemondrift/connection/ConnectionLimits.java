package lemondrift.connection;

/**
 * What the door may use and how patient it is. All times are in seconds and follow from one, the
 * time that a connection may be quiet; they are ratios to it.
 *
 * @param places how many connections there are to be at the most, 1 or more
 * @param last how many there may be for a moment, until some have given way; places or more
 * @param quiet how long an answered connection may say nothing, over 0
 * @param earliest how long one may say nothing before it is closed between requests except in a
 *     crowd; 0 to quiet
 * @param sharing what the places are shared among
 * @param announces whether answers promise how long the connection stays, which is then held to
 * @param leastRate bytes a second that a request, or the fetching of an answer, must make progress
 *     by
 * @param benefit what a usual exchange brings, over 0; what one earns for its source is a ratio to
 *     it
 */
public record ConnectionLimits(
        int places,
        int last,
        double quiet,
        double earliest,
        Sharing sharing,
        boolean announces,
        double leastRate,
        double benefit) {
    /** What is one source of connections. */
    public enum Sharing {
        /** Each connection by itself: behind a front all clients have one address. */
        CONNECTION,
        /** All of one address. */
        ADDRESS,
        /** All of one tenant, and of one address as long as the tenant is not known. */
        TENANT
    }

    /** Of the places, how many may stand unused before a place has its full price. */
    static final double UNUSED = 0.25;

    public ConnectionLimits {
        if (places < 1
                || last < places
                || !(quiet > 0)
                || !(earliest >= 0 && earliest <= quiet)
                || !(leastRate > 0)
                || !(benefit > 0)
                || sharing == null) {
            throw new IllegalArgumentException("bounds of the door that contradict each other");
        }
    }

    /**
     * How long a new one may take for its first word, which stays under 1.3 quiet as pause does.
     */
    double firstWord() {
        return 0.8 * quiet;
    }

    /**
     * How long a head may take, and how long a body may pause; progress brings the time by which
     * more must come no farther ahead than this. Danger: much shorter, and slow clients are cut off
     * in the middle.
     */
    double pause() {
        return 1.1 * quiet;
    }

    /**
     * The same for the fetching of an answer: the system takes a lot, and then nothing for long.
     */
    double fetch() {
        return 4 * quiet;
    }

    /** How long a backend may give nothing of an answer that it has begun. */
    public double stall() {
        return fetch();
    }

    /** How long a client whose requests are turned away is not read at the most. */
    double longestLinger() {
        return 0.45 * quiet;
    }

    /**
     * How long a new one keeps its place in a crowd without a word, and half of that for a request.
     */
    double patience() {
        return quiet / 22;
    }

    /** How long a client whose request was turned away is not read, the first time. */
    double linger() {
        return quiet / 11;
    }

    /** How often the door is to be looked after at the least. */
    public double sweep() {
        return quiet / 11;
    }

    /** How long what a source did counts: half of it is forgotten in this time. */
    double memory() {
        return 4 * quiet;
    }
}
