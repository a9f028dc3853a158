package lemondrift.connection;

/**
 * Learns after how long quiet connections are used again, and says how long that makes one worth
 * its place. Spans of quiet are counted in a histogram that fades, as used again or as ended
 * without; the share used again of those that came so far is a hazard, after Kaplan and Meier
 * (1958). How long to keep a place is then a problem of optimal stopping, solved backwards over the
 * bins. No I/O, no clock.
 */
final class IdleReuseEstimator {
    /**
     * Each bin is twice as long as the one before but for the first, which is as long as the
     * second.
     */
    private static final int BINS = 12;

    /**
     * What is not known yet counts as so many connections, used again within the longest time so
     * often.
     */
    private static final double PRIOR = 2;

    private static final double PRIOR_USES = 2;

    /** Weights are scaled down again beyond this, long before a double could overflow. */
    private static final double MOST_WEIGHT = 1e6;

    private final double longest;
    private final double earliest;
    private final double half;
    private final double[] used = new double[BINS];
    private final double[] came = new double[BINS];

    /** What one that is counted now weighs; it grows in place of all others' fading. */
    private double weight = 1;

    private double weighedAt;

    IdleReuseEstimator(double longest, double earliest, double half) {
        this.longest = longest;
        this.earliest = earliest;
        this.half = half;
    }

    private double start(int bin) {
        return bin == 0 ? 0 : longest * Math.scalb(1.0, bin - BINS);
    }

    /** One was used again after so many seconds of quiet. */
    void usedAfter(double quiet, double now) {
        int at = count(quiet, now);
        if (at < BINS) {
            came[at] += weight;
            used[at] += weight;
        }
    }

    /**
     * One ended after so many seconds of quiet. Danger: counted as never used, short limits prove
     * themselves.
     */
    void endedAfter(double quiet, double now) {
        count(quiet, now);
    }

    /**
     * Counts it in the bins that it has outlasted; the bin that it is in, or as many as there are.
     */
    private int count(double quiet, double now) {
        weigh(now);
        int at = 0;
        for (; at < BINS && start(at + 1) <= quiet; at++) {
            came[at] += weight;
        }
        return at;
    }

    private void weigh(double now) {
        weight *= Math.pow(2, Math.max(0, now - weighedAt) / half);
        weighedAt = now;
        if (weight > MOST_WEIGHT) {
            for (int b = 0; b < BINS; b++) {
                used[b] /= weight;
                came[b] /= weight;
            }
            weight = 1;
        }
    }

    /** How likely one that is quiet at a bin's start is used again within it. */
    private double hazard(int bin) {
        double length = start(bin + 1) - start(bin);
        double prior = PRIOR * weight;
        double expected = 1 - Math.exp(-PRIOR_USES * length / longest);
        return (used[bin] + prior * expected) / (came[bin] + prior);
    }

    /**
     * How many seconds of quiet a place is worth at a price, 0 where it is best given up with the
     * answer.
     *
     * @param price what a place costs for a second, in connections that need not be opened again; 0
     *     or more
     */
    double limit(double price, double now) {
        weigh(now);
        double value = 0;
        double limit = longest;
        for (int b = BINS - 1; b >= 0; b--) {
            double hazard = hazard(b);
            double length = start(b + 1) - start(b);
            value = hazard - price * length * (1 - hazard / 2) + (1 - hazard) * value;
            // It can't be closed between the answer and the earliest time, so there is no choice
            // there.
            if (value <= 0 && (b == 0 || start(b) >= earliest)) {
                value = 0;
                limit = start(b);
            }
        }
        return limit;
    }
}
