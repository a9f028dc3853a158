package lemondrift.lab.simulation;

import java.util.List;
import lemondrift.model.Settings;

/**
 * What one run plays: proxies, backends, traffic and the faults of backends.
 *
 * @param settings the proxies' settings, with request classes and rules
 * @param proxies how many proxies there are, 1 or more; the settings' proxy count says the same
 * @param backends how many backends there are, 0 or more
 * @param cores of each backend, 1 or more
 * @param rate requests that clients make a second, over all proxies
 * @param meanWorkSeconds mean work of a request, in seconds of one warm core; it is lognormal with
 *     the spread
 * @param workLogStandardDeviation the standard deviation of the work's logarithm
 * @param maxTries how often a client sends a request at the most, 1 or more
 * @param oneWaySeconds how long a message takes from a proxy to a backend or back
 * @param discoveryDelaySeconds mean seconds by which discovery is late
 * @param drainGraceSeconds seconds after the notice of a drain from which nothing may be sent
 * @param durationSeconds the length in seconds; clients make requests until then, and open ones are
 *     waited for
 * @param seed of all random draws
 * @param backendFaults the faults of backends, traffic and discovery
 */
public record Scenario(
        Settings settings,
        int proxies,
        int backends,
        int cores,
        double rate,
        double meanWorkSeconds,
        double workLogStandardDeviation,
        int maxTries,
        double oneWaySeconds,
        double discoveryDelaySeconds,
        double drainGraceSeconds,
        double durationSeconds,
        long seed,
        List<BackendFault> backendFaults) {
    /**
     * Checks the fields.
     *
     * @throws IllegalArgumentException where one is missing or out of its range
     */
    public Scenario {
        if (proxies < 1
                || backends < 0
                || cores < 1
                || !(rate > 0)
                || !(meanWorkSeconds > 0)
                || !(workLogStandardDeviation >= 0)
                || maxTries < 1
                || !(oneWaySeconds >= 0)
                || !(discoveryDelaySeconds >= 0)
                || !(drainGraceSeconds >= 0)
                || !(durationSeconds > 0)) {
            throw new IllegalArgumentException("a day that cannot be");
        }
        backendFaults = List.copyOf(backendFaults);
    }

    /** The same scenario with another seed. */
    public Scenario withSeed(long newSeed) {
        return new Scenario(
                settings,
                proxies,
                backends,
                cores,
                rate,
                meanWorkSeconds,
                workLogStandardDeviation,
                maxTries,
                oneWaySeconds,
                discoveryDelaySeconds,
                drainGraceSeconds,
                durationSeconds,
                newSeed,
                backendFaults);
    }
}
