package lemondrift.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import lemondrift.lab.Experiment;
import lemondrift.lab.ExperimentFile;
import lemondrift.lab.Report;
import lemondrift.lab.fleet.FleetRun;
import lemondrift.lab.fleet.ProcessLauncher;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;

/** Runs experiments on real processes. */
@Command(
        name = "fleet",
        description = "Runs experiments with real processes of the built archive.",
        mixinStandardHelpOptions = true)
final class FleetCommand implements Callable<Integer> {
    @ParentCommand LabCommand lab;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "TOML files of experiments")
    List<Path> files;

    @Option(
            names = "--root",
            paramLabel = "FOLDER",
            defaultValue = ".",
            description =
                    "folder that contains deploy/balancer.toml and the built archive"
                            + " (${DEFAULT-VALUE})")
    Path root;

    @Option(
            names = "--json",
            paramLabel = "FILE",
            description = "write all figures to this file as JSON")
    Path json;

    @Option(names = "--seconds", description = "print the served requests for each second")
    boolean printsSeconds;

    @Option(names = "--quiet", description = "print no progress")
    boolean quiet;

    private String lastProgress = "";

    @Override
    public Integer call() throws IOException, InterruptedException {
        ProcessLauncher launcher =
                ProcessLauncher.fromDeployFile(root.toAbsolutePath().normalize());
        boolean failed = false;
        List<Report> reports = new ArrayList<>();
        for (Path file : files) {
            Experiment experiment = ExperimentFile.read(file);
            List<Experiment.Run> runs = FleetRun.run(experiment, launcher, this::printProgress);
            printTable(experiment, runs);
            for (Experiment.Run run : runs) {
                printDetails(run);
                failed |= run.ruleViolation() != null || run.result().crashed > 0;
            }
            failed |= lab.printMissedExpectations(experiment, runs);
            lab.out().flush();
            reports.add(Report.of(experiment, runs));
        }
        if (json != null) {
            Report.write(reports, json);
        }
        return failed ? RootCommand.FAILED : RootCommand.DONE;
    }

    private void printTable(Experiment experiment, List<Experiment.Run> runs) {
        PrintWriter out = lab.out();
        int proxies = experiment.scenario().proxies();
        out.println(experiment.name() + ": " + experiment.about());
        out.println(FleetRun.formatRow("policy", "seed", null, proxies, 1));
        for (Experiment.Run run : runs) {
            out.println(
                    FleetRun.formatRow(
                            run.policy(),
                            String.valueOf(run.seed()),
                            run.result(),
                            proxies,
                            experiment.scenario().durationSeconds()));
        }
    }

    private void printDetails(Experiment.Run run) {
        PrintWriter out = lab.out();
        if (printsSeconds) {
            out.print(run.policy() + ", seed " + run.seed() + "\n");
            out.print(FleetRun.formatSeconds(run.result()));
        }
        if (run.ruleViolation() != null) {
            out.print(run.ruleViolation() + "\n");
        }
    }

    /** Prints a line of progress unless it equals the previous one. */
    private void printProgress(String line) {
        if (!quiet && !line.equals(lastProgress)) {
            lastProgress = line;
            System.err.println(line);
        }
    }
}
