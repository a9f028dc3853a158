/**
 * Decisions about clients' connections, without sockets, threads or a clock of their own: which
 * connections are accepted, how long each may stay in its state, which stay open after a response,
 * which are evicted when there are too many, and how many requests may wait for the balancer.
 *
 * <p>{@link lemondrift.connection.ConnectionPolicy} is the entry point; it owns the table of
 * connections and the rules for it. {@link lemondrift.connection.RequestQueue} bounds the queue in
 * front of the balancer. Both run on the I/O thread of {@code lemondrift.proxy.client}, which
 * reports events with their time in seconds and executes the decisions.
 */
package lemondrift.connection;
