package lemondrift.gossip;

/**
 * Whether this proxy has stopped hearing its peers: nothing has come for many times the mean
 * interval between two messages. Guards against going on by what the peers had in flight when they
 * fell silent, or taking all backends for idle once that has expired. Times are in seconds.
 */
final class PeerSilenceDetector {
    /** Number of intervals over which the exponential mean is taken. */
    private static final double MEAN_INTERVALS = 32;

    /** So many mean intervals without a message are silence. */
    private static final double SILENCE_MEAN_INTERVALS = 12;

    /** Silence is at least so many times the least interval between two messages of one peer. */
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

    /** A message of any peer has come. */
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
