package lemondrift.balancer;

import lemondrift.model.Decision;
import lemondrift.model.Settings;

/**
 * Keeps this proxy subscribed to the endpoint list where it must poll for it: at the start, again
 * where no answer comes, and after a failed call with a jittered backoff. Where the list is pushed
 * it does nothing.
 */
final class EndpointListPolling {
    private final boolean polls;

    /** A quarter of the time within which the settings demand a poll. */
    private final double quarterSeconds;

    private final DeterministicRandom random;

    /** When the next call is due; infinite where none is. */
    double pollAt = Double.POSITIVE_INFINITY;

    EndpointListPolling(Settings settings, DeterministicRandom random) {
        polls = settings.pollsEndpointList();
        quarterSeconds = settings.rules().pollWithinSeconds() / 4;
        this.random = random;
    }

    /** A list has come; a stale one does not end the polling. */
    void listed(boolean stale, double now) {
        pollAt = polls && stale ? now : Double.POSITIVE_INFINITY;
    }

    /** Guards against all proxies polling in step, which keeps a small list service down. */
    void failed(double now, Decision decision) {
        if (polls) {
            pollAt = now + random.jitter(quarterSeconds / 2);
            decision.logMessages.add("list call failed, asking again");
        }
    }

    void wake(double now, Decision decision) {
        if (pollAt <= now) {
            decision.endpointListCalls.add(Decision.EndpointListCall.WATCH);
            pollAt = now + 2 * quarterSeconds;
        }
    }
}
