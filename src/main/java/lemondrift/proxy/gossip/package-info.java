/**
 * Load gossip on the wire and beside the decisions: {@link lemondrift.proxy.gossip.GossipTransport}
 * owns the UDP socket (I/O thread), {@link lemondrift.proxy.gossip.GossipSession} what is reported
 * and heard (decision loop's thread).
 */
package lemondrift.proxy.gossip;
