package lemondrift.proxy;

import lemondrift.metrics.ProxyMetrics;
import lemondrift.proxy.admin.AdminOperations;
import lemondrift.proxy.client.ClientListener;
import lemondrift.proxy.health.TaskMonitor;
import lemondrift.proxy.loop.DecisionLoop;
import lemondrift.proxy.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Implements the operations of the admin address for a running proxy. I/O thread only. */
final class OperatorControl implements AdminOperations {
    private static final Logger LOG = LoggerFactory.getLogger(OperatorControl.class);

    /**
     * Seconds within which a quiesced proxy closes its client connections. Guards against a late
     * request from a client when operators already expect the proxy to be idle.
     */
    private static final double QUIESCE_SECONDS = 1.6;

    private final ProxyServer proxyServer;
    private final MonotonicClock clock;
    private final ClientListener clientListener;
    private final DecisionLoop decisionLoop;
    private final ProxyMetrics metrics;
    private final TaskMonitor tasks;

    OperatorControl(
            ProxyServer proxyServer,
            MonotonicClock clock,
            ClientListener clientListener,
            DecisionLoop decisionLoop,
            ProxyMetrics metrics,
            TaskMonitor tasks) {
        this.proxyServer = proxyServer;
        this.clock = clock;
        this.clientListener = clientListener;
        this.decisionLoop = decisionLoop;
        this.metrics = metrics;
        this.tasks = tasks;
    }

    @Override
    public boolean isReady() {
        return proxyServer.phase() == ProxyServer.Phase.SERVING;
    }

    @Override
    public boolean isHealthy() {
        return isReady() && tasks.isHealthy();
    }

    @Override
    public ProxyMetrics.Snapshot metrics() {
        return metrics.snapshot();
    }

    @Override
    public String recoveryJson() {
        return decisionLoop.recoveryCoordinator() == null
                ? null
                : decisionLoop.recoveryCoordinator().statusJson(clock.now());
    }

    @Override
    public String loopJson() {
        return decisionLoop.metricsJson();
    }

    @Override
    public String notServedJson() {
        return metrics.notServedJson();
    }

    @Override
    public String tasksJson() {
        return tasks.json();
    }

    @Override
    public boolean quiesce() {
        if (isReady() && !clientListener.isDraining()) {
            LOG.info("quiesced at the admin address, clients are sent away");
            clientListener.drain(clock.now() + QUIESCE_SECONDS, Double.POSITIVE_INFINITY);
        }
        return isReady();
    }

    @Override
    public boolean resume() {
        if (isReady() && clientListener.isDraining()) {
            LOG.info("resumed at the admin address");
            clientListener.resume();
        }
        return isReady();
    }
}
