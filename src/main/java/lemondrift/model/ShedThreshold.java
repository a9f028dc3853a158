package lemondrift.model;

/**
 * The threshold below which requests of a class would be rejected now.
 *
 * @param minSecondsLeft requests with fewer seconds until their attempt deadline would be rejected
 * @param retryAfterSeconds the Retry-After that the rejection would contain; 0 if there is none
 */
public record ShedThreshold(double minSecondsLeft, double retryAfterSeconds) {
    /** Returns this threshold with a Retry-After of at most the given number of seconds. */
    public ShedThreshold withMaxRetryAfter(double maxSeconds) {
        return new ShedThreshold(minSecondsLeft, Math.min(retryAfterSeconds, maxSeconds));
    }
}
