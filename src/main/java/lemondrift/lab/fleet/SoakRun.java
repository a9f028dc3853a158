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
 * Plays days on real processes of which all is drawn from a seed: the size of the fleet, latency
 * objectives, faults of backends, discovery, processes and datagrams, and on some days idle
 * clients. Clients use the connections that they have until a process that got SIGTERM is killed,
 * as early as a platform may.
 */
public final class SoakRun {
    private SoakRun() {}

    /**
     * One day as drawn.
     *
     * @param seed from which all of it is drawn
     * @param idleClientsPerProxy 0 or more
     */
    public record Plan(long seed, Experiment experiment, int idleClientsPerProxy) {
        /** One line on what is drawn. */
        public String describe() {
            Scenario scenario = experiment.scenario();
            StringBuilder text =
                    new StringBuilder(
                            String.format(
                                    Locale.ROOT,
                                    "%d proxies, %d backends, %.0f/s, contract %.2f s, crowd %d:",
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

    /** What one day came to; wrong has a line on each fault of the proxies, empty for none. */
    public record Outcome(Plan plan, RunResult result, List<String> violations) {}

    /** Draws the day of a seed. */
    public static Plan plan(long seed) {
        return new SoakPlanner(seed).draw(false);
    }

    /** The same day, and signals in series and interrupted starts beside what is drawn on it. */
    public static Plan planWithSignals(long seed) {
        return new SoakPlanner(seed).draw(true);
    }

    /**
     * Plays the day of a plan on processes of its own.
     *
     * @param progress gets lines on how far it is
     * @throws IOException where a socket cannot be opened
     * @throws IllegalStateException where the day cannot be played to its end
     */
    public static Outcome run(Plan plan, ProcessLauncher launcher, Consumer<String> progress)
            throws IOException, InterruptedException {
        try (FleetTestbed testbed =
                FleetTestbed.withProxies(plan.experiment, plan.seed, launcher, progress)) {
            testbed.start();
            testbed.connectIdleClients(plan.idleClientsPerProxy);
            FleetTestbed.RunOutcome outcome = testbed.run();
            List<String> wrong = new ArrayList<>();
            outcome.brokenRule().ifPresent(wrong::add);
            long overloaded = outcome.result().overloadedColdBackends;
            if (overloaded > 0) {
                wrong.add(overloaded + " cold backends pushed over");
            }
            wrong.addAll(testbed.stop());
            return new Outcome(plan, outcome.result(), wrong);
        }
    }
}
