package lemondrift.metrics;

/**
 * How the one thread that decides keeps up: how long events waited for it, and how long it was busy
 * before it came to the next ones. Times are in seconds. One thread counts; any thread may read,
 * perhaps a little late.
 */
public final class EventLoopMetrics {
    /** What an event is about. */
    public enum Kind {
        ARRIVAL,
        OUTCOME,
        CLIENT_LEFT,
        LIST,
        TIMER,
        OTHER
    }

    /**
     * A wait or a turn as long is worth a line in the log, and so many seconds lie between two
     * lines.
     */
    private static final double NOTABLE = 0.05;

    private static final double BETWEEN_LINES = 1;

    private static final Kind[] KINDS = Kind.values();

    private final long[] handled = new long[KINDS.length];
    private volatile double longestWait;
    private volatile double longestTurn;
    private volatile Kind waited = Kind.OTHER;
    private volatile Kind lasted = Kind.OTHER;
    private volatile int longestQueue;

    /**
     * Of the present turn: the longest wait and what had waited, and the last event that was
     * handled.
     */
    private double waitsNow;

    private Kind waiting = Kind.OTHER;
    private Kind last = Kind.OTHER;

    /** The same since the last line in the log. */
    private double latelyWaited;

    private double latelyLasted;
    private double loggedAt = Double.NEGATIVE_INFINITY;

    /** An event is handled that has waited so long; below 0 where nobody knows. */
    public void eventHandled(Kind kind, double wait) {
        handled[kind.ordinal()]++;
        last = kind;
        if (wait > waitsNow) {
            waitsNow = wait;
            waiting = kind;
        }
    }

    /** A turn is over that took so long; so many events wait now. A line for the log, or null. */
    public String iterationEnded(double seconds, int queue, double now) {
        longestQueue = Math.max(longestQueue, queue);
        if (waitsNow > longestWait) {
            longestWait = waitsNow;
            waited = waiting;
        }
        if (seconds > longestTurn) {
            longestTurn = seconds;
            lasted = last;
        }
        latelyWaited = Math.max(latelyWaited, waitsNow);
        latelyLasted = Math.max(latelyLasted, seconds);
        waitsNow = 0;
        boolean notable =
                Math.max(latelyWaited, latelyLasted) > NOTABLE && now >= loggedAt + BETWEEN_LINES;
        return notable ? line(now) : null;
    }

    private String line(double now) {
        String line =
                "lately_waited_ms="
                        + milliseconds(latelyWaited)
                        + " lately_lasted_ms="
                        + milliseconds(latelyLasted)
                        + " longest_wait_ms="
                        + milliseconds(longestWait)
                        + " of="
                        + waited
                        + " longest_turn_ms="
                        + milliseconds(longestTurn)
                        + " of="
                        + lasted
                        + " longest_queue="
                        + longestQueue;
        latelyWaited = latelyLasted = 0;
        loggedAt = now;
        return line;
    }

    private static long milliseconds(double seconds) {
        return Math.round(seconds * 1000);
    }

    /** As JSON, times in seconds. Any thread. */
    public String json() {
        StringBuilder all =
                new StringBuilder("{\"longest_wait\":")
                        .append(longestWait)
                        .append(",\"longest_wait_of\":\"")
                        .append(waited)
                        .append("\",\"longest_turn\":")
                        .append(longestTurn)
                        .append(",\"longest_turn_of\":\"")
                        .append(lasted)
                        .append("\",\"longest_queue\":")
                        .append(longestQueue)
                        .append(",\"handled\":{");
        for (Kind kind : KINDS) {
            all.append(kind.ordinal() == 0 ? "\"" : ",\"")
                    .append(kind)
                    .append("\":")
                    .append(handled[kind.ordinal()]);
        }
        return all.append("}}").toString();
    }
}
