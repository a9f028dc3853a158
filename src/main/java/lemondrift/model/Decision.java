package lemondrift.model;

import java.util.ArrayList;
import java.util.List;

/** What one call to the decisions asks for. The wake time replaces the one asked for before. */
public final class Decision {
    /**
     * A final answer; shed tells the client that a retry is harmless, scrapped promises nothing.
     */
    public record LocalReply(Request request, boolean rejected, double retryAfterSeconds) {}

    public enum EndpointListCall {
        FULL,
        WATCH
    }

    public final List<LocalReply> localReplies = new ArrayList<>();
    public final List<Attempt> attempts = new ArrayList<>();
    public final List<Attempt> cancellations = new ArrayList<>();
    public final List<Integer> probes = new ArrayList<>();
    public final List<EndpointListCall> endpointListCalls = new ArrayList<>();
    public final List<String> peerTexts = new ArrayList<>();
    public final List<String> logMessages = new ArrayList<>();
    public double wakeAt = Double.POSITIVE_INFINITY;

    public void clear() {
        localReplies.clear();
        attempts.clear();
        cancellations.clear();
        probes.clear();
        endpointListCalls.clear();
        peerTexts.clear();
        logMessages.clear();
        wakeAt = Double.POSITIVE_INFINITY;
    }
}
