/**
 * The port between the thread that decides and the I/O thread. The I/O thread reports through
 * {@link lemondrift.proxy.events.DecisionEvents}, which queues events; the decisions thread acts
 * through {@link lemondrift.proxy.events.ProxyActions}, which queues work for the I/O thread. The
 * rest are the values that pass between them.
 *
 * <p>Owns no state, so that the packages on both sides depend on this package and not on each
 * other.
 */
package lemondrift.proxy.events;
