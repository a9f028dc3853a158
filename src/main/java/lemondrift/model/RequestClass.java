package lemondrift.model;

/** One service grade; times in seconds. */
public record RequestClass(double benefit, double lateBenefit, double contractTime, double expiry,
        Idempotency effect, DeduplicationScope group, double receiptMemory) {}
