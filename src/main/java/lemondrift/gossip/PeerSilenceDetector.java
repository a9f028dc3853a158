package lemondrift.gossip;

/**
 * Detects that this proxy no longer receives messages from any peer: none has arrived for many
 * times the mean interval between two messages. Guards against using the outdated load that the
 * peers reported before they fell silent, and against taking all backends for idle once that load
 * has expired. Times are in seconds.
 */
final class PeerSilenceDetector {
    /** Number of intervals over which the exponential moving average is taken. */
    private static final double MEAN_INTERVALS = 32;

    /** Number of mean intervals without a message that count as silence. */
    private static final double SILENCE_MEAN_INTERVALS = 12;

    /**
     * Minimum time without a message that counts as silence, as a multiple of the minimum interval
     * between two messages of one peer.
     */
    private static final double SILENCE_MIN_INTERVALS = 4;

    private final double minIntervalSeconds;
    private final double expirySeconds;
    private double lastReceivedAt = Double.NEGATIVE_INFINITY;
    private double meanIntervalSeconds;

    PeerSilenceDetector(double minIntervalSeconds, double expirySeconds) {
        this.minIntervalSeconds = minIntervalSeconds;
        this.expirySeconds = expirySeconds;
        meanIntervalSeconds = expirySeconds;
    }

    /** Records that a message from any peer has arrived. */
    void messageReceived(double now) {
        if (lastReceivedAt > Double.NEGATIVE_INFINITY) {
            double interval = Math.min(expirySeconds, now - lastReceivedAt);
            meanIntervalSeconds += (interval - meanIntervalSeconds) / MEAN_INTERVALS;
        }
        lastReceivedAt = now;
    }

    boolean isSilent(double now) {
        return now - lastReceivedAt
                > Math.max(
                        SILENCE_MIN_INTERVALS * minIntervalSeconds,
                        SILENCE_MEAN_INTERVALS * meanIntervalSeconds);
    }
}
