package lemondrift.proxy.time;

/** The time in seconds, which never runs back. */
public interface MonotonicClock {
    double now();

    /**
     * Starts at the Unix time, which starts of backends are told in, and goes on by the monotonic
     * clock.
     */
    static MonotonicClock system() {
        // Danger: a start must come out the same in every list, or it would seem a new one each
        // time.
        double origin = System.currentTimeMillis() / 1e3 - System.nanoTime() / 1e9;
        return () -> origin + System.nanoTime() / 1e9;
    }
}
