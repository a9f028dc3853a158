/**
 * Calls to backends and to discovery: bounded pools of connections, one request at a time on each
 * connection, strict reading of responses. A {@link lemondrift.proxy.backend.BackendCall} is one
 * request and its response and is never retried here; {@link
 * lemondrift.proxy.backend.BackendClient} maps attempts to calls and their ends to outcomes.
 *
 * <p>Owns the sockets towards backends. Everything here runs on the I/O thread alone.
 */
package lemondrift.proxy.backend;
