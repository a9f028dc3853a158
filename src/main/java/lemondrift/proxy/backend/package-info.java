/**
 * Calls to backends and to discovery: bounded connection pools, one request at a time on each
 * connection, and strict parsing of responses. A {@link lemondrift.proxy.backend.BackendCall} is
 * one request and its response, and is never retried here; {@link
 * lemondrift.proxy.backend.BackendClient} maps attempts to calls, and the results of calls to
 * outcomes.
 *
 * <p>A connection is reused if the response was complete and no bytes followed it, the complete
 * request was sent, the response allows it, and the pool is not retired; see {@link
 * lemondrift.proxy.backend.ConnectionPool}.
 *
 * <p>Owns the sockets to backends. Everything here runs on the I/O thread.
 */
package lemondrift.proxy.backend;
