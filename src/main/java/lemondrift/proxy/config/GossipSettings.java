package lemondrift.proxy.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * How a proxy exchanges load gossip with its peers.
 *
 * @param listen where this proxy receives datagrams
 * @param proxies the address of each proxy of the fleet, by its number
 * @param self this proxy's number
 * @param minIntervalSeconds the least time between two messages to one peer
 * @param expirySeconds after this long without a message what a peer reported no longer counts
 * @param subsetSize how many backends each proxy uses
 */
public record GossipSettings(
        InetSocketAddress listen,
        List<InetSocketAddress> proxies,
        int self,
        double minIntervalSeconds,
        double expirySeconds,
        int subsetSize) {}
