package lemondrift.connection;

/**
 * Learns after how long idle connections are reused, and from that for how long one is worth its
 * place. Idle times go into a histogram that decays, as reused or as closed without reuse; the
 * share reused of those that lasted so long is a hazard (Kaplan and Meier, 1958). How long to keep
 * a place is then optimal stopping, solved backwards over the bins.
 */
final class IdleReuseEstimator {
    /** Each bin is twice as long as the one before, but for the first two, which are equal. */
    private static final int BINS = 12;

    /** The number of connections that the prior knowledge counts as. */
    private static final double PRIOR_CONNECTIONS = 2;

    /** How often one is reused within the longest idle time, by the prior knowledge. */
    private static final double PRIOR_REUSES = 2;

    /** The sample weight from which all are scaled down, long before a double overflows. */
    private static final double MAX_SAMPLE_WEIGHT = 1e6;

    private final double maxIdleSeconds;
    private final double minIdleSeconds;
    private final double halfLifeSeconds;

    /** By bin, the weight of connections that were reused in it. */
    private final double[] reused = new double[BINS];

    /** By bin, the weight of connections that lasted through it or were reused in it. */
    private final double[] atRisk = new double[BINS];

    /** What a sample counted now weighs; it grows instead of the decay of all others. */
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

    /** A connection was reused after so many idle seconds. */
    void recordReuse(double idleSeconds, double now) {
        int bin = countSurvivedBins(idleSeconds, now);
        if (bin < BINS) {
            atRisk[bin] += sampleWeight;
            reused[bin] += sampleWeight;
        }
    }

    /**
     * A connection was closed after so many idle seconds. Guards against short limits that prove
     * themselves: it does not count as never reused in the bins that it did not outlast.
     */
    void recordClose(double idleSeconds, double now) {
        countSurvivedBins(idleSeconds, now);
    }

    /** Counts the bins that were outlasted and returns the bin after them, up to BINS. */
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

    /** How likely a connection that is idle at a bin's start is reused within the bin, 0 to 1. */
    private double hazard(int bin) {
        double lengthSeconds = binStartSeconds(bin + 1) - binStartSeconds(bin);
        double priorWeight = PRIOR_CONNECTIONS * sampleWeight;
        double priorHazard = 1 - Math.exp(-PRIOR_REUSES * lengthSeconds / maxIdleSeconds);
        return (reused[bin] + priorWeight * priorHazard) / (atRisk[bin] + priorWeight);
    }

    /**
     * For how many idle seconds a place is worth its price.
     *
     * @param pricePerSecond what a place costs, in connections that need not be opened again
     * @return 0 where the place is best given up with the response, else up to the longest idle
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
            // Between the response and the least idle time it can't be closed.
            boolean mayClose = bin == 0 || binStartSeconds(bin) >= minIdleSeconds;
            if (value <= 0 && mayClose) {
                value = 0;
                limitSeconds = binStartSeconds(bin);
            }
        }
        return limitSeconds;
    }
}
