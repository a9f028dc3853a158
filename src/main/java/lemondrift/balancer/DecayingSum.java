package lemondrift.balancer;

/** A sum that decays exponentially over time. */
final class DecayingSum {
    /** The time after which a value has decayed to 1/e of itself, in seconds. */
    double timeConstantSeconds = 1;

    private double sum;
    private double updatedAt;

    /** Returns the sum, decayed up to the given time. */
    double value(double now) {
        return sum == 0 ? 0 : sum * Math.exp((updatedAt - now) / timeConstantSeconds);
    }

    void add(double amount, double now) {
        sum = value(now) + amount;
        updatedAt = now;
    }
}
