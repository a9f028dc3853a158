package lemondrift.lab.simulation;

import java.util.List;
import lemondrift.model.Settings;

/**
 * One day of a world.
 *
 * @param settings what the proxies are told, request classes and rules among it; times in seconds
 * @param proxies how many instances decide, 1 or more; the settings' balancer count says the same
 * @param backends how many there are, 0 or more
 * @param cores of each backend, 1 or more
 * @param rate requests that clients ask for a second, over all proxies
 * @param work mean seconds of one core that a request takes; it is lognormal with the spread
 * @param spread the standard deviation of the work's logarithm
 * @param tries how often a client asks at the most, 1 or more
 * @param way seconds from a proxy to a backend or back
 * @param delay seconds by which discovery is late
 * @param grace seconds after a drain was told from which nothing may be sent
 * @param lasts the day's length in seconds; clients ask until then, and what is open is waited for
 * @param seed all chance comes from it
 * @param troubles what goes wrong
 */
public record Scenario(
        Settings settings,
        int proxies,
        int backends,
        int cores,
        double rate,
        double work,
        double spread,
        int tries,
        double way,
        double delay,
        double grace,
        double lasts,
        long seed,
        List<BackendFault> troubles) {
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
                || !(work > 0)
                || !(spread >= 0)
                || tries < 1
                || !(way >= 0)
                || !(delay >= 0)
                || !(grace >= 0)
                || !(lasts > 0)) {
            throw new IllegalArgumentException("a day that cannot be");
        }
        troubles = List.copyOf(troubles);
    }
}
