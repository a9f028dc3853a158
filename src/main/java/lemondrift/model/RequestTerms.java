package lemondrift.model;

/** What holds for an exchange from its arrival to its end, whatever is stated later. */
public record RequestTerms(RequestClass requestClass, int maxAttempts) {
    /** The same with so much time, where its request takes that long to come. */
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
     * The same with no more forwards than these, where its request can't be sent whole any more.
     */
    public RequestTerms withMaxAttempts(int most) {
        return new RequestTerms(requestClass, Math.min(maxAttempts, most));
    }
}
