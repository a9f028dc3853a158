package lemondrift.metrics;

/**
 * Measures how long events wait for the decision loop and how long its iterations take. Times are
 * in seconds. Only one thread records; any thread may read, and may see values that are slightly
 * out of date.
 */
public final class EventLoopMetrics {
    /** The kind of an event. The names appear in the JSON and in the log. */
    public enum Kind {
        ARRIVAL,
        OUTCOME,
        CLIENT_LEFT,
        LIST,
        TIMER,
        OTHER
    }

    /** Waits and iterations that take longer are logged. */
    private static final double LOGGED_ABOVE_SECONDS = 0.05;

    /** Shortest time between two log lines. */
    private static final double LOG_INTERVAL_SECONDS = 1;

    private static final Kind[] KINDS = Kind.values();

    /** How many events were handled, by ordinal of the kind. */
    private final long[] handledCounts = new long[KINDS.length];

    private volatile double longestWaitSeconds;
    private volatile Kind longestWaitKind = Kind.OTHER;
    private volatile double longestIterationSeconds;

    /** The kind of the last event that the longest iteration handled. */
    private volatile Kind longestIterationKind = Kind.OTHER;

    private volatile int longestQueue;

    /** The longest wait of an event of the current iteration. */
    private double iterationWaitSeconds;

    private Kind iterationWaitKind = Kind.OTHER;
    private Kind lastHandledKind = Kind.OTHER;

    /** The longest wait since the last log line. */
    private double recentWaitSeconds;

    /** The longest iteration since the last log line. */
    private double recentIterationSeconds;

    private double loggedAt = Double.NEGATIVE_INFINITY;

    /**
     * Records an event that is about to be handled.
     *
     * @param waitSeconds how long the event has waited; negative if that is unknown
     */
    public void eventHandled(Kind kind, double waitSeconds) {
        handledCounts[kind.ordinal()]++;
        lastHandledKind = kind;
        if (waitSeconds > iterationWaitSeconds) {
            iterationWaitSeconds = waitSeconds;
            iterationWaitKind = kind;
        }
    }

    /**
     * Records the end of an iteration.
     *
     * @param iterationSeconds the duration of the iteration
     * @param queueLength the number of events that are still queued
     * @param now the time in seconds, on any clock that does not run backwards
     * @return a line for the log; null if there was nothing long to log since the last line, or
     *     that line is too recent
     */
    public String iterationEnded(double iterationSeconds, int queueLength, double now) {
        longestQueue = Math.max(longestQueue, queueLength);
        if (iterationWaitSeconds > longestWaitSeconds) {
            longestWaitSeconds = iterationWaitSeconds;
            longestWaitKind = iterationWaitKind;
        }
        if (iterationSeconds > longestIterationSeconds) {
            longestIterationSeconds = iterationSeconds;
            longestIterationKind = lastHandledKind;
        }
        recentWaitSeconds = Math.max(recentWaitSeconds, iterationWaitSeconds);
        recentIterationSeconds = Math.max(recentIterationSeconds, iterationSeconds);
        iterationWaitSeconds = 0;
        boolean logged =
                Math.max(recentWaitSeconds, recentIterationSeconds) > LOGGED_ABOVE_SECONDS
                        && now >= loggedAt + LOG_INTERVAL_SECONDS;
        return logged ? logLine(now) : null;
    }

    private String logLine(double now) {
        String line =
                "recent_wait_ms="
                        + milliseconds(recentWaitSeconds)
                        + " recent_iteration_ms="
                        + milliseconds(recentIterationSeconds)
                        + " longest_wait_ms="
                        + milliseconds(longestWaitSeconds)
                        + " longest_wait_event="
                        + longestWaitKind
                        + " longest_iteration_ms="
                        + milliseconds(longestIterationSeconds)
                        + " longest_iteration_event="
                        + longestIterationKind
                        + " longest_queue="
                        + longestQueue;
        recentWaitSeconds = 0;
        recentIterationSeconds = 0;
        loggedAt = now;
        return line;
    }

    private static long milliseconds(double seconds) {
        return Math.round(seconds * 1000);
    }

    /** Returns the metrics as JSON, times in seconds. Any thread. */
    public String json() {
        StringBuilder json =
                new StringBuilder("{\"longest_wait\":")
                        .append(longestWaitSeconds)
                        .append(",\"longest_wait_of\":\"")
                        .append(longestWaitKind)
                        .append("\",\"longest_turn\":")
                        .append(longestIterationSeconds)
                        .append(",\"longest_turn_of\":\"")
                        .append(longestIterationKind)
                        .append("\",\"longest_queue\":")
                        .append(longestQueue)
                        .append(",\"handled\":{");
        for (Kind kind : KINDS) {
            json.append(kind.ordinal() == 0 ? "\"" : ",\"")
                    .append(kind)
                    .append("\":")
                    .append(handledCounts[kind.ordinal()]);
        }
        return json.append("}}").toString();
    }
}
