package lemondrift.connection;

/**
 * Where connections come from: how many it has open, and what it earned and cost lately. Credit and
 * cost both decay, by half in each half-life.
 */
final class ClientSource {
    /** The most credit, and the most cost, that counts: no source may outweigh all others. */
    private static final double MAX_CREDIT_OR_COST = 16;

    int connections;
    private double credit;
    private double cost;
    private double decayedAt;

    /** Head of the list of its connections that may be evicted, in that order. */
    int firstCandidate = ConnectionTable.NONE;

    int lastCandidate = ConnectionTable.NONE;

    private void decay(double now, double halfLifeSeconds) {
        double remainingShare = Math.pow(2, -Math.max(0, now - decayedAt) / halfLifeSeconds);
        credit *= remainingShare;
        cost *= remainingShare;
        decayedAt = now;
    }

    /** A request of it was answered; the value is a ratio to a usual request's priority weight. */
    void addCredit(double value, double now, double halfLifeSeconds) {
        decay(now, halfLifeSeconds);
        credit = Math.min(MAX_CREDIT_OR_COST, credit + value);
    }

    /** A request of it was rejected, or a connection ended without one. */
    void addCost(double now, double halfLifeSeconds) {
        decay(now, halfLifeSeconds);
        cost = Math.min(MAX_CREDIT_OR_COST, cost + 1);
    }

    /** Its fair share of connections relative to other sources, 1/17 to 17. */
    double weight(double now, double halfLifeSeconds) {
        decay(now, halfLifeSeconds);
        return (1 + credit) / (1 + cost);
    }

    /** By how many rejected requests its cost exceeds its credit, 0 to 16. */
    double netCost(double now, double halfLifeSeconds) {
        decay(now, halfLifeSeconds);
        return Math.max(0, cost - credit);
    }
}
