/**
 * Connects load gossip to the network and to the balancer. {@link
 * lemondrift.proxy.gossip.GossipTransport} owns the UDP socket (I/O thread). {@link
 * lemondrift.proxy.gossip.GossipSession} owns the load that is sent and received (decision thread).
 */
package lemondrift.proxy.gossip;
