package lemondrift.model;

/**
 * What would be shed of a service grade now: whatever has less than this many seconds of its
 * contract time left. The retry-after, in seconds, is what it would be told; 0 where nothing is to
 * be said.
 */
public record ShedThreshold(double minSecondsLeft, double retryAfterSeconds) {
    /** The same with a retry-after of so many seconds at the most. */
    public ShedThreshold withMaxRetryAfter(double longest) {
        return new ShedThreshold(minSecondsLeft, Math.min(retryAfterSeconds, longest));
    }
}
