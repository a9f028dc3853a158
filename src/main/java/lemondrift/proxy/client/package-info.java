/**
 * The client side of the proxy: accepts connections, reads and validates requests, offers them to
 * the balancer, and writes responses. Everything here runs on the I/O thread unless a method says
 * otherwise.
 *
 * <ul>
 *   <li>{@code ClientListener} is the facade for the other packages, and owns the listening
 *       sockets.
 *   <li>{@code ClientConnections} owns the connections, each a {@code ClientConnection}; {@code
 *       lemondrift.connection} decides which of them are accepted, kept open and closed.
 *   <li>{@code RequestReader} reads requests, each body as a {@code RequestBody}, and refuses
 *       requests that {@code RequestValidator} does not accept (400) or that are too long (413).
 *       Undertow itself refuses a head that can't be parsed.
 *   <li>{@code RequestAdmission} queues requests for the balancer, sheds requests that can't be
 *       decided in time (503), and ends requests that the balancer leaves overdue (503, or 502 if
 *       the request may have been executed and its class does not allow a second execution).
 *   <li>{@code ResponseWriter} writes responses and counts them.
 *   <li>{@code ClientCloseWatch} detects that a client closes while it waits for a response.
 * </ul>
 *
 * <p>A connection ends when its client closes it, when it is closed after a response that does not
 * keep it open ({@code ResponseWriter}), when a body breaks off, or when the policy closes it for a
 * {@link lemondrift.connection.CloseReason}. {@code ClientConnections.closed} handles every end and
 * reports an open request to the decision loop as abandoned.
 *
 * <p>At SIGTERM {@code ClientListener.drain} makes each response close its connection, and closes
 * connections without a request one by one. New connections are still accepted, except on an
 * inherited socket, and their requests answered, until {@code ClientListener.isDrained}.
 */
package lemondrift.proxy.client;
