package lemondrift.metrics;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import lemondrift.model.FailureReason;

/**
 * Counts of one process since its start. One thread counts and reads. The requests in flight are
 * those accepted less those completed, so that the two can't drift apart.
 */
public final class ProxyMetrics {
    /** How a request ended for its client. */
    public enum Reply {
        SUCCESS,
        OVERLOAD,
        ERROR
    }

    /**
     * The counts at one moment.
     *
     * @param replies by name of the request class, and then by ordinal of {@link Reply}
     * @param requestsInFlight requests in flight
     * @param attemptsSent attempts whose last byte was handed to the system
     * @param backendsListed backends listed
     * @param backendsDisabled backends listed that are not usable
     * @param reloadsSucceeded configurations reloaded
     * @param reloadsFailed configurations that could not be used
     */
    public record Snapshot(
            Map<String, long[]> replies,
            long requestsInFlight,
            long attemptsSent,
            long backendsListed,
            long backendsDisabled,
            long reloadsSucceeded,
            long reloadsFailed) {}

    /** By name of the request class, and then by ordinal of {@link Reply}. */
    private final Map<String, long[]> replyCounts = new LinkedHashMap<>();

    private final Map<FailureReason, Long> notServedCounts = new EnumMap<>(FailureReason.class);

    private long acceptedRequests;
    private long completedRequests;
    private long attemptsSent;
    private long backendsListed;
    private long backendsDisabled;
    private long reloadsSucceeded;
    private long reloadsFailed;

    /**
     * Counts these request classes from now on; one that is not named any more keeps its counts.
     */
    public void registerClasses(List<String> names) {
        names.forEach(
                name ->
                        replyCounts.computeIfAbsent(
                                name, unseen -> new long[Reply.values().length]));
    }

    /** A request was read and is owed a reply. */
    public void requestAccepted() {
        acceptedRequests++;
    }

    /** A request is over, whatever became of it and whether or not its client is still there. */
    public void requestCompleted() {
        completedRequests++;
    }

    /** A request was rejected or failed for this reason; null counts as an internal error. */
    public void requestNotServed(FailureReason reason) {
        notServedCounts.merge(
                Objects.requireNonNullElse(reason, FailureReason.INTERNAL_ERROR), 1L, Long::sum);
    }

    /** How many requests were rejected or failed for this reason. */
    public long notServedCount(FailureReason reason) {
        return notServedCounts.getOrDefault(reason, 0L);
    }

    /** How many requests were rejected or failed for each reason, as JSON. */
    public String notServedJson() {
        return Arrays.stream(FailureReason.values())
                .map(reason -> "\"" + reason + "\":" + notServedCount(reason))
                .collect(Collectors.joining(",", "{", "}"));
    }

    /** A reply was sent whole; not counted where the request class is not registered. */
    public void replySent(String requestClass, Reply reply) {
        long[] counts = replyCounts.get(requestClass);
        if (counts != null) {
            counts[reply.ordinal()]++;
        }
    }

    /** The last byte of an attempt was handed to the system. */
    public void attemptSent() {
        attemptsSent++;
    }

    /** How many backends are listed, and how many of them are not usable now. */
    public void setBackendCounts(int listedCount, int disabledCount) {
        backendsListed = listedCount;
        backendsDisabled = disabledCount;
    }

    /** A configuration was reloaded, or could not be used. */
    public void configurationReloaded(boolean succeeded) {
        if (succeeded) {
            reloadsSucceeded++;
        } else {
            reloadsFailed++;
        }
    }

    /** A copy, which later counts do not change. */
    public Snapshot snapshot() {
        Map<String, long[]> replies = new LinkedHashMap<>();
        replyCounts.forEach((requestClass, counts) -> replies.put(requestClass, counts.clone()));
        return new Snapshot(
                replies,
                acceptedRequests - completedRequests,
                attemptsSent,
                backendsListed,
                backendsDisabled,
                reloadsSucceeded,
                reloadsFailed);
    }
}
