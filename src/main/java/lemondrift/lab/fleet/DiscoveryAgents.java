package lemondrift.lab.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import lemondrift.lab.simulation.Scenario;
import lemondrift.model.EndpointUpdate;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * The discovery agents, one for each proxy. Each agent receives every change after its own random
 * delay. I/O thread only.
 */
final class DiscoveryAgents implements AutoCloseable {
    private static final OptionMap SERVER_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    /**
     * The smallest delay of an agent, as a share of the scenario's mean delay; the largest share is
     * greater by 1.
     */
    private static final double MIN_DELAY_SHARE = 0.5;

    private final TestbedContext context;

    /** Indexed by proxy number. */
    private final List<DiscoveryAgent> agents = new ArrayList<>();

    /** Indexed by proxy number. */
    private final List<AcceptingChannel<StreamConnection>> servers = new ArrayList<>();

    private double silentUntil;

    /**
     * Starts all agents.
     *
     * @throws IOException if an address cannot be bound
     */
    DiscoveryAgents(TestbedContext context, BackendFleet backendFleet) throws IOException {
        this.context = context;
        Scenario scenario = context.scenario();
        EndpointListWriter listWriter =
                new EndpointListWriter(backendFleet, scenario.settings().locationCount());
        for (int proxy = 0; proxy < scenario.proxies(); proxy++) {
            DiscoveryAgent agent = new DiscoveryAgent(context, proxy, listWriter);
            agents.add(agent);
            InetSocketAddress anyPort =
                    new InetSocketAddress(
                            LoopbackAddresses.address(LoopbackAddresses.Range.DISCOVERY, proxy), 0);
            servers.add(
                    HttpConnection.listen(
                            context.worker(), anyPort, SERVER_OPTIONS, agent::accept));
        }
    }

    /** Returns the address at which a proxy reaches its agent. */
    InetSocketAddress address(int proxy) {
        return servers.get(proxy).getLocalAddress(InetSocketAddress.class);
    }

    /**
     * Returns the endpoint list with which a proxy is started, as known to its agent, in the JSON
     * of the discovery protocol.
     */
    String fullListJson(int proxy) {
        return agents.get(proxy).fullListJson();
    }

    /**
     * Sends a change to all agents.
     *
     * @param upSinceMillis when the backend started, in milliseconds of Unix time; 0 if it has been
     *     up since the beginning
     */
    void announce(int backend, EndpointUpdate.State state, long upSinceMillis) {
        EndpointChange change = new EndpointChange(backend, state, upSinceMillis);
        double meanDelaySeconds = context.scenario().discoveryDelaySeconds();
        for (DiscoveryAgent agent : agents) {
            double sentAt = Math.max(context.scheduler().now(), silentUntil);
            double delayShare = MIN_DELAY_SHARE + context.random().nextDouble();
            agent.receiveAt(sentAt + meanDelaySeconds * delayShare, change);
        }
    }

    /** Delays all later changes until a number of seconds has passed. */
    void silence(double seconds) {
        silentUntil = Math.max(silentUntil, context.scheduler().now() + seconds);
    }

    @Override
    public void close() {
        servers.forEach(IoUtils::safeClose);
        agents.forEach(DiscoveryAgent::close);
    }
}
