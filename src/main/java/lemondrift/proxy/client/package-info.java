/**
 * The clients' side of the proxy: accepts connections, validates and reads requests, offers them to
 * the balancer, and writes responses. Everything here runs on the I/O thread unless a method says
 * otherwise.
 *
 * <ul>
 *   <li>{@code ClientListener} is the facade for the other packages, and has the sockets that
 *       accept.
 *   <li>{@code ClientConnections} has the connections, each a {@code ClientConnection}; what is
 *       decided about them is decided by {@code lemondrift.connection}.
 *   <li>{@code RequestReader} reads requests, each body a {@code RequestBody}, and rejects those
 *       that {@code RequestValidator} does not accept (400) or that are too long (413). A head that
 *       can't be parsed is refused by Undertow before.
 *   <li>{@code RequestAdmission} queues requests for the balancer, sheds what can't be decided in
 *       time (503), and ends what the balancer leaves overdue (503, or 502 where it may have been
 *       executed and the class can't bear a second time).
 *   <li>{@code ResponseWriter} writes responses and counts them.
 *   <li>{@code ClientCloseWatch} notices that a client has closed while its response is awaited.
 * </ul>
 *
 * <p>At SIGTERM {@code ClientListener.drain} has each response close its connection and closes
 * those without a request one by one, while connections are still accepted and their requests
 * answered, until {@code ClientListener.isDrained}.
 */
package lemondrift.proxy.client;
