/**
 * Decisions about clients' connections, without sockets, threads or a clock of their own: which are
 * accepted, how long each may take for what it is doing, which stay open after a response, which
 * are evicted when there are too many, and how many requests may wait for the balancer.
 *
 * <p>{@link lemondrift.connection.ConnectionPolicy} is the entry; it owns the table of connections
 * and the rules on it. {@link lemondrift.connection.RequestQueue} bounds the queue before the
 * balancer. Both run on the I/O thread of {@code lemondrift.proxy.client}, which reports events
 * with their time in seconds and carries out what is decided.
 */
package lemondrift.connection;
