package lemondrift.proxy.admin;

import lemondrift.metrics.ProxyMetrics;

/** What operators may ask of the process; each returns at once. I/O thread only. */
public interface AdminOperations {
    /** Whether this process can serve. */
    boolean isReady();

    /** The metrics as they stand. */
    ProxyMetrics.Snapshot metrics();

    /** How far the recovery after the start is, as JSON; null where the proxy polls no peers. */
    String recoveryJson();

    /** How the decision loop keeps up, as JSON. */
    String loopJson();

    /** Why requests were rejected or failed, and how many, as JSON. */
    String notServedJson();

    /** Takes the proxy out of service; false where it cannot be. */
    boolean quiesce();

    /** Takes the proxy back into service; false where it cannot be. */
    boolean resume();
}
