package lemondrift.model;

/**
 * The settings of one class of requests.
 *
 * @param priorityWeight the value of a response within the latency objective
 * @param latePriorityWeight the value of a response after the latency objective; 0 if it has none
 * @param latencyObjectiveSeconds the time within which a response is in time
 * @param timeoutSeconds how long a client waits
 * @param idempotency whether a request may be executed twice
 * @param deduplicationScope which backends recognize the idempotency key of a request
 * @param idempotencyKeyTtlSeconds how long they recognize the key
 */
public record RequestClass(
        double priorityWeight,
        double latePriorityWeight,
        double latencyObjectiveSeconds,
        double timeoutSeconds,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double idempotencyKeyTtlSeconds) {
    /**
     * Returns whether a client may resend a request that a backend has executed, because it is
     * idempotent or all backends recognize its idempotency key.
     */
    public boolean isClientRetryHarmless() {
        return idempotency == Idempotency.IDEMPOTENT
                || (idempotency == Idempotency.IDEMPOTENT_WITH_KEY
                        && deduplicationScope == DeduplicationScope.ALL);
    }
}
