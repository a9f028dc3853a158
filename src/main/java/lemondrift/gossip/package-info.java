/**
 * Gossip between the proxies of a fleet: each tells the others which backends its attempts in
 * flight are at, as far as they use them ({@link lemondrift.gossip.LoadGossip}); who uses which
 * backend, all proxies compute alike ({@link lemondrift.gossip.SubsetAssignment}).
 *
 * <p>Decisions and datagrams as bytes, no I/O and no clock; the proxy calls it on the decision
 * loop's thread. docs/gossip.md has the settings and the format of a datagram.
 */
package lemondrift.gossip;
