package lemondrift.lab;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The mean difference of pairs, with a 95% confidence interval by the paired bootstrap (Efron
 * 1979).
 *
 * @param mean the mean difference
 * @param low the lower end of the interval
 * @param high the upper end of the interval
 */
public record PairedDifference(double mean, double low, double high) {
    /** The number of bootstrap samples, each drawn with replacement. */
    private static final int RESAMPLES = 2000;

    /** The share of the resampled means below the interval; the share above it is equal. */
    private static final double TAIL_SHARE = 0.025;

    /**
     * Computes the mean difference of two series, the first minus the second, pair by pair.
     *
     * @throws IllegalArgumentException if the lengths of the series differ or are 0
     */
    public static PairedDifference of(double[] first, double[] second) {
        int pairs = first.length;
        if (pairs != second.length || pairs == 0) {
            throw new IllegalArgumentException(
                    "expected two series of equal length over 0, found lengths "
                            + pairs
                            + " and "
                            + second.length);
        }
        double[] means = resampledMeans(first, second);
        double mean = 0;
        for (int i = 0; i < pairs; i++) {
            mean += (first[i] - second[i]) / pairs;
        }
        return new PairedDifference(
                mean,
                means[(int) (TAIL_SHARE * RESAMPLES)],
                means[(int) ((1 - TAIL_SHARE) * RESAMPLES) - 1]);
    }

    /** Returns the mean differences of all resamples in ascending order. */
    private static double[] resampledMeans(double[] first, double[] second) {
        int pairs = first.length;
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(pairs);
        double[] means = new double[RESAMPLES];
        for (int resample = 0; resample < RESAMPLES; resample++) {
            for (int drawn = 0; drawn < pairs; drawn++) {
                int i = random.nextInt(pairs);
                means[resample] += (first[i] - second[i]) / pairs;
            }
        }
        Arrays.sort(means);
        return means;
    }
}
