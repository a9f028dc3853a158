package lemondrift.connection;

/** Who connections come from: what it holds, and what it brought and cost lately. */
final class ClientSource {
    /**
     * What a source has brought raises its weight so far at the most: none may outweigh all others.
     */
    private static final double MOST = 16;

    int held;
    private double brought;
    private double cost;
    private double fadedAt;

    /** Its connections that may give way, in that order; used while room is made. */
    int firstYielding = -1;

    int lastYielding = -1;

    private void fade(double now, double half) {
        double share = Math.pow(2, -Math.max(0, now - fadedAt) / half);
        brought *= share;
        cost *= share;
        fadedAt = now;
    }

    /** What it brought, as a ratio to a usual exchange's benefit. */
    void brought(double benefit, double now, double half) {
        fade(now, half);
        brought = Math.min(MOST, brought + benefit);
    }

    /** A request of it was turned away, or a connection ended without one. */
    void cost(double now, double half) {
        fade(now, half);
        cost = Math.min(MOST, cost + 1);
    }

    /**
     * How many places it is due beside others: more for what it brought, less for what it only
     * cost.
     */
    double weight(double now, double half) {
        fade(now, half);
        return (1 + brought) / (1 + cost);
    }

    /** What it only cost lately, in requests turned away, 0 to 16. */
    double costs(double now, double half) {
        fade(now, half);
        return Math.max(0, cost - brought);
    }
}
