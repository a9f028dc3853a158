package lemondrift.proxy.time;

/** A clock that never runs backwards. Tests use their own implementations. */
public interface MonotonicClock {
    /** Returns the time in seconds; for {@link #system}, seconds since the Unix epoch. */
    double now();

    /**
     * Creates a clock that starts at the current Unix time and then follows the system's monotonic
     * clock. The endpoint list states the start times of backends in Unix time, too. May be read
     * from any thread.
     */
    static MonotonicClock system() {
        // A fixed origin: guards against a backend's start time that differs from list to list, so
        // that the backend seems to have restarted.
        double originSeconds = System.currentTimeMillis() / 1e3 - System.nanoTime() / 1e9;
        return () -> originSeconds + System.nanoTime() / 1e9;
    }
}
