package lemondrift.lab.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The addresses at which the proxies listen, by proxy number. A proxy keeps its addresses across
 * restarts.
 *
 * @param listen the addresses for clients
 * @param gossip the addresses for the datagrams of other proxies
 */
record ProxyAddresses(List<InetSocketAddress> listen, List<InetSocketAddress> gossip) {
    /**
     * Finds free loopback addresses for each proxy.
     *
     * @throws IOException if there are none
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
