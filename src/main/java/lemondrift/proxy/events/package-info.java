/**
 * The interface between the decision thread and the I/O thread. The I/O thread reports through
 * {@link lemondrift.proxy.events.DecisionEvents}, which queues events; the decision thread acts
 * through {@link lemondrift.proxy.events.ProxyActions}, which queues work for the I/O thread. The
 * other types are the values that are passed between the two.
 *
 * <p>This package owns no state. It lets the packages on both sides depend on it instead of on each
 * other.
 */
package lemondrift.proxy.events;
