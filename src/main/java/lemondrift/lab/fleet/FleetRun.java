package lemondrift.lab.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import lemondrift.lab.Baseline;
import lemondrift.lab.Experiment;
import lemondrift.lab.simulation.RunResult;
import lemondrift.settings.InvalidSettingsException;

/** Executes an experiment on processes, and its baselines on the same testbed without processes. */
public final class FleetRun {
    private FleetRun() {}

    /**
     * Executes one run of each policy for each seed.
     *
     * @param progress receives lines about the progress, and one line for each process that did not
     *     exit normally
     * @throws InvalidSettingsException if the experiment's host is not {@code processes}, the
     *     machine has too little free memory, or a process cannot be started or signalled
     * @throws IOException if a socket cannot be opened
     * @throws IllegalStateException if a run cannot be completed
     */
    public static List<Experiment.Run> run(
            Experiment experiment, ProcessLauncher launcher, Consumer<String> progress)
            throws IOException, InterruptedException {
        if (experiment.host() != Experiment.Host.PROCESSES) {
            throw new InvalidSettingsException(
                    experiment.name()
                            + ": host must be \"processes\"; use \"lab run\" for this experiment");
        }
        List<Experiment.Run> runs = new ArrayList<>();
        for (String policy : experiment.policies()) {
            for (long seed : experiment.seeds()) {
                runs.add(run(experiment, policy, seed, launcher, progress));
            }
        }
        return runs;
    }

    private static Experiment.Run run(
            Experiment experiment,
            String policy,
            long seed,
            ProcessLauncher launcher,
            Consumer<String> progress)
            throws IOException, InterruptedException {
        Consumer<String> runProgress =
                line -> progress.accept(policy + ", seed " + seed + ": " + line);
        try (FleetTestbed testbed =
                createTestbed(experiment, policy, seed, launcher, runProgress)) {
            testbed.start();
            FleetTestbed.RunOutcome outcome = testbed.run();
            List<String> problems = testbed.stop();
            problems.forEach(progress);
            outcome.result().crashed = problems.size();
            return new Experiment.Run(
                    policy, seed, outcome.result(), outcome.brokenRule().orElse(null));
        }
    }

    private static FleetTestbed createTestbed(
            Experiment experiment,
            String policy,
            long seed,
            ProcessLauncher launcher,
            Consumer<String> progress)
            throws IOException {
        if (policy.equals(Experiment.MODULE)) {
            return FleetTestbed.withProxies(experiment, seed, launcher, progress);
        }
        Baseline.Kind baseline = Baseline.Kind.valueOf(policy.toUpperCase(Locale.ROOT));
        return FleetTestbed.withoutProxies(experiment, seed, baseline, progress);
    }

    /**
     * Formats one line for each second: the served and the servable priority weight as shares of
     * the requested weight, the share of idle backends, and the number of rejected requests.
     */
    public static String formatSeconds(RunResult result) {
        StringBuilder text = new StringBuilder();
        for (int second = 0; second < result.requestedWeightPerSecond.length - 1; second++) {
            double requested = Math.max(Double.MIN_NORMAL, result.requestedWeightPerSecond[second]);
            text.append(
                    String.format(
                            Locale.ROOT,
                            "  %4d s  served %.2f of %.2f  idle %.2f  shed %.0f%n",
                            second,
                            result.servedWeightPerSecond[second] / requested,
                            result.servableWeightPerSecond[second] / requested,
                            result.idleSharePerSecond[second],
                            result.rejectedPerSecond[second]));
        }
        return text.toString();
    }

    private static String formatHeader(String policy, String seed) {
        return String.format(
                "  %-12s %5s %8s %8s %7s %7s %7s %7s %5s %6s %6s %6s %6s %6s %6s %6s %6s %7s"
                        + " %8s %6s %5s",
                policy, seed, "in_time", "service", "p50_s", "p99_s", "waste", "fullest", "herd",
                "idle_s", "least", "most", "shed", "failed", "lost", "best", "back_s", "tells_s",
                "bytes_s", "core", "MB");
    }

    /** Formats one line of the table; its header if the result is null. */
    public static String formatRow(
            String policy, String seed, RunResult result, int proxies, double runSeconds) {
        if (result == null) {
            return formatHeader(policy, seed);
        }
        return String.format(
                Locale.ROOT,
                "  %-12s %5s %8.4f %8.4f %7.3f %7.3f %7.4f %7.2f %5d %6.2f"
                        + " %6.2f %6.2f %6d %6d %6d %6.3f %6d %7.1f %8.0f %6.3f %5.0f",
                policy,
                seed,
                result.inTimeShare(),
                result.servedShare(),
                result.medianSeconds,
                result.p99Seconds,
                result.evenness.waste(),
                result.evenness.fullest(),
                result.evenness.herd(),
                result.evenness.longestIdle(),
                result.evenness.least(),
                result.evenness.most(),
                result.rejected,
                result.failed,
                result.unanswered,
                result.servedShareOfServable(),
                result.recoveredAfterSeconds(),
                result.gossipMessages / runSeconds / proxies,
                result.gossipBytes / runSeconds / proxies,
                result.cpuShare,
                result.memoryMegabytes);
    }
}
