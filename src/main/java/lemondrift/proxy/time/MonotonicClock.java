package lemondrift.proxy.time;

/** Tells the time in seconds; never runs back. Tests replace it. */
public interface MonotonicClock {
    /** The time in seconds; of the system's clock, since the Unix epoch. */
    double now();

    /**
     * A clock that starts at the Unix time, in which the endpoint list states the starts of
     * backends, and then follows the monotonic clock. Any thread may read it.
     */
    static MonotonicClock system() {
        // Guards against a backend's start that differs from list to list and so seems a new one.
        double originSeconds = System.currentTimeMillis() / 1e3 - System.nanoTime() / 1e9;
        return () -> originSeconds + System.nanoTime() / 1e9;
    }
}
