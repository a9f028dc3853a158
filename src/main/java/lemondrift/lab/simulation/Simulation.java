package lemondrift.lab.simulation;

import java.util.Arrays;
import java.util.function.IntToDoubleFunction;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Runs one scenario in virtual time: creates clients, proxies, backends, discovery and a referee
 * that checks the rules, and runs their scheduler to the end.
 */
public final class Simulation {
    /** Creates the routing policy of each proxy. */
    @FunctionalInterface
    public interface PolicyFactory {
        /**
         * Creates the policy of one proxy.
         *
         * @param proxy the index of the proxy
         * @param trueLoad returns the true load of a backend by its index, in requests per core;
         *     infinite if the backend is not available; must not be called before the simulation
         *     runs
         */
        RoutingPolicy create(int proxy, IntToDoubleFunction trueLoad);
    }

    private final Scenario scenario;
    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final Backend[] backends;
    private final BackendFaultInjector faultInjector;
    private final SimulationRecorder recorder;
    private final SimulatedDiscovery discovery;
    private final SimulatedClients clients;

    /** Creates a simulation that is checked against all four rules. */
    public Simulation(Scenario scenario, PolicyFactory policyFactory) {
        this(scenario, Referee.RULE_COUNT, policyFactory);
    }

    /**
     * Creates a simulation that is checked against the first rules only.
     *
     * @param checkedRules the number of rules that are checked; {@link Referee#BASELINE_RULE_COUNT}
     *     for a baseline, which does not protect cold backends
     */
    public Simulation(Scenario scenario, int checkedRules, PolicyFactory policyFactory) {
        this.scenario = scenario;
        Settings settings = scenario.settings();
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed());
        backends = new Backend[scenario.backends()];
        Arrays.setAll(backends, i -> new Backend(scheduler, scenario.cores(), settings.rules()));
        int[] locations = new int[scenario.backends()];
        Arrays.setAll(locations, i -> i % settings.locationCount());
        recorder = new SimulationRecorder(scenario, checkedRules, locations, scheduler);
        RoutingPolicy[] policies = new RoutingPolicy[scenario.proxies()];
        Arrays.setAll(policies, proxy -> policyFactory.create(proxy, this::trueLoad));
        SimulatedProxies proxies = new SimulatedProxies(policies, scheduler, random, recorder);
        discovery =
                new SimulatedDiscovery(scenario, locations, scheduler, random, recorder, proxies);
        faultInjector =
                new BackendFaultInjector(
                        scheduler, random, backends, scenario.discoveryDelaySeconds(), discovery);
        clients =
                new SimulatedClients(scenario, scheduler, random, recorder, faultInjector, proxies);
        SimulatedTransport transport =
                new SimulatedTransport(
                        scenario,
                        scheduler,
                        random,
                        recorder,
                        backends,
                        faultInjector,
                        clients,
                        proxies);
        proxies.connect(clients, transport);
    }

    /**
     * Runs the scenario to its end, and on until all open requests have ended.
     *
     * @throws Referee.RuleViolationException at the first violation of a checked rule
     * @throws IllegalStateException if requests are still open after the longest possible wait
     */
    public RunResult run() {
        discovery.sendFullLists();
        for (BackendFault fault : scenario.backendFaults()) {
            scheduler.at(fault.startAt(), () -> faultInjector.startFault(fault));
        }
        clients.start();
        scheduler.at(scenario.durationSeconds(), recorder::recordEvenness);
        scheduler.runUntil(scenario.durationSeconds() + longestWaitSeconds());
        if (clients.openRequestCount() > 0) {
            throw new IllegalStateException(
                    clients.openRequestCount()
                            + " requests are still open after the longest possible wait; none were"
                            + " expected");
        }
        return recorder.result();
    }

    /**
     * Returns an upper bound of the time for which clients may continue after the scenario's end,
     * with all their tries.
     */
    private double longestWaitSeconds() {
        double longestTimeoutSeconds =
                scenario.settings().requestClasses().stream()
                        .mapToDouble(RequestClass::timeoutSeconds)
                        .max()
                        .orElse(1);
        return (scenario.maxTries() + 1) * 2 * longestTimeoutSeconds;
    }

    private double trueLoad(int backendIndex) {
        Backend backend = backends[backendIndex];
        return backend.isAvailable()
                ? backend.load()
                        + (backend.faultErrorShare + backend.lastClassFaultErrorShare)
                                * scenario.cores()
                : Double.POSITIVE_INFINITY;
    }

    /** Returns the figures counted so far. */
    public RunResult resultSoFar() {
        return recorder.result();
    }
}
