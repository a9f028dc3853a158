package lemondrift.decide;

import java.util.zip.CRC32;

/** All chance: a checksum over the instance's seed and a counter; the same events give the same acts. */
final class Chance {
    private final long seed;
    private long counter;
    private final CRC32 crc = new CRC32();

    Chance(long seed) {
        this.seed = seed;
    }

    /** Evenly between 0 and 1. */
    double next() {
        crc.reset();
        counter++;
        for (int shift = 0; shift < 64; shift += 8) {
            crc.update((int) (seed >>> shift));
            crc.update((int) (counter >>> shift));
        }
        return crc.getValue() / 0x1p32;
    }

    /** Half to one and a half of a span of time, so that proxies do not act in step. */
    double jitter(double span) {
        return span * (0.5 + next());
    }
}
