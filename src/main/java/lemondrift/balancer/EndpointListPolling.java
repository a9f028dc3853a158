package lemondrift.balancer;

import lemondrift.model.*;

/** Keeps this proxy subscribed to changes of the list where it must ask for them. */
final class EndpointListPolling {
    private final boolean onRequest;
    private final double patience;
    private final DeterministicRandom chance;
    double askAt = Double.POSITIVE_INFINITY;

    EndpointListPolling(Settings s, DeterministicRandom chance) {
        onRequest = s.listOnRequest();
        patience = s.rules().askWithin() / 4;
        this.chance = chance;
    }

    void listed(boolean stale, double now) {
        askAt = onRequest && stale ? now : Double.POSITIVE_INFINITY;
    }

    /** Danger: all proxies asking again in step keep a list service of fixed capacity down. */
    void failed(double now, Decision turn) {
        if (onRequest) {
            askAt = now + chance.jitter(patience / 2);
            turn.notes.add("list call failed, asking again");
        }
    }

    void wake(double now, Decision turn) {
        if (askAt <= now) {
            turn.listCalls.add(Decision.ListCall.WATCH);
            askAt = now + 2 * patience;
        }
    }
}
