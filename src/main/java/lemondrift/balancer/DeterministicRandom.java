package lemondrift.balancer;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/**
 * All chance: a checksum over the instance's seed and a counter; the same events give the same
 * acts.
 */
final class DeterministicRandom {
    /**
     * Danger: checksums of successive numbers differ alike each time, so draws would repeat a
     * pattern.
     */
    private static final long SPREAD = 0x9E3779B97F4A7C15L;

    private final long seed;
    private long counter;

    DeterministicRandom(long seed) {
        this.seed = seed;
    }

    double next() {
        CRC32 crc = new CRC32();
        crc.update(
                ByteBuffer.allocate(2 * Long.BYTES)
                        .putLong(seed)
                        .putLong(++counter * SPREAD)
                        .flip());
        return crc.getValue() / 0x1p32;
    }

    /** Half to one and a half of a span of time, so that proxies do not act in step. */
    double jitter(double span) {
        return span * (0.5 + next());
    }
}
