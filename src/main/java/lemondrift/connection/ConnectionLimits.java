package lemondrift.connection;

/**
 * How many clients' connections there may be and how patient the proxy is with them. All times are
 * in seconds and are ratios to the longest idle time.
 *
 * @param maxConnections how many connections are to stay open, 1 or more
 * @param acceptLimit how many there may be until some are evicted; places or more
 * @param maxIdleSeconds the longest idle time of an answered connection, in seconds over 0
 * @param minIdleSeconds the idle time before which none is closed between requests unless there are
 *     too many, in seconds from 0 to quiet
 * @param sharing what the places are shared among
 * @param announcesKeepAlive whether responses announce for how long the connection stays open,
 *     which is then held to
 * @param minBytesPerSecond bytes a second by which a request that comes, or a response that is
 *     taken, must make progress; over 0
 * @param typicalPriorityWeight the priority weight of a usual request, over 0; what a request earns
 *     for its source is a ratio to it
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
        if (maxConnections < 1
                || acceptLimit < maxConnections
                || !(maxIdleSeconds > 0)
                || !(minIdleSeconds >= 0 && minIdleSeconds <= maxIdleSeconds)
                || !(minBytesPerSecond > 0)
                || !(typicalPriorityWeight > 0)
                || sharing == null) {
            throw new IllegalArgumentException("the connection limits contradict each other");
        }
    }

    /**
     * How long a new connection may take for its first byte. Under the 3 s, at the default idle
     * time, within which a client that sends nothing is to be closed; the read timeout follows the
     * first byte.
     */
    double firstByteTimeoutSeconds() {
        return 0.8 * maxIdleSeconds;
    }

    /**
     * How long after its accept a connection's first head may end, where its bytes come no faster
     * than the least rate. With a sweep's interval under the 3 s within which a client without a
     * request is to be closed, at the default idle time.
     */
    double firstHeadTimeoutSeconds() {
        return 1.25 * maxIdleSeconds;
    }

    /**
     * How long a head may take and a body may pause, and how far progress moves the deadline ahead
     * at the most. Guards against cutting off slow clients midway.
     */
    double readTimeoutSeconds() {
        return 1.1 * maxIdleSeconds;
    }

    /** The same for a client that takes its response: kernels take a lot, then nothing for long. */
    double writeTimeoutSeconds() {
        return 4 * maxIdleSeconds;
    }

    /** How long a backend may give nothing of a response that it has begun. */
    public double backendStallTimeoutSeconds() {
        return writeTimeoutSeconds();
    }

    /** How long a connection is not read after a rejected request, the first time. */
    double firstReadPauseSeconds() {
        return maxIdleSeconds / 11;
    }

    /** How long a connection is not read after a rejected request, at the most. */
    double maxReadPauseSeconds() {
        return 0.45 * maxIdleSeconds;
    }

    /**
     * The age from which a connection without a byte may be evicted; twice that, a first request.
     */
    double evictionGraceSeconds() {
        return maxIdleSeconds / 22;
    }

    /** How often {@link ConnectionPolicy#sweep} is to be called at the least. */
    public double sweepIntervalSeconds() {
        return maxIdleSeconds / 11;
    }

    /** The half-life of what a source earned and cost, and of what was seen of idle times. */
    double halfLifeSeconds() {
        return 4 * maxIdleSeconds;
    }
}
