/**
 * The thread that decides, "decisions". {@link lemondrift.proxy.loop.DecisionLoop} queues what
 * other threads report, {@code EventLoop} handles it in batches; {@code EventHandler} asks the
 * balancer about each event, {@code DecisionExecutor} carries out what it decides, and {@code
 * EndpointListApplier} applies a new endpoint list in slices between events.
 *
 * <p>Owns the balancer, the open requests, the endpoint lists under way, the settings in force, the
 * shadow evaluator and the gossip session. All of it runs on the decisions thread but for what
 * queues an event or says "any thread". It does no I/O: what is to be done with sockets goes
 * through {@link lemondrift.proxy.events.ProxyActions} to the I/O thread.
 */
package lemondrift.proxy.loop;
