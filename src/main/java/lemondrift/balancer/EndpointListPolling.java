package lemondrift.balancer;

import lemondrift.model.Decision;
import lemondrift.model.Settings;

/** Keeps this proxy subscribed to changes of the list where it must ask for them. */
final class EndpointListPolling {
    private final boolean onRequest;
    private final double patience;
    private final DeterministicRandom random;
    double askAt = Double.POSITIVE_INFINITY;

    EndpointListPolling(Settings settings, DeterministicRandom random) {
        onRequest = settings.pollsEndpointList();
        patience = settings.rules().pollWithinSeconds() / 4;
        this.random = random;
    }

    void listed(boolean stale, double now) {
        askAt = onRequest && stale ? now : Double.POSITIVE_INFINITY;
    }

    /** Danger: all proxies asking again in step keep a list service of fixed capacity down. */
    void failed(double now, Decision decision) {
        if (onRequest) {
            askAt = now + random.jitter(patience / 2);
            decision.logMessages.add("list call failed, asking again");
        }
    }

    void wake(double now, Decision decision) {
        if (askAt <= now) {
            decision.endpointListCalls.add(Decision.EndpointListCall.WATCH);
            askAt = now + 2 * patience;
        }
    }
}
