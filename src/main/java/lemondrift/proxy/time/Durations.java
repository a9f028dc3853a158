package lemondrift.proxy.time;

/** Converts durations from seconds, which the proxy uses, to the units of its libraries. */
public final class Durations {
    private static final double NANOS_PER_SECOND = 1e9;

    private Durations() {}

    /**
     * Converts seconds to whole nanoseconds, rounded towards 0; returns {@link Long#MAX_VALUE} if
     * they are infinite.
     */
    public static long toNanos(double seconds) {
        return (long) (seconds * NANOS_PER_SECOND);
    }
}
