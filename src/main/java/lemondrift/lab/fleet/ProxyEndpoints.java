package lemondrift.lab.fleet;

import java.net.InetSocketAddress;

/**
 * The addresses with which a proxy's process is started, and the backends that it knows at its
 * start.
 *
 * @param listen the address at which it listens for clients
 * @param gossip the address at which it listens for the datagrams of other proxies
 * @param discovery the address of its discovery agent
 * @param knownBackends the endpoint list at its start, in the JSON of the discovery protocol
 */
record ProxyEndpoints(
        InetSocketAddress listen,
        InetSocketAddress gossip,
        InetSocketAddress discovery,
        String knownBackends) {}
