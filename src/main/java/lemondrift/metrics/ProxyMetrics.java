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
 * Counts of one process since its start. Not thread-safe: one thread counts and reads. The number
 * of requests in flight is computed as accepted minus completed requests, so that it cannot drift
 * from these counts.
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
     * @param replies the number of replies, by name of the request class and then by ordinal of
     *     {@link Reply}
     * @param requestsInFlight requests that were accepted and are not completed
     * @param attemptsSent attempts whose last byte was handed to the kernel
     * @param backendsListed backends in the endpoint list
     * @param backendsDisabled backends in the endpoint list that are not usable
     * @param reloadsSucceeded configurations that were reloaded successfully
     * @param reloadsFailed configurations that were not reloaded because they could not be used
     */
    public record Snapshot(
            Map<String, long[]> replies,
            long requestsInFlight,
            long attemptsSent,
            long backendsListed,
            long backendsDisabled,
            long reloadsSucceeded,
            long reloadsFailed) {}

    /** The number of replies, by name of the request class and then by ordinal of {@link Reply}. */
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
     * Starts to count replies of these request classes. A class that was registered before keeps
     * its counts, even if it is not named any more.
     */
    public void registerClasses(List<String> names) {
        names.forEach(
                name ->
                        replyCounts.computeIfAbsent(
                                name, unseen -> new long[Reply.values().length]));
    }

    /** Records that a request was read and must be replied to. */
    public void requestAccepted() {
        acceptedRequests++;
    }

    /**
     * Records that a request has ended, regardless of the outcome and of whether its client is
     * still connected.
     */
    public void requestCompleted() {
        completedRequests++;
    }

    /**
     * Records that a request was rejected or failed for this reason; null counts as an internal
     * error.
     */
    public void requestNotServed(FailureReason reason) {
        notServedCounts.merge(
                Objects.requireNonNullElse(reason, FailureReason.INTERNAL_ERROR), 1L, Long::sum);
    }

    /** Returns how many requests were rejected or failed for this reason. */
    public long notServedCount(FailureReason reason) {
        return notServedCounts.getOrDefault(reason, 0L);
    }

    /** Returns how many requests were rejected or failed for each reason, as JSON. */
    public String notServedJson() {
        return Arrays.stream(FailureReason.values())
                .map(reason -> "\"" + reason + "\":" + notServedCount(reason))
                .collect(Collectors.joining(",", "{", "}"));
    }

    /** Records that a reply was completely sent. Ignored if the request class is not registered. */
    public void replySent(String requestClass, Reply reply) {
        long[] counts = replyCounts.get(requestClass);
        if (counts != null) {
            counts[reply.ordinal()]++;
        }
    }

    /** Records that the last byte of an attempt was handed to the kernel. */
    public void attemptSent() {
        attemptsSent++;
    }

    /** Sets how many backends are listed, and how many of them are not usable now. */
    public void setBackendCounts(int listedCount, int disabledCount) {
        backendsListed = listedCount;
        backendsDisabled = disabledCount;
    }

    /**
     * Records the reload of a configuration.
     *
     * @param succeeded whether the configuration could be used
     */
    public void configurationReloaded(boolean succeeded) {
        if (succeeded) {
            reloadsSucceeded++;
        } else {
            reloadsFailed++;
        }
    }

    /** Returns a copy of the counts, which later changes do not affect. */
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
