package lemondrift.model;

/**
 * The settings that apply to a request from its arrival to its end, even if the settings change
 * meanwhile.
 *
 * @param maxAttempts how many attempts the request may have
 */
public record RequestTerms(RequestClass requestClass, int maxAttempts) {
    /**
     * Returns these terms with the given number of seconds as latency objective and timeout, for a
     * request whose body takes long to arrive.
     */
    public RequestTerms withTimeout(double seconds) {
        return new RequestTerms(
                new RequestClass(
                        requestClass.priorityWeight(),
                        requestClass.latePriorityWeight(),
                        seconds,
                        seconds,
                        requestClass.idempotency(),
                        requestClass.deduplicationScope(),
                        requestClass.idempotencyKeyTtlSeconds()),
                maxAttempts);
    }

    /**
     * Returns these terms with at most the given number of attempts, for a request whose body
     * cannot be replayed.
     */
    public RequestTerms withMaxAttempts(int limit) {
        return new RequestTerms(requestClass, Math.min(maxAttempts, limit));
    }
}
