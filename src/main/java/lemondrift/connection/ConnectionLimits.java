package lemondrift.connection;

/**
 * How many clients' connections there may be and how patient the proxy is with them. All times are
 * in seconds and are ratios to the longest idle time.
 *
 * @param places how many connections are to stay open, 1 or more
 * @param last how many there may be until some are evicted; places or more
 * @param quiet the longest idle time of an answered connection, in seconds over 0
 * @param earliest the idle time before which none is closed between requests unless there are too
 *     many, in seconds from 0 to quiet
 * @param sharing what the places are shared among
 * @param announces whether responses announce for how long the connection stays open, which is then
 *     held to
 * @param leastRate bytes a second by which a request that comes, or a response that is taken, must
 *     make progress; over 0
 * @param benefit the priority weight of a usual request, over 0; what a request earns for its
 *     source is a ratio to it
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
    /** What counts as one source of connections. */
    public enum Sharing {
        /** Each connection by itself: behind a front proxy all clients have one address. */
        CONNECTION,
        /** All connections of one address. */
        ADDRESS,
        /** All of one tenant, and of one address as long as the tenant is not known. */
        TENANT
    }

    /** The share of the places that may stand unused before a place has its full price. */
    static final double UNUSED_SHARE_AT_FULL_PRICE = 0.25;

    /**
     * Checks that the limits fit together.
     *
     * @throws IllegalArgumentException if one is out of its range
     */
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
     * How long a new connection may take for its first byte. With the read timeout it stays under
     * the 3 s, at the default idle time, within which a client that brings no request is closed.
     */
    double firstByteTimeoutSeconds() {
        return 0.8 * quiet;
    }

    /**
     * How long a head may take and a body may pause, and how far progress moves the deadline ahead
     * at the most. Guards against cutting off slow clients midway.
     */
    double readTimeoutSeconds() {
        return 1.1 * quiet;
    }

    /** The same for a client that takes its response: kernels take a lot, then nothing for long. */
    double writeTimeoutSeconds() {
        return 4 * quiet;
    }

    /** How long a backend may give nothing of a response that it has begun. */
    public double backendStallTimeoutSeconds() {
        return writeTimeoutSeconds();
    }

    /** How long a connection is not read after a rejected request, the first time. */
    double firstReadPauseSeconds() {
        return quiet / 11;
    }

    /** How long a connection is not read after a rejected request, at the most. */
    double maxReadPauseSeconds() {
        return 0.45 * quiet;
    }

    /**
     * The age from which a connection without a byte may be evicted; twice that, a first request.
     */
    double evictionGraceSeconds() {
        return quiet / 22;
    }

    /** How often {@link ConnectionPolicy#sweep} is to be called at the least. */
    public double sweepIntervalSeconds() {
        return quiet / 11;
    }

    /** The half-life of what a source earned and cost, and of what was seen of idle times. */
    double halfLifeSeconds() {
        return 4 * quiet;
    }
}
