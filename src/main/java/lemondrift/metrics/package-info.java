/**
 * Counts and times for operators, without I/O: {@link lemondrift.metrics.ProxyMetrics} of requests
 * and backends (I/O thread), {@link lemondrift.metrics.EventLoopMetrics} of the decision loop
 * (decisions thread; any thread reads). The names that operators see are those of the admin address
 * and of the log, not those of the fields.
 */
package lemondrift.metrics;
