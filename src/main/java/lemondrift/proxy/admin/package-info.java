/**
 * The operators' address: health, metrics, recovery and event loop figures as JSON, and the calls
 * that take the proxy out of service and back. Owns its own listener, connections and buffers,
 * apart from those of clients. Runs on the I/O thread and never waits for another one.
 */
package lemondrift.proxy.admin;
