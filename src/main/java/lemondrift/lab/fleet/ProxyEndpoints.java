package lemondrift.lab.fleet;

import java.net.InetSocketAddress;

/**
 * The addresses that one process is started with, and the backends that it then knows.
 *
 * @param listen where it listens for clients
 * @param gossip where it listens for datagrams of other proxies
 * @param discovery where its discovery agent is
 * @param knownBackends the endpoint list at its start, in the discovery protocol's JSON
 */
record ProxyEndpoints(
        InetSocketAddress listen,
        InetSocketAddress gossip,
        InetSocketAddress discovery,
        String knownBackends) {}
