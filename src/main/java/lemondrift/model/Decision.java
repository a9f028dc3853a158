package lemondrift.model;

import java.util.ArrayList;
import java.util.List;

/**
 * The actions that one call to the balancer asks for. The object is reused: carry it out before the
 * next call.
 */
public final class Decision {
    /**
     * A final answer by the proxy itself.
     *
     * @param rejected whether it tells the client that a retry is harmless; otherwise the request
     *     failed and nothing is promised
     * @param retryAfterSeconds after how many seconds a retry makes sense; 0 if that is not known
     */
    public record LocalReply(Request request, boolean rejected, double retryAfterSeconds) {}

    /** How the endpoint list is requested. */
    public enum EndpointListCall {
        /** The whole list, answered at once. */
        FULL,
        /** The next change, answered when it happens. */
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

    /** Requests to be sent for the endpoint list. */
    public final List<EndpointListCall> endpointListCalls = new ArrayList<>();

    /** Lines for the log. */
    public final List<String> logMessages = new ArrayList<>();

    /**
     * When to wake the balancer next, in seconds; replaces any earlier wake-up time. Infinite if it
     * need not be woken.
     */
    public double wakeAt = Double.POSITIVE_INFINITY;

    /** Removes all actions and the wake-up time. */
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
