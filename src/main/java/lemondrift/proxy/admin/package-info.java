/**
 * The admin address: serves health, metrics, recovery status and event loop metrics as JSON, and
 * calls that take the proxy out of service and back. Has its own listener, connections and buffers,
 * separate from those of clients. Runs on the I/O thread and never waits for another thread.
 */
package lemondrift.proxy.admin;
