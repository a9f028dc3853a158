package lemondrift.proxy.config;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of the load gossip between a proxy and its peers.
 *
 * @param listen the address at which this proxy receives datagrams
 * @param proxies the address of each proxy of the fleet, by its number
 * @param self the number of this proxy
 * @param minIntervalSeconds the minimum time between two messages to the same peer, in seconds
 * @param expirySeconds the time without a message after which a peer's load reports expire, in
 *     seconds
 * @param subsetSize the number of backends that each proxy uses
 */
public record GossipSettings(
        InetSocketAddress listen,
        List<InetSocketAddress> proxies,
        int self,
        double minIntervalSeconds,
        double expirySeconds,
        int subsetSize) {}
