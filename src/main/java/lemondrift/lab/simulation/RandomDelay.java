package lemondrift.lab.simulation;

import org.apache.commons.rng.UniformRandomProvider;

/** Draws a random delay for each message. */
final class RandomDelay {
    private RandomDelay() {}

    /** Returns a delay in seconds, uniformly distributed from 0.5 to 1.5 times the mean. */
    static double drawAround(double meanSeconds, UniformRandomProvider random) {
        return meanSeconds * (0.5 + random.nextDouble());
    }
}
