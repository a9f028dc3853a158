/**
 * Counts and times for operators, without I/O. {@link lemondrift.metrics.ProxyMetrics} counts
 * requests and backends (I/O thread). {@link lemondrift.metrics.EventLoopMetrics} measures the
 * decision loop (decision thread; any thread reads). Operators see the names used at the admin
 * address and in the log, which may differ from the names of the fields.
 */
package lemondrift.metrics;
