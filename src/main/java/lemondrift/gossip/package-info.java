/**
 * Gossip between the proxies of a fleet. Each proxy reports to its peers the backends of its
 * attempts in flight, limited to the backends that the peer uses ({@link
 * lemondrift.gossip.LoadGossip}). All proxies compute the same assignment of backends to proxies
 * ({@link lemondrift.gossip.SubsetAssignment}).
 *
 * <p>This package computes decisions and encodes datagrams; it has no I/O and reads no clock. The
 * proxy calls it on the decision thread. docs/gossip.md describes the settings and the format of a
 * datagram.
 */
package lemondrift.gossip;
