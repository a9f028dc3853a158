package lemondrift.recovery;

/**
 * How a proxy that has started polls its peers.
 *
 * @param intervalSeconds seconds from the first poll to the second; each further interval is longer
 *     by as much
 * @param decisionTimeoutSeconds seconds after the start when it goes by whoever has answered
 * @param expirySeconds seconds after which a peer's status no longer counts; at least the decision
 *     timeout
 * @param fanout how many peers it polls at a time
 * @param settledSamples from so many samples of its own it polls no more
 */
public record PeerPollSettings(
        double intervalSeconds,
        double decisionTimeoutSeconds,
        double expirySeconds,
        int fanout,
        int settledSamples) {
    /** First interval, as a share of the shortest latency objective. */
    private static final double DEFAULT_INTERVAL_SHARE = 0.1;

    /** Expiry of a status, in shortest latency objectives. */
    private static final double DEFAULT_EXPIRY_FACTOR = 8;

    /** Peers polled at a time. */
    private static final int DEFAULT_FANOUT = 6;

    /** Own samples after which nobody is polled. */
    private static final int DEFAULT_SETTLED_SAMPLES = 8;

    /** The default for a shortest latency objective of so many seconds. */
    public static PeerPollSettings forLatencyObjective(double objectiveSeconds) {
        return new PeerPollSettings(
                DEFAULT_INTERVAL_SHARE * objectiveSeconds,
                objectiveSeconds,
                DEFAULT_EXPIRY_FACTOR * objectiveSeconds,
                DEFAULT_FANOUT,
                DEFAULT_SETTLED_SAMPLES);
    }

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException where one is not positive, or expiry is under the decision
     *     timeout
     */
    public PeerPollSettings {
        if (!(intervalSeconds > 0)
                || !(decisionTimeoutSeconds > 0)
                || !(expirySeconds >= decisionTimeoutSeconds)
                || fanout < 1
                || settledSamples < 1) {
            throw new IllegalArgumentException("intervals of polling out of range");
        }
    }
}
