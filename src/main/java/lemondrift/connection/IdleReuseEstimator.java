package lemondrift.connection;

/**
 * Estimates after how long idle connections are reused, and derives for how long an idle connection
 * is worth its slot. Idle times are counted in a decaying histogram, as reused or as closed without
 * reuse. The hazard of a bin is the share of connections reused in it among those that were idle
 * until the bin (Kaplan and Meier, 1958). How long to keep a connection is an optimal stopping
 * problem, solved backwards over the bins.
 */
final class IdleReuseEstimator {
    /**
     * The number of bins. Each bin is twice as long as the previous one, except for the first two,
     * which are equal.
     */
    private static final int BINS = 12;

    /** The weight of the prior, in connections. */
    private static final double PRIOR_CONNECTIONS = 2;

    /** How often a connection is reused within the longest idle time according to the prior. */
    private static final double PRIOR_REUSES = 2;

    /**
     * The sample weight above which all weights are scaled down, long before a double overflows.
     */
    private static final double MAX_SAMPLE_WEIGHT = 1e6;

    private final double maxIdleSeconds;
    private final double minIdleSeconds;
    private final double halfLifeSeconds;

    /** By bin, the weight of the connections that were reused in it. */
    private final double[] reused = new double[BINS];

    /**
     * By bin, the weight of the connections that were idle for the whole bin or were reused in it.
     */
    private final double[] atRisk = new double[BINS];

    /**
     * The weight of a sample that is counted now. It grows over time, which is equivalent to a
     * decay of all earlier samples.
     */
    private double sampleWeight = 1;

    private double weightUpdatedAt;

    IdleReuseEstimator(double maxIdleSeconds, double minIdleSeconds, double halfLifeSeconds) {
        this.maxIdleSeconds = maxIdleSeconds;
        this.minIdleSeconds = minIdleSeconds;
        this.halfLifeSeconds = halfLifeSeconds;
    }

    private double binStartSeconds(int bin) {
        return bin == 0 ? 0 : maxIdleSeconds * Math.scalb(1.0, bin - BINS);
    }

    /** Records that a connection was reused after this idle time. */
    void recordReuse(double idleSeconds, double now) {
        int bin = countSurvivedBins(idleSeconds, now);
        if (bin < BINS) {
            atRisk[bin] += sampleWeight;
            reused[bin] += sampleWeight;
        }
    }

    /**
     * Records that a connection was closed after this idle time. The connection counts only in the
     * bins that it survived, and not as unused in later ones. Guards against short limits that
     * confirm themselves.
     */
    void recordClose(double idleSeconds, double now) {
        countSurvivedBins(idleSeconds, now);
    }

    /**
     * Counts the connection in each bin that it survived. Returns the next bin; BINS if it survived
     * all.
     */
    private int countSurvivedBins(double idleSeconds, double now) {
        updateSampleWeight(now);
        int bin = 0;
        for (; bin < BINS && binStartSeconds(bin + 1) <= idleSeconds; bin++) {
            atRisk[bin] += sampleWeight;
        }
        return bin;
    }

    private void updateSampleWeight(double now) {
        sampleWeight *= Math.pow(2, Math.max(0, now - weightUpdatedAt) / halfLifeSeconds);
        weightUpdatedAt = now;
        if (sampleWeight > MAX_SAMPLE_WEIGHT) {
            for (int bin = 0; bin < BINS; bin++) {
                reused[bin] /= sampleWeight;
                atRisk[bin] /= sampleWeight;
            }
            sampleWeight = 1;
        }
    }

    /**
     * Returns the probability that a connection that is idle at the start of a bin is reused within
     * the bin, 0 to 1.
     */
    private double hazard(int bin) {
        double lengthSeconds = binStartSeconds(bin + 1) - binStartSeconds(bin);
        double priorWeight = PRIOR_CONNECTIONS * sampleWeight;
        double priorHazard = 1 - Math.exp(-PRIOR_REUSES * lengthSeconds / maxIdleSeconds);
        return (reused[bin] + priorWeight * priorHazard) / (atRisk[bin] + priorWeight);
    }

    /**
     * Returns for how many idle seconds a connection is worth the price of its slot.
     *
     * @param pricePerSecond the cost of a slot per second, in units of one avoided reconnect
     * @return 0 if the connection is best closed with the response, else up to the longest idle
     *     time
     */
    double idleLimitSeconds(double pricePerSecond, double now) {
        updateSampleWeight(now);
        double value = 0;
        double limitSeconds = maxIdleSeconds;
        for (int bin = BINS - 1; bin >= 0; bin--) {
            double hazard = hazard(bin);
            double lengthSeconds = binStartSeconds(bin + 1) - binStartSeconds(bin);
            value =
                    hazard
                            - pricePerSecond * lengthSeconds * (1 - hazard / 2)
                            + (1 - hazard) * value;
            // A connection cannot be closed between the response and the minimum idle time.
            boolean mayClose = bin == 0 || binStartSeconds(bin) >= minIdleSeconds;
            if (value <= 0 && mayClose) {
                value = 0;
                limitSeconds = binStartSeconds(bin);
            }
        }
        return limitSeconds;
    }
}
