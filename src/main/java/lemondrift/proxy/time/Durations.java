package lemondrift.proxy.time;

/** Converts between the units in which the proxy and its libraries state durations. */
public final class Durations {
    private static final double NANOS_PER_SECOND = 1e9;

    private Durations() {}

    /** Whole nanoseconds of a duration in seconds; the largest long where it is infinite. */
    public static long toNanos(double seconds) {
        return (long) (seconds * NANOS_PER_SECOND);
    }
}
