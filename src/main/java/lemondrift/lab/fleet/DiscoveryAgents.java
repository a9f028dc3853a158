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
 * The discovery agents, one for each proxy. Each receives every change after a delay of its own.
 * I/O thread only.
 */
final class DiscoveryAgents implements AutoCloseable {
    private static final OptionMap SERVER_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    /** An agent's delay is drawn from half the scenario's to half as much again. */
    private static final double MIN_DELAY_SHARE = 0.5;

    private final TestbedContext context;

    /** By the proxy's number. */
    private final List<DiscoveryAgent> agents = new ArrayList<>();

    /** By the proxy's number. */
    private final List<AcceptingChannel<StreamConnection>> servers = new ArrayList<>();

    private double silentUntil;

    /**
     * Starts all agents.
     *
     * @throws IOException where an address cannot be bound
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

    /** Where a proxy finds its agent. */
    InetSocketAddress address(int proxy) {
        return servers.get(proxy).getLocalAddress(InetSocketAddress.class);
    }

    /** The endpoint list that a proxy is started with, as its agent knows it. */
    String fullListJson(int proxy) {
        return agents.get(proxy).fullListJson();
    }

    /** Sends a change to all agents; 0 for a backend that was up from the beginning. */
    void announce(int backend, EndpointUpdate.State state, long upSinceMillis) {
        EndpointChange change = new EndpointChange(backend, state, upSinceMillis);
        double meanDelaySeconds = context.scenario().discoveryDelaySeconds();
        for (DiscoveryAgent agent : agents) {
            double sentAt = Math.max(context.scheduler().now(), silentUntil);
            double delayShare = MIN_DELAY_SHARE + context.random().nextDouble();
            agent.receiveAt(sentAt + meanDelaySeconds * delayShare, change);
        }
    }

    /** Holds all later changes back for some time. */
    void silence(double seconds) {
        silentUntil = Math.max(silentUntil, context.scheduler().now() + seconds);
    }

    @Override
    public void close() {
        servers.forEach(IoUtils::safeClose);
        agents.forEach(DiscoveryAgent::close);
    }
}
