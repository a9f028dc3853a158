package lemondrift.recovery;

/**
 * How a proxy that has started polls its peers.
 *
 * @param ask seconds from the first poll to the second; each further interval is longer by as much
 * @param bound seconds after the start when it goes by whoever has answered
 * @param forget seconds after which a peer's status no longer counts; at least bound
 * @param fanout how many peers it polls at a time
 * @param enough from so many samples of its own it polls no more
 */
public record PeerPollBackoff(double ask, double bound, double forget, int fanout, int enough) {
    /** First interval, as a share of the shortest latency objective. */
    private static final double DEFAULT_INTERVAL_SHARE = 0.1;

    /** Expiry of a status, in shortest latency objectives. */
    private static final double DEFAULT_EXPIRY_FACTOR = 8;

    /** Peers polled at a time. */
    private static final int DEFAULT_FANOUT = 6;

    /** Own samples after which nobody is polled. */
    private static final int DEFAULT_SETTLED_SAMPLES = 8;

    /** The default for a shortest latency objective of so many seconds. */
    public static PeerPollBackoff of(double windowSeconds) {
        return new PeerPollBackoff(
                DEFAULT_INTERVAL_SHARE * windowSeconds,
                windowSeconds,
                DEFAULT_EXPIRY_FACTOR * windowSeconds,
                DEFAULT_FANOUT,
                DEFAULT_SETTLED_SAMPLES);
    }

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException where one is not positive, or forget is under bound
     */
    public PeerPollBackoff {
        if (!(ask > 0) || !(bound > 0) || !(forget >= bound) || fanout < 1 || enough < 1) {
            throw new IllegalArgumentException("intervals of polling out of range");
        }
    }
}
