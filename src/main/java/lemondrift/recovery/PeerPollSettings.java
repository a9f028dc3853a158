package lemondrift.recovery;

/**
 * Settings for how a starting proxy polls its peers.
 *
 * @param intervalSeconds seconds from the first poll to the second; each further interval is longer
 *     by this amount
 * @param decisionTimeoutSeconds seconds after the start when the phase is determined from the peers
 *     that have answered so far
 * @param expirySeconds seconds after which the status of a peer no longer counts; at least the
 *     decision timeout
 * @param fanout number of peers polled per round
 * @param settledSamples number of its own samples from which the proxy no longer polls
 */
public record PeerPollSettings(
        double intervalSeconds,
        double decisionTimeoutSeconds,
        double expirySeconds,
        int fanout,
        int settledSamples) {
    /** Default first interval, as a share of the shortest latency objective. */
    private static final double DEFAULT_INTERVAL_SHARE = 0.1;

    /** Default expiry of a status, as a multiple of the shortest latency objective. */
    private static final double DEFAULT_EXPIRY_FACTOR = 8;

    /** Default number of peers polled per round. */
    private static final int DEFAULT_FANOUT = 6;

    /** Default number of own samples from which the proxy no longer polls. */
    private static final int DEFAULT_SETTLED_SAMPLES = 8;

    /** Returns the defaults for a shortest latency objective, given in seconds. */
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
     * @throws IllegalArgumentException if a value is not positive, or if the expiry is shorter than
     *     the decision timeout
     */
    public PeerPollSettings {
        if (!(intervalSeconds > 0)
                || !(decisionTimeoutSeconds > 0)
                || !(expirySeconds >= decisionTimeoutSeconds)
                || fanout < 1
                || settledSamples < 1) {
            throw new IllegalArgumentException(
                    "poll settings must be positive, and the expiry at least the decision timeout:"
                            + " interval "
                            + intervalSeconds
                            + " s, decision timeout "
                            + decisionTimeoutSeconds
                            + " s, expiry "
                            + expirySeconds
                            + " s, fanout "
                            + fanout
                            + ", settled samples "
                            + settledSamples);
        }
    }
}
