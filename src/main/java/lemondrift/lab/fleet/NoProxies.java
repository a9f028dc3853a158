package lemondrift.lab.fleet;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import lemondrift.lab.simulation.RunResult;
import lemondrift.model.EndpointUpdate;

/**
 * The substitute for proxies in a testbed without them: clients send their requests to the
 * backends, no process is started, and the faults of processes have no effect.
 */
final class NoProxies implements TestbedProxies {
    private final ClientTargets clientTargets;

    NoProxies(ClientTargets clientTargets) {
        this.clientTargets = clientTargets;
    }

    @Override
    public ClientTargets clientTargets() {
        return clientTargets;
    }

    @Override
    public void start(Consumer<String> progress) {}

    @Override
    public void awaitOpen() {}

    @Override
    public void announce(int backend, EndpointUpdate.State state, long upSinceMillis) {}

    @Override
    public void silenceDiscovery(double seconds) {}

    @Override
    public void scheduleFaults(FaultPlan faultPlan, ClientFleet clients) {}

    @Override
    public void startUsageMeasurement() {}

    @Override
    public void addUsageTo(RunResult result, double durationSeconds) {}

    @Override
    public void awaitProcessTasks() {}

    @Override
    public InetSocketAddress listenAddress(int proxy) {
        throw new IllegalStateException("this testbed has no proxies");
    }

    @Override
    public void runOnProcessThread(Runnable task) {
        throw new IllegalStateException("this testbed has no proxy processes");
    }

    @Override
    public void reload(int proxy) {
        throw new IllegalStateException("this testbed has no proxy processes");
    }

    @Override
    public List<String> stop() {
        return List.of();
    }

    @Override
    public void closeConnections() {}

    @Override
    public void close() {}
}
