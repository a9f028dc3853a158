package lemondrift.proxy;

import java.util.List;
import lemondrift.metrics.ProxyMetrics;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.discovery.EndpointListWatch;
import lemondrift.proxy.loop.DecisionLoop;
import lemondrift.proxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/**
 * Holds the current configuration and replaces it at SIGHUP. After a reload, decisions follow the
 * new settings and the endpoint list is watched at the new discovery address. Client connections,
 * requests, connections to backends and the state of the decisions are kept. The remaining keys
 * take effect at the next start.
 *
 * <p>Written on the thread that handles the signal, one reload at a time. Read on any thread.
 */
final class ConfigReload {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigReload.class);

    private final MonotonicClock clock;
    private final XnioIoThread ioThread;
    private final DecisionLoop decisionLoop;
    private final EndpointListWatch endpointListWatch;
    private final ProxyMetrics metrics;
    private volatile ProxyConfig current;

    /**
     * Time until which a request that arrived under an earlier configuration may be open, in
     * seconds of the clock.
     */
    private volatile double previousRequestDeadline;

    ConfigReload(
            ProxyConfig initial,
            MonotonicClock clock,
            XnioIoThread ioThread,
            DecisionLoop decisionLoop,
            EndpointListWatch endpointListWatch,
            ProxyMetrics metrics) {
        current = initial;
        this.clock = clock;
        this.ioThread = ioThread;
        this.decisionLoop = decisionLoop;
        this.endpointListWatch = endpointListWatch;
        this.metrics = metrics;
    }

    ProxyConfig current() {
        return current;
    }

    /**
     * Returns the time at which the last request that arrives until now times out, under the
     * current or an earlier configuration.
     *
     * @param now the current time, in seconds of the clock
     * @return the deadline, in seconds of the clock
     */
    double requestDeadline(double now) {
        return Math.max(now + current.longestTimeoutSeconds(), previousRequestDeadline);
    }

    /**
     * Applies a new configuration.
     *
     * @throws lemondrift.settings.InvalidSettingsException if it lacks a key that the current
     *     configuration sets; nothing is changed then
     */
    void apply(ProxyConfig next) {
        next.requireAllKeysOf(current);
        LOG.info(
                "configuration read again, discovery at {}, classes {}",
                next.discovery(),
                next.requestClassNames());
        List<String> keysRequiringRestart = next.keysRequiringRestart(current);
        if (!keysRequiringRestart.isEmpty()) {
            LOG.warn("holds from the next start only: {}", keysRequiringRestart);
        }
        previousRequestDeadline =
                Math.max(previousRequestDeadline, clock.now() + current.longestTimeoutSeconds());
        current = next.withoutInitialEndpoints();
        decisionLoop.reload(next.settings(), next.requestClassNames(), next.shadowSettings());
        ioThread.execute(
                () -> {
                    metrics.configurationReloaded(true);
                    endpointListWatch.switchTo(next.discovery());
                });
    }

    /** Counts a new configuration that could not be used. */
    void recordFailure() {
        ioThread.execute(() -> metrics.configurationReloaded(false));
    }
}
