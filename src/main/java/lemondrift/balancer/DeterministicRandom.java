package lemondrift.balancer;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * The only source of randomness: a checksum over a seed and a counter, so that the same events give
 * the same decisions.
 */
final class DeterministicRandom {
    /**
     * Spreads the values of the counter. Guards against a pattern in the random numbers: the
     * checksums of successive numbers differ in similar ways.
     */
    private static final long COUNTER_FACTOR = 0x9E3779B97F4A7C15L;

    /** One more than the largest checksum. */
    private static final double CHECKSUM_RANGE = 0x1p32;

    private final long seed;
    private long counter;

    DeterministicRandom(long seed) {
        this.seed = seed;
    }

    /** Returns a random number from 0 to less than 1. */
    double nextDouble() {
        CRC32 crc = new CRC32();
        crc.update(
                ByteBuffer.allocate(2 * Long.BYTES)
                        .putLong(seed)
                        .putLong(++counter * COUNTER_FACTOR)
                        .flip());
        return crc.getValue() / CHECKSUM_RANGE;
    }

    /**
     * Returns a random duration between half and one and a half of the given duration, so that
     * proxies do not act in step.
     */
    double jitter(double seconds) {
        return seconds * (0.5 + nextDouble());
    }
}
