package lemondrift.proxy.admin;

import lemondrift.metrics.ProxyMetrics;

/** The operations of the admin address. Each returns without blocking. I/O thread only. */
public interface AdminOperations {
    /** Returns true if this process is ready to serve. */
    boolean isReady();

    /** Returns the current metrics. */
    ProxyMetrics.Snapshot metrics();

    /**
     * Returns the progress of the recovery after the start as JSON, or null if the proxy does not
     * poll its peers.
     */
    String recoveryJson();

    /** Returns the metrics of the decision loop as JSON. */
    String loopJson();

    /** Returns the number of rejected or failed requests by reason, as JSON. */
    String notServedJson();

    /** Takes the proxy out of service. Returns false if it is not serving. */
    boolean quiesce();

    /** Takes the proxy back into service. Returns false if it is not serving. */
    boolean resume();
}
