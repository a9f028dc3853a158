package lemondrift.model;

/** One service grade; times in seconds. */
public record RequestClass(
        double priorityWeight,
        double latePriorityWeight,
        double latencyObjectiveSeconds,
        double timeoutSeconds,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double idempotencyKeyTtlSeconds) {}
