package lemondrift.metrics;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts of one process since its start. One thread counts and reads. What is in hand is what was
 * taken less what has ended, so that the two can't drift apart.
 */
public final class ProxyMetrics {
    /** How an exchange ended for its client. */
    public enum Reply {
        SUCCESS,
        OVERLOAD,
        ERROR
    }

    /** What is told at one moment; replies are by service grade and then as in Reply. */
    public record Figures(
            Map<String, long[]> replies,
            long concurrent,
            long dispatches,
            long targets,
            long targetsDisabled,
            long reloadSuccess,
            long reloadFailure) {}

    private final Map<String, long[]> replies = new LinkedHashMap<>();
    private long taken;
    private long ended;
    private long overdue;
    private long dispatches;
    private long targets;
    private long targetsDisabled;
    private long reloadSuccess;
    private long reloadFailure;

    /** Names what is counted from now on; what is not named any more keeps its counts. */
    public void registerClasses(List<String> names) {
        names.forEach(
                name -> replies.computeIfAbsent(name, none -> new long[Reply.values().length]));
    }

    public void requestAccepted() {
        taken++;
    }

    /** Whatever became of it, and whether or not its client is still there. */
    public void requestCompleted() {
        ended++;
    }

    /** One was answered by the client's side, as the decisions had not done so by its expiry. */
    public void overdueRequestFailed() {
        overdue++;
    }

    /** How many were. */
    public long overdueRequestCount() {
        return overdue;
    }

    /** A reply is out whole; one of a grade that nobody has named counts nowhere. */
    public void replySent(String grade, Reply reply) {
        long[] counts = replies.get(grade);
        if (counts != null) {
            counts[reply.ordinal()]++;
        }
    }

    /** The last byte of a forward is with the system. */
    public void attemptSent() {
        dispatches++;
    }

    /** How many backends the list has, and how many of them nothing is sent to now. */
    public void backendsCounted(int listed, int disabled) {
        targets = listed;
        targetsDisabled = disabled;
    }

    public void configurationReloaded(boolean taken) {
        if (taken) {
            reloadSuccess++;
        } else {
            reloadFailure++;
        }
    }

    /** A copy, which later counts do not change. */
    public Figures snapshot() {
        Map<String, long[]> copy = new LinkedHashMap<>();
        replies.forEach((grade, counts) -> copy.put(grade, counts.clone()));
        return new Figures(
                copy,
                taken - ended,
                dispatches,
                targets,
                targetsDisabled,
                reloadSuccess,
                reloadFailure);
    }
}
