package lemondrift.lab.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import lemondrift.lab.Experiment;
import lemondrift.lab.simulation.BackendFault;
import lemondrift.lab.simulation.Fault;
import lemondrift.lab.simulation.RunResult;
import lemondrift.lab.simulation.Scenario;

/**
 * Executes soak runs on real processes. All properties of a run are drawn from a seed: the size of
 * the fleet, latency objectives, faults of backends, discovery, processes and datagrams, and in
 * some runs idle clients. After a process has received SIGTERM, clients continue to use their
 * connections to it until it is killed, as early as a platform may.
 */
public final class SoakRun {
    private SoakRun() {}

    /**
     * A run as drawn.
     *
     * @param seed the seed from which the run is drawn
     * @param idleClientsPerProxy the number of idle clients at each proxy, 0 or more
     */
    public record Plan(long seed, Experiment experiment, int idleClientsPerProxy) {
        /** Returns one line that describes the run. */
        public String describe() {
            Scenario scenario = experiment.scenario();
            StringBuilder text =
                    new StringBuilder(
                            String.format(
                                    Locale.ROOT,
                                    "%d proxies, %d backends, %.0f/s, latency objective %.2f s,"
                                            + " idle clients per proxy %d:",
                                    scenario.proxies(),
                                    scenario.backends(),
                                    scenario.rate(),
                                    scenario.settings().windowSeconds(),
                                    idleClientsPerProxy));
            scenario.backendFaults().forEach(fault -> text.append(describe(fault)));
            experiment.faults().forEach(fault -> text.append(describe(fault)));
            return text.toString();
        }

        private static String describe(BackendFault fault) {
            return String.format(
                    Locale.ROOT,
                    " %s@%.1f+%.1fx%.2f",
                    fault.kind(),
                    fault.startAt(),
                    fault.durationSeconds(),
                    fault.share());
        }

        private static String describe(Fault fault) {
            return String.format(
                    Locale.ROOT,
                    " %s/%s@%.1f+%.1f",
                    fault.kind(),
                    fault.channel(),
                    fault.startAt(),
                    fault.durationSeconds());
        }
    }

    /**
     * The outcome of one run.
     *
     * @param violations one line for the first broken rule, for overloaded cold backends and for
     *     each process that did not exit normally; empty if there are none
     */
    public record Outcome(Plan plan, RunResult result, List<String> violations) {}

    /** Draws the run of a seed. */
    public static Plan plan(long seed) {
        return new SoakPlanner(seed).draw(false);
    }

    /** Draws the run of a seed, and adds signals in series and interrupted starts to it. */
    public static Plan planWithSignals(long seed) {
        return new SoakPlanner(seed).draw(true);
    }

    /**
     * Executes a planned run on its own processes.
     *
     * @param progress receives lines about the progress
     * @throws lemondrift.settings.InvalidSettingsException if the machine has too little free
     *     memory, or a process cannot be started or signalled
     * @throws IOException if a socket cannot be opened
     * @throws IllegalStateException if the run cannot be completed
     */
    public static Outcome run(Plan plan, ProcessLauncher launcher, Consumer<String> progress)
            throws IOException, InterruptedException {
        try (FleetTestbed testbed =
                FleetTestbed.withProxies(plan.experiment, plan.seed, launcher, progress)) {
            testbed.start();
            testbed.connectIdleClients(plan.idleClientsPerProxy);
            FleetTestbed.RunOutcome outcome = testbed.run();
            List<String> violations = new ArrayList<>();
            outcome.brokenRule().ifPresent(violations::add);
            long overloaded = outcome.result().overloadedColdBackends;
            if (overloaded > 0) {
                violations.add(overloaded + " cold backends overloaded");
            }
            violations.addAll(testbed.stop());
            return new Outcome(plan, outcome.result(), violations);
        }
    }
}
