package lemondrift.connection;

/**
 * Time in seconds for which the process ran. Guards against closing connections as overdue whose
 * requests waited unread while the process stood still: if events stop for more than two sweeps,
 * the time beyond one sweep counts for no connection.
 */
final class ProcessPauseClock {
    /** Silence, in sweep intervals, from which the process is taken to have stood still. */
    private static final double PAUSE_THRESHOLD_SWEEPS = 2;

    /** The part of a sweep interval in which what waited through a pause is read. */
    private static final double CATCH_UP_SWEEPS = 0.25;

    private final double sweepIntervalSeconds;
    private double lastEventAt = Double.NEGATIVE_INFINITY;
    private double pausedSeconds;
    private double pauseStartedAt;
    private double caughtUpAt = Double.NEGATIVE_INFINITY;

    ProcessPauseClock(double sweepIntervalSeconds) {
        this.sweepIntervalSeconds = sweepIntervalSeconds;
    }

    /** The clock's time at an event; it never runs backwards. */
    double runningTime(double now) {
        if (now - lastEventAt > PAUSE_THRESHOLD_SWEEPS * sweepIntervalSeconds
                && lastEventAt > Double.NEGATIVE_INFINITY) {
            pausedSeconds += now - lastEventAt - sweepIntervalSeconds;
            pauseStartedAt = lastEventAt;
            caughtUpAt = now + sweepIntervalSeconds * CATCH_UP_SWEEPS;
        }
        lastEventAt = Math.max(lastEventAt, now);
        return lastEventAt - pausedSeconds;
    }

    /** Since when what is read now may have waited: now, or the start of a pause just over. */
    double unreadSince(double now) {
        runningTime(now);
        return now < caughtUpAt ? pauseStartedAt : now;
    }
}
