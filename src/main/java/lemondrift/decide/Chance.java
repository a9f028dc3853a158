package lemondrift.decide;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/** All chance: a checksum over the instance's seed and a counter; the same events give the same acts. */
final class Chance {
    private final long seed;
    private long counter;

    Chance(long seed) {
        this.seed = seed;
    }

    double next() {
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(seed).putLong(++counter).flip());
        return crc.getValue() / 0x1p32;
    }

    /** Half to one and a half of a span of time, so that proxies do not act in step. */
    double jitter(double span) {
        return span * (0.5 + next());
    }
}
