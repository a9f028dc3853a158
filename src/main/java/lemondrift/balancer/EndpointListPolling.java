package lemondrift.balancer;

import lemondrift.model.Decision;
import lemondrift.model.Settings;

/**
 * Keeps this proxy subscribed to the endpoint list where it must poll for it: at the start, again
 * where no answer comes, and after a failed call with a jittered backoff. Where the list is pushed
 * it does nothing.
 */
final class EndpointListPolling {
    private final boolean pollingEnabled;

    /** A quarter of the time within which the settings demand a poll. */
    private final double quarterPeriodSeconds;

    private final DeterministicRandom random;

    /** When the next call is due; infinite where none is. */
    double pollAt = Double.POSITIVE_INFINITY;

    EndpointListPolling(Settings settings, DeterministicRandom random) {
        pollingEnabled = settings.pollsEndpointList();
        quarterPeriodSeconds = settings.rules().pollWithinSeconds() / 4;
        this.random = random;
    }

    /** A list has come; a stale one does not end the polling. */
    void listReceived(boolean stale, double now) {
        pollAt = pollingEnabled && stale ? now : Double.POSITIVE_INFINITY;
    }

    /** Guards against all proxies polling in step, which keeps a small list service down. */
    void callFailed(double now, Decision decision) {
        if (pollingEnabled) {
            pollAt = now + random.jitter(quarterPeriodSeconds / 2);
            decision.logMessages.add("list call failed, asking again");
        }
    }

    void wake(double now, Decision decision) {
        if (pollAt <= now) {
            decision.endpointListCalls.add(Decision.EndpointListCall.WATCH);
            pollAt = now + 2 * quarterPeriodSeconds;
        }
    }
}
