package lemondrift.model;

/** One service grade; times in seconds. */
public record ServiceGrade(double benefit, double lateBenefit, double contractTime, double expiry,
        Effect effect, Group group, double receiptMemory) {}
