package lemondrift.balancer;

import lemondrift.model.Decision;
import lemondrift.model.Settings;

/**
 * Keeps this proxy subscribed to an endpoint list that must be polled: polls at the start, again if
 * no answer arrives, and with a jittered backoff after a failed call. Does nothing if the list is
 * pushed.
 */
final class EndpointListPolling {
    private final boolean pollingEnabled;

    /** A quarter of the time within which the settings require a poll, in seconds. */
    private final double quarterPeriodSeconds;

    private final DeterministicRandom random;

    /** When the next call is due, in seconds; infinite if none is. */
    double pollAt = Double.POSITIVE_INFINITY;

    EndpointListPolling(Settings settings, DeterministicRandom random) {
        pollingEnabled = settings.pollsEndpointList();
        quarterPeriodSeconds = settings.rules().pollWithinSeconds() / 4;
        this.random = random;
    }

    /**
     * Handles a received list. If the list is stale, the next call is due at once; otherwise no
     * further call is due.
     */
    void listReceived(boolean stale, double now) {
        pollAt = pollingEnabled && stale ? now : Double.POSITIVE_INFINITY;
    }

    /**
     * Schedules the next call after a failed one, with jitter. Guards against all proxies polling
     * in step, which would keep a small list service down.
     */
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
