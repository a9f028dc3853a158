package lemondrift.proxy.admin;

import lemondrift.metrics.ProxyMetrics;

/** What operators may ask of the process; each returns at once. I/O thread only. */
public interface AdminOperations {
    /** Whether this process can serve. */
    boolean isReady();

    ProxyMetrics.Figures figures();

    /** How far it is on its way back after its start, as JSON; null where it asks nobody. */
    String recovery();

    /** How the thread that decides keeps up, as JSON. */
    String loop();

    /** Sends clients away; false where it can't. */
    boolean quiesce();

    /** Takes clients again; false where it can't. */
    boolean resume();
}
