/**
 * Discovery of backends. {@link lemondrift.proxy.discovery.EndpointListWatch} calls discovery (I/O
 * thread). {@code EndpointListParserTask} parses the response in steps (XNIO's task thread). {@link
 * lemondrift.proxy.discovery.EndpointListUpdate} turns a list into updates for the balancer, in
 * slices, and {@link lemondrift.proxy.discovery.BackendDirectory} owns the ids, indexes and
 * addresses of backends (both on the decision thread).
 *
 * <p>Only {@link lemondrift.proxy.discovery.EndpointListBuilder} and {@link
 * lemondrift.proxy.discovery.EndpointListParser} use the field names of discovery's JSON form.
 * {@code proxy.loop.EndpointListApplier} applies a new list to the balancer, gossip and
 * connections.
 */
package lemondrift.proxy.discovery;
