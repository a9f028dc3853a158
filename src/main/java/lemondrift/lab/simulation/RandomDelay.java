package lemondrift.lab.simulation;

import org.apache.commons.rng.UniformRandomProvider;

/** Delays that differ from message to message. */
final class RandomDelay {
    private RandomDelay() {}

    /** A delay in seconds, drawn evenly from half to one and a half of the mean. */
    static double drawAround(double meanSeconds, UniformRandomProvider random) {
        return meanSeconds * (0.5 + random.nextDouble());
    }
}
