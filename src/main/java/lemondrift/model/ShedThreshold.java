package lemondrift.model;

/**
 * What would be rejected of a request class now.
 *
 * @param minSecondsLeft a request with less time until its attempt deadline would be rejected
 * @param retryAfterSeconds what it would be told; 0 where nothing
 */
public record ShedThreshold(double minSecondsLeft, double retryAfterSeconds) {
    /** The same with a retry-after of so many seconds at the most. */
    public ShedThreshold withMaxRetryAfter(double maxSeconds) {
        return new ShedThreshold(minSecondsLeft, Math.min(retryAfterSeconds, maxSeconds));
    }
}
