/**
 * Discovery of backends. {@link lemondrift.proxy.discovery.EndpointListWatch} calls discovery (I/O
 * thread), {@code EndpointListParserTask} parses the response in steps (XNIO's task thread), {@link
 * lemondrift.proxy.discovery.EndpointListUpdate} turns a list into updates for the balancer in
 * slices, and {@link lemondrift.proxy.discovery.BackendDirectory} owns the ids, indexes and
 * addresses of backends (both decisions thread).
 *
 * <p>The names of discovery's JSON form are read in {@link
 * lemondrift.proxy.discovery.EndpointListBuilder} and {@link
 * lemondrift.proxy.discovery.EndpointListParser} alone. What a new list does to the balancer,
 * gossip and connections stands in {@code proxy.loop.EndpointListApplier}.
 */
package lemondrift.proxy.discovery;
