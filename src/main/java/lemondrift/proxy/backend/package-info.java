/**
 * Calls to backends and to discovery: bounded connection pools, one request at a time on each
 * connection, and strict parsing of responses. A {@link lemondrift.proxy.backend.BackendCall} is
 * one request and its response, and is never retried here; {@link
 * lemondrift.proxy.backend.BackendClient} maps attempts to calls, and the results of calls to
 * outcomes.
 *
 * <p>Owns the sockets to backends. Everything here runs on the I/O thread.
 */
package lemondrift.proxy.backend;
