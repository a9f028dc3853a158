package lemondrift.model;

/**
 * What holds for a request from its arrival to its end, whatever settings come later.
 *
 * @param maxAttempts how many attempts it may have
 */
public record RequestTerms(RequestClass requestClass, int maxAttempts) {
    /**
     * The same with another latency objective and timeout, both of so many seconds, for a request
     * whose body takes long to come.
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

    /** The same with so many attempts at the most, for a request whose body cannot be replayed. */
    public RequestTerms withMaxAttempts(int limit) {
        return new RequestTerms(requestClass, Math.min(maxAttempts, limit));
    }
}
