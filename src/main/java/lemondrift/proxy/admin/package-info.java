/**
 * The admin address: serves health, and as JSON the metrics, the recovery status, the event loop
 * metrics and the reasons why requests were not served. Also has calls that take the proxy out of
 * service and back. Has its own listener, connections and buffers, separate from those of clients.
 * Runs on the I/O thread and never waits for another thread.
 */
package lemondrift.proxy.admin;
