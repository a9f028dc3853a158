package lemondrift.connection;

/**
 * Limits of the number of clients' connections, and timeouts for them. All timeouts are in seconds
 * and proportional to the longest idle time.
 *
 * @param maxConnections the number of connections above which some are evicted, 1 or more
 * @param acceptLimit the number of connections up to which new ones are accepted, before the excess
 *     is evicted; {@code maxConnections} or more
 * @param maxIdleSeconds the longest time that a connection may be idle between requests, in
 *     seconds, greater than 0
 * @param minIdleSeconds the idle time before which no connection is closed between requests unless
 *     there are too many connections, in seconds, 0 to {@code maxIdleSeconds}
 * @param sharing what counts as one source, among which the connections are shared
 * @param announcesKeepAlive whether responses announce for how long the connection stays open; an
 *     announced time is kept
 * @param minBytesPerSecond the minimum rate, in bytes per second, at which a request must be
 *     received and a response must be read by the client; greater than 0
 * @param typicalPriorityWeight the priority weight of a typical request, greater than 0; the credit
 *     of a request is its own priority weight divided by this one
 */
public record ConnectionLimits(
        int maxConnections,
        int acceptLimit,
        double maxIdleSeconds,
        double minIdleSeconds,
        Sharing sharing,
        boolean announcesKeepAlive,
        double minBytesPerSecond,
        double typicalPriorityWeight) {
    /** What counts as one source of connections. */
    public enum Sharing {
        /** Each connection: behind a front proxy all clients have the same address. */
        CONNECTION,
        /** All connections from one address. */
        ADDRESS,
        /**
         * All connections of one tenant, or from one address as long as the tenant is not known.
         */
        TENANT
    }

    /**
     * The share of the connection slots that unused connections hold when a slot has its full
     * price.
     */
    static final double UNUSED_SHARE_AT_FULL_PRICE = 0.25;

    /**
     * Checks the range of each limit.
     *
     * @throws IllegalArgumentException if a limit is out of its range or {@code sharing} is null
     */
    public ConnectionLimits {
        if (maxConnections < 1
                || acceptLimit < maxConnections
                || !(maxIdleSeconds > 0)
                || !(minIdleSeconds >= 0 && minIdleSeconds <= maxIdleSeconds)
                || !(minBytesPerSecond > 0)
                || !(typicalPriorityWeight > 0)
                || sharing == null) {
            throw new IllegalArgumentException(
                    "connection limits out of range: maxConnections "
                            + maxConnections
                            + " (1 or more), acceptLimit "
                            + acceptLimit
                            + " (maxConnections or more), maxIdleSeconds "
                            + maxIdleSeconds
                            + " (over 0), minIdleSeconds "
                            + minIdleSeconds
                            + " (0 to maxIdleSeconds), minBytesPerSecond "
                            + minBytesPerSecond
                            + " (over 0), typicalPriorityWeight "
                            + typicalPriorityWeight
                            + " (over 0), sharing "
                            + sharing
                            + " (not null)");
        }
    }

    /**
     * Returns how long a new connection may take for its first byte. With the default idle time
     * this is below 3 s, within which a client that sends nothing must be disconnected. The read
     * timeout applies after the first byte.
     */
    double firstByteTimeoutSeconds() {
        return 0.8 * maxIdleSeconds;
    }

    /**
     * Returns how long after the accept the first head may end if its bytes arrive no faster than
     * the minimum rate. With the default idle time, this plus a sweep interval is below 3 s, within
     * which a client without a request must be disconnected.
     */
    double firstHeadTimeoutSeconds() {
        return 1.25 * maxIdleSeconds;
    }

    /**
     * Returns how long a head may take and a body may pause. Progress extends the deadline to at
     * most this time from now. Guards against cutting off slow clients in the middle of a request.
     */
    double readTimeoutSeconds() {
        return 1.1 * maxIdleSeconds;
    }

    /**
     * Returns the corresponding timeout for a client that reads its response. It is longer because
     * kernels accept many bytes at once and then none for a long time.
     */
    double writeTimeoutSeconds() {
        return 4 * maxIdleSeconds;
    }

    /** Returns how long a backend may send no byte of a response that it has begun. */
    public double backendStallTimeoutSeconds() {
        return writeTimeoutSeconds();
    }

    /** Returns how long a connection is not read after its first invalid request. */
    double firstReadPauseSeconds() {
        return maxIdleSeconds / 11;
    }

    /** Returns the longest time that a connection is not read after an invalid request. */
    double maxReadPauseSeconds() {
        return 0.45 * maxIdleSeconds;
    }

    /**
     * Returns the age from which a connection without a first byte may be evicted. A connection
     * with an incomplete first request may be evicted from twice that age.
     */
    double evictionGraceSeconds() {
        return maxIdleSeconds / 22;
    }

    /** Returns the longest interval at which {@link ConnectionPolicy#sweep} must be called. */
    public double sweepIntervalSeconds() {
        return maxIdleSeconds / 11;
    }

    /** Returns the half-life of the credit and cost of a source, and of the observed idle times. */
    double halfLifeSeconds() {
        return 4 * maxIdleSeconds;
    }
}
