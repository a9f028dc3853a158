package lemondrift.connection;

/**
 * A source of connections, such as a client address or a tenant: the number of its open
 * connections, and its credit and cost. Credit and cost decay exponentially, by half in each
 * half-life.
 */
final class ClientSource {
    /** Limit of the credit and of the cost, so that no source can outweigh all others. */
    private static final double MAX_CREDIT_OR_COST = 16;

    int connections;
    private double credit;
    private double cost;
    private double decayedAt;

    private void decay(double now, double halfLifeSeconds) {
        double remainingShare = Math.pow(2, -Math.max(0, now - decayedAt) / halfLifeSeconds);
        credit *= remainingShare;
        cost *= remainingShare;
        decayedAt = now;
    }

    /**
     * Adds the credit for an answered request of this source.
     *
     * @param value the ratio of the request's priority weight to that of a typical request
     */
    void addCredit(double value, double now, double halfLifeSeconds) {
        decay(now, halfLifeSeconds);
        credit = Math.min(MAX_CREDIT_OR_COST, credit + value);
    }

    /**
     * Adds the cost of an invalid request, or of a connection that was closed without a response.
     */
    void addCost(double now, double halfLifeSeconds) {
        decay(now, halfLifeSeconds);
        cost = Math.min(MAX_CREDIT_OR_COST, cost + 1);
    }

    /** Returns the fair share of connections relative to other sources, 1/17 to 17. */
    double weight(double now, double halfLifeSeconds) {
        decay(now, halfLifeSeconds);
        return (1 + credit) / (1 + cost);
    }

    /** Returns by how much the cost exceeds the credit, in invalid requests, 0 to 16. */
    double netCost(double now, double halfLifeSeconds) {
        decay(now, halfLifeSeconds);
        return Math.max(0, cost - credit);
    }
}
