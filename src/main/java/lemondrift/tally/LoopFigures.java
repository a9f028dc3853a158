package lemondrift.tally;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * How the one thread that decides keeps up: how long events waited for it and how long it was busy with one.
 * Times are in seconds. Its thread only, but for latest.
 */
public final class LoopFigures {
    /** What an event is about. */
    public enum Kind { ARRIVAL, OUTCOME, CLIENT_LEFT, LIST, TIMER, OTHER }

    /** A wait or an event as long is worth a line in the log, and so many seconds lie between two lines. */
    private static final double NOTABLE = 0.05, BETWEEN_LINES = 1;

    private final Map<Kind, Long> handled = new EnumMap<>(Kind.class);
    private double longestWait, longestEvent;
    private Kind waited = Kind.OTHER, lasted = Kind.OTHER;
    private int longestQueue;
    /** The same since the last line in the log. */
    private double latelyWaited, latelyLasted, loggedAt = Double.NEGATIVE_INFINITY;
    private volatile String latest = "{}";

    /** An event was handled which came, began and ended then; so many wait behind it. */
    public void handled(Kind kind, double came, double began, double ended, int queue) {
        handled.merge(kind, 1L, Long::sum);
        longestQueue = Math.max(longestQueue, queue);
        latelyWaited = Math.max(latelyWaited, began - came);
        latelyLasted = Math.max(latelyLasted, ended - began);
        if (began - came > longestWait) {
            longestWait = began - came;
            waited = kind;
        }
        if (ended - began > longestEvent) {
            longestEvent = ended - began;
            lasted = kind;
        }
    }

    /** A line for the log where there is something notable since the last one; null where there is none. */
    public String line(double now) {
        if (now < loggedAt + BETWEEN_LINES) {
            return null;
        }
        latest = json();
        boolean notable = Math.max(latelyWaited, latelyLasted) > NOTABLE;
        String line = !notable ? null : String.format(Locale.ROOT, "lately_waited=%.3fs lately_lasted=%.3fs "
                + "longest_wait=%.3fs of=%s longest_event=%.3fs of=%s longest_queue=%d handled=%s",
                latelyWaited, latelyLasted, longestWait, waited, longestEvent, lasted, longestQueue, handled);
        latelyWaited = latelyLasted = 0;
        loggedAt = now;
        return line;
    }

    private String json() {
        StringBuilder all = new StringBuilder(String.format(Locale.ROOT,
                "{\"longest_wait\":%.6f,\"longest_wait_of\":\"%s\",\"longest_event\":%.6f,"
                + "\"longest_event_of\":\"%s\",\"longest_queue\":%d,\"handled\":{", longestWait, waited,
                longestEvent, lasted, longestQueue));
        String between = "";
        for (Map.Entry<Kind, Long> each : handled.entrySet()) {
            all.append(between).append('"').append(each.getKey()).append("\":").append(each.getValue());
            between = ",";
        }
        return all.append("}}").toString();
    }

    /** As JSON, as of the last second in which there was an event. Any thread. */
    public String latest() {
        return latest;
    }
}
