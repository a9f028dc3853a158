package lemondrift.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import lemondrift.lab.fleet.ProcessLauncher;
import lemondrift.lab.fleet.SoakRun;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParentCommand;

/** Runs scenarios on real processes with faults drawn from seeds. */
@Command(
        name = "soak",
        description =
                "Runs scenarios on real processes; all faults of a run are drawn from its seed.",
        mixinStandardHelpOptions = true)
final class SoakCommand implements Callable<Integer> {
    @ParentCommand LabCommand lab;

    @Option(
            names = "--from",
            paramLabel = "SEED",
            defaultValue = "1",
            description = "the first seed (${DEFAULT-VALUE})")
    long firstSeed;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "5",
            description = "number of seeds (${DEFAULT-VALUE})")
    int seedCount;

    @Option(
            names = "--at-once",
            paramLabel = "N",
            defaultValue = "1",
            description = "number of concurrent runs (${DEFAULT-VALUE})")
    int concurrentRuns;

    @Option(
            names = "--without-signals",
            description =
                    "leave out the series of signals and the interrupted starts, which are added to"
                            + " the other faults of a seed")
    boolean withoutSignals;

    @Option(
            names = "--root",
            paramLabel = "FOLDER",
            defaultValue = ".",
            description =
                    "folder that contains deploy/balancer.toml and the built archive"
                            + " (${DEFAULT-VALUE})")
    Path root;

    @Override
    public Integer call() throws IOException, InterruptedException {
        ProcessLauncher launcher =
                ProcessLauncher.fromDeployFile(root.toAbsolutePath().normalize());
        ExecutorService executor = Executors.newFixedThreadPool(concurrentRuns);
        List<Future<SoakRun.Outcome>> outcomes = new ArrayList<>();
        for (long seed = firstSeed; seed < firstSeed + seedCount; seed++) {
            SoakRun.Plan plan = withoutSignals ? SoakRun.plan(seed) : SoakRun.planWithSignals(seed);
            outcomes.add(executor.submit(() -> SoakRun.run(plan, launcher, line -> {})));
        }
        executor.shutdown();
        int failedCount = 0;
        for (int i = 0; i < seedCount; i++) {
            failedCount += printOutcome(firstSeed + i, outcomes.get(i)) ? 0 : 1;
        }
        lab.out().printf("%d runs, %d of them with violations%n", seedCount, failedCount);
        lab.out().flush();
        return failedCount > 0 ? RootCommand.FAILED : RootCommand.DONE;
    }

    /** Prints the outcome of a seed; returns whether the run ended without violations. */
    private boolean printOutcome(long seed, Future<SoakRun.Outcome> futureOutcome)
            throws InterruptedException {
        PrintWriter out = lab.out();
        try {
            SoakRun.Outcome outcome = futureOutcome.get();
            out.printf(
                    Locale.ROOT,
                    "seed %d: %s, in time %.3f, unanswered %d; %s%n",
                    seed,
                    outcome.violations().isEmpty() ? "well" : "WRONG",
                    outcome.result().inTimeShare(),
                    outcome.result().unanswered,
                    outcome.plan().describe());
            outcome.violations().forEach(out::println);
            return outcome.violations().isEmpty();
        } catch (ExecutionException e) {
            out.printf("seed %d: WRONG, run not completed: %s%n", seed, e.getCause());
            return false;
        } finally {
            out.flush();
        }
    }
}
