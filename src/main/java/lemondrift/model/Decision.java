package lemondrift.model;

import java.util.ArrayList;
import java.util.List;

/** What one call to the decisions asks for. It is reused: carry it out before the next call. */
public final class Decision {
    /**
     * A final answer by the proxy itself.
     *
     * @param rejected whether it tells the client that a retry is harmless; else the request failed
     *     and nothing is promised
     * @param retryAfterSeconds when a retry makes sense; 0 where that is not known
     */
    public record LocalReply(Request request, boolean rejected, double retryAfterSeconds) {}

    /** How the endpoint list is asked for. */
    public enum EndpointListCall {
        /** The whole list, answered at once. */
        FULL,
        /** The next change, answered when there is one. */
        WATCH
    }

    /** Requests to be answered by the proxy itself. */
    public final List<LocalReply> localReplies = new ArrayList<>();

    /** Attempts to be sent. */
    public final List<Attempt> attempts = new ArrayList<>();

    /** Attempts in flight to be cancelled. */
    public final List<Attempt> cancellations = new ArrayList<>();

    /** Backends to be asked for a load report. */
    public final List<Integer> probes = new ArrayList<>();

    /** Calls to be made for the endpoint list. */
    public final List<EndpointListCall> endpointListCalls = new ArrayList<>();

    /** Lines for the log. */
    public final List<String> logMessages = new ArrayList<>();

    /** When to wake the decisions next; it replaces the time asked for before. */
    public double wakeAt = Double.POSITIVE_INFINITY;

    /** Empties it for the next call. */
    public void clear() {
        localReplies.clear();
        attempts.clear();
        cancellations.clear();
        probes.clear();
        endpointListCalls.clear();
        logMessages.clear();
        wakeAt = Double.POSITIVE_INFINITY;
    }
}
