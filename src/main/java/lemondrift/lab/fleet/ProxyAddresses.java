package lemondrift.lab.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Where each proxy listens, by its number; a proxy keeps its addresses over all its starts.
 *
 * @param listen for clients
 * @param gossip for the datagrams of other proxies
 */
record ProxyAddresses(List<InetSocketAddress> listen, List<InetSocketAddress> gossip) {
    /**
     * Finds each proxy free loopback addresses.
     *
     * @throws IOException where there are none
     */
    static ProxyAddresses reserve(int proxyCount) throws IOException {
        List<InetSocketAddress> listen = new ArrayList<>();
        List<InetSocketAddress> gossip = new ArrayList<>();
        for (int proxy = 0; proxy < proxyCount; proxy++) {
            InetAddress host = LoopbackAddresses.address(LoopbackAddresses.Range.PROXIES, proxy);
            listen.add(LoopbackAddresses.findFreeTcpPort(host));
            gossip.add(LoopbackAddresses.findFreeUdpPort(host));
        }
        return new ProxyAddresses(List.copyOf(listen), List.copyOf(gossip));
    }
}
