package lemondrift.proxy.admin;

import lemondrift.metrics.ProxyMetrics;

/** The operations of the admin address. Each returns without blocking. I/O thread only. */
public interface AdminOperations {
    /**
     * Returns true if the start is complete and the shutdown has not begun. A quiesced process is
     * ready, too.
     */
    boolean isReady();

    /** Returns whether the process is ready and none of its tasks fails again and again. */
    boolean isHealthy();

    /** Returns the current metrics. */
    ProxyMetrics.Snapshot metrics();

    /**
     * Returns the progress of the recovery after the start as JSON, or null if the proxy does not
     * poll its peers.
     */
    String recoveryJson();

    /** Returns the metrics of the decision loop as JSON. */
    String loopJson();

    /** Returns how many times each task that has to go on has failed, as JSON. */
    String tasksJson();

    /** Returns the number of rejected or failed requests by reason, as JSON. */
    String notServedJson();

    /**
     * Takes the proxy out of service: until {@link #resume}, client connections are closed and
     * health checks at the client address fail. Returns false and does nothing if the process is
     * not ready.
     */
    boolean quiesce();

    /**
     * Takes a quiesced proxy back into service. Returns false and does nothing if the process is
     * not ready.
     */
    boolean resume();
}
