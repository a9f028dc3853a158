package lemondrift.lab.simulation;

import java.util.ArrayList;
import java.util.List;
import lemondrift.model.EndpointUpdate;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Discovery in a simulation: sends endpoint updates to all proxies, each after a separately drawn
 * delay.
 */
final class SimulatedDiscovery implements BackendFaultInjector.Host {
    private final Scenario scenario;
    private final int[] locations;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final SimulationRecorder recorder;
    private final SimulatedProxies proxies;

    /** When each backend last started, in seconds; 0 if it has run since the beginning. */
    private final double[] startedAt;

    private double silentUntil;

    SimulatedDiscovery(
            Scenario scenario,
            int[] locations,
            Scheduler scheduler,
            UniformRandomProvider random,
            SimulationRecorder recorder,
            SimulatedProxies proxies) {
        this.scenario = scenario;
        this.locations = locations;
        this.scheduler = scheduler;
        this.random = random;
        this.recorder = recorder;
        this.proxies = proxies;
        startedAt = new double[locations.length];
    }

    /**
     * Sends the full endpoint list to all proxies without delay: a proxy without backends would
     * reject all requests.
     */
    void sendFullLists() {
        List<EndpointUpdate> all = new ArrayList<>();
        for (int backend = 0; backend < locations.length; backend++) {
            all.add(endpointUpdate(backend, EndpointUpdate.State.READY));
        }
        for (int proxy = 0; proxy < proxies.count(); proxy++) {
            proxies.endpointsListed(proxy, true, all);
        }
    }

    private EndpointUpdate endpointUpdate(int backend, EndpointUpdate.State state) {
        return new EndpointUpdate(
                backend, false, locations[backend], backend, state, startedAt[backend]);
    }

    @Override
    public void announce(int backend, EndpointUpdate.State state) {
        EndpointUpdate update = endpointUpdate(backend, state);
        for (int p = 0; p < proxies.count(); p++) {
            int proxy = p;
            double at =
                    Math.max(scheduler.now(), silentUntil)
                            + RandomDelay.drawAround(scenario.discoveryDelaySeconds(), random);
            scheduler.at(at, () -> receive(proxy, update));
        }
    }

    private void receive(int proxy, EndpointUpdate update) {
        boolean ready = update.state() == EndpointUpdate.State.READY;
        recorder.recordEndpointState(proxy, update.backend(), ready);
        proxies.endpointsListed(proxy, false, List.of(update));
    }

    @Override
    public void processRestarted(int backend) {
        startedAt[backend] = scheduler.now();
        recorder.recordRestart(backend);
    }

    @Override
    public void silenceDiscovery(double seconds) {
        silentUntil = Math.max(silentUntil, scheduler.now() + seconds);
    }
}
