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

/** Plays an experiment on processes, its baselines on the same stand without them. */
public final class FleetRun {
    private FleetRun() {}

    /** One day of each policy for each seed. */
    public static List<Experiment.Run> play(
            Experiment experiment, ProcessLauncher launcher, Consumer<String> progress)
            throws IOException, InterruptedException {
        if (experiment.host() != Experiment.Host.PROCESSES) {
            throw new InvalidSettingsException(
                    experiment.name() + ": host is not \"processes\"; lab run plays it");
        }
        List<Experiment.Run> runs = new ArrayList<>();
        for (String policy : experiment.policies()) {
            for (long seed : experiment.seeds()) {
                runs.add(play(experiment, policy, seed, launcher, progress));
            }
        }
        return runs;
    }

    private static Experiment.Run play(
            Experiment experiment,
            String policy,
            long seed,
            ProcessLauncher launcher,
            Consumer<String> progress)
            throws IOException, InterruptedException {
        boolean proxies = policy.equals(Experiment.MODULE);
        Baseline.Kind kind =
                proxies ? null : Baseline.Kind.valueOf(policy.toUpperCase(Locale.ROOT));
        try (FleetTestbed stand =
                new FleetTestbed(
                        experiment,
                        seed,
                        proxies ? launcher : null,
                        kind,
                        line -> progress.accept(policy + ", seed " + seed + ": " + line))) {
            stand.start();
            FleetTestbed.Played played = stand.play();
            List<String> wrong = stand.stop();
            wrong.forEach(progress);
            played.figures().crashed = wrong.size();
            return new Experiment.Run(policy, seed, played.figures(), played.broken());
        }
    }

    /**
     * Second by second: priority weight served and borne, as shares, backends idle, and how many
     * were rejected.
     */
    public static String seconds(RunResult result) {
        StringBuilder text = new StringBuilder();
        for (int s = 0; s < result.requestedWeightPerSecond.length - 1; s++) {
            double wanted = Math.max(Double.MIN_NORMAL, result.requestedWeightPerSecond[s]);
            text.append(
                    String.format(
                            Locale.ROOT,
                            "  %4d s  served %.2f of %.2f  idle %.2f  shed %.0f%n",
                            s,
                            result.servedWeightPerSecond[s] / wanted,
                            result.servableWeightPerSecond[s] / wanted,
                            result.idleSharePerSecond[s],
                            result.rejectedPerSecond[s]));
        }
        return text.toString();
    }

    /** One line of the table; its head where there are no figures. */
    public static String row(
            String policy, String seed, RunResult result, int proxies, double lasts) {
        if (result == null) {
            return String.format(
                    "  %-12s %5s %8s %8s %7s %7s %7s %7s %5s %6s %6s %6s %6s %6s %6s %6s %6s %7s"
                            + " %8s %6s %5s",
                    policy, seed, "in_time", "service", "p50_s", "p99_s", "waste", "fullest",
                    "herd", "idle_s", "least", "most", "shed", "failed", "lost", "best", "back_s",
                    "tells_s", "bytes_s", "core", "MB");
        }
        return String.format(
                Locale.ROOT,
                "  %-12s %5s %8.4f %8.4f %7.3f %7.3f %7.4f %7.2f %5d %6.2f"
                        + " %6.2f %6.2f %6d %6d %6d %6.3f %6d %7.1f %8.0f %6.3f %5.0f",
                policy,
                seed,
                result.inTimeShare(),
                result.service(),
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
                result.ofBearable(),
                result.backAfter(),
                result.gossipMessages / lasts / proxies,
                result.gossipBytes / lasts / proxies,
                result.cpuShare,
                result.memoryMegabytes);
    }
}
