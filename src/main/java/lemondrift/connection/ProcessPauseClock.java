package lemondrift.connection;

/**
 * A clock of the time, in seconds, for which the process was running. Guards against closing
 * connections as overdue whose requests waited unread while the process was paused: if there is no
 * event for more than two sweep intervals, the time beyond one sweep interval is not counted.
 */
final class ProcessPauseClock {
    /** Time without an event, in sweep intervals, above which the process counts as paused. */
    private static final double PAUSE_THRESHOLD_SWEEPS = 2;

    /**
     * Time after a pause, in sweep intervals, in which requests that waited during the pause are
     * read.
     */
    private static final double CATCH_UP_SWEEPS = 0.25;

    private final double sweepIntervalSeconds;
    private double lastEventAt = Double.NEGATIVE_INFINITY;
    private double pausedSeconds;
    private double pauseStartedAt;
    private double caughtUpAt = Double.NEGATIVE_INFINITY;

    ProcessPauseClock(double sweepIntervalSeconds) {
        this.sweepIntervalSeconds = sweepIntervalSeconds;
    }

    /** Returns the running time at an event. It never decreases. */
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

    /**
     * Returns the earliest time from which a request that is read now may have waited: now, or the
     * start of a pause that has just ended.
     */
    double unreadSince(double now) {
        runningTime(now);
        return now < caughtUpAt ? pauseStartedAt : now;
    }
}
