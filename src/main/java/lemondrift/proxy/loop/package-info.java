/**
 * The decision loop and its thread, the decision thread (named "decisions"). {@link
 * lemondrift.proxy.loop.DecisionLoop} queues the events that other threads report, and {@code
 * EventLoop} handles them in batches. {@code EventHandler} passes each event to the balancer,
 * {@code DecisionExecutor} executes the resulting decision, and {@code EndpointListApplier} applies
 * a new endpoint list in slices between events.
 *
 * <p>This package owns the balancer, the open requests, the pending endpoint lists, the settings in
 * force, the shadow evaluator and the gossip session. All code runs on the decision thread, except
 * methods that queue an event or state "any thread". The package does no I/O: actions on sockets go
 * through {@link lemondrift.proxy.events.ProxyActions} to the I/O thread.
 */
package lemondrift.proxy.loop;
