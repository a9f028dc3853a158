package lemondrift.lab.simulation;

import java.util.List;
import lemondrift.model.Settings;

/**
 * The input of one run: proxies, backends, traffic and the faults of backends.
 *
 * @param settings the proxies' settings, with request classes and rules
 * @param proxies number of proxies, 1 or more; equal to the proxy count in the settings
 * @param backends number of backends, 0 or more
 * @param cores number of cores of each backend, 1 or more
 * @param rate client requests per second over all proxies, without retries
 * @param meanWorkSeconds mean work of a request, in seconds of one warm core; the work is
 *     lognormally distributed
 * @param workLogStandardDeviation the standard deviation of the work's logarithm
 * @param maxTries maximum number of times that a client sends a request, 1 or more
 * @param oneWaySeconds network delay of a message from a proxy to a backend or back
 * @param discoveryDelaySeconds mean delay of discovery
 * @param drainGraceSeconds time after a proxy is notified of a drain from which it must not send to
 *     the backend
 * @param durationSeconds duration of the scenario, over 0; clients send new requests until then,
 *     and the run continues until the open requests have ended
 * @param seed seed of all random draws
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
     * @throws IllegalArgumentException if a field is out of its range
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
            throw new IllegalArgumentException(
                    "invalid scenario: proxies "
                            + proxies
                            + ", backends "
                            + backends
                            + ", cores "
                            + cores
                            + ", rate "
                            + rate
                            + ", work "
                            + meanWorkSeconds
                            + " s, spread "
                            + workLogStandardDeviation
                            + ", tries "
                            + maxTries
                            + ", one-way delay "
                            + oneWaySeconds
                            + " s, discovery delay "
                            + discoveryDelaySeconds
                            + " s, drain grace "
                            + drainGraceSeconds
                            + " s, duration "
                            + durationSeconds
                            + " s: proxies, cores and tries must be 1 or more, rate, work and"
                            + " duration over 0, the others not negative");
        }
        backendFaults = List.copyOf(backendFaults);
    }

    /** Returns this scenario with another seed. */
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
