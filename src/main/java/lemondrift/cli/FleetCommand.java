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

/** Experiments on real processes. */
@Command(
        name = "fleet",
        description = "Plays experiments with real processes of the built archive.",
        mixinStandardHelpOptions = true)
final class FleetCommand implements Callable<Integer> {
    @ParentCommand LabCommand lab;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "experiments, in TOML")
    List<Path> files;

    @Option(
            names = "--root",
            paramLabel = "FOLDER",
            defaultValue = ".",
            description = "where deploy/balancer.toml and the built archive are (${DEFAULT-VALUE})")
    Path root;

    @Option(names = "--json", paramLabel = "FILE", description = "all figures as JSON")
    Path json;

    @Option(names = "--seconds", description = "what was served, second by second")
    boolean seconds;

    @Option(names = "--quiet", description = "no line of progress")
    boolean quiet;

    private String last = "";

    @Override
    public Integer call() throws IOException, InterruptedException {
        ProcessLauncher launcher = ProcessLauncher.deployed(root.toAbsolutePath().normalize());
        PrintWriter out = lab.out();
        boolean failed = false;
        List<Report> reports = new ArrayList<>();
        for (Path file : files) {
            Experiment experiment = ExperimentFile.read(file);
            List<Experiment.Run> runs = FleetRun.play(experiment, launcher, this::progress);
            int proxies = experiment.day().proxies();
            out.println(experiment.name() + ": " + experiment.about());
            out.println(FleetRun.row("policy", "seed", null, proxies, 1));
            runs.forEach(
                    run ->
                            out.println(
                                    FleetRun.row(
                                            run.policy(),
                                            String.valueOf(run.seed()),
                                            run.figures(),
                                            proxies,
                                            experiment.day().lasts())));
            for (Experiment.Run run : runs) {
                out.print(
                        seconds
                                ? run.policy()
                                        + ", seed "
                                        + run.seed()
                                        + "\n"
                                        + FleetRun.seconds(run.figures())
                                : "");
                failed |= run.broken() != null || run.figures().crashed > 0;
                out.print(run.broken() == null ? "" : run.broken() + "\n");
            }
            failed |= lab.missed(experiment, runs);
            out.flush();
            reports.add(
                    new Report(
                            experiment.name(),
                            experiment.about(),
                            experiment.day().troubles(),
                            runs));
        }
        if (json != null) {
            Report.write(reports, json);
        }
        return failed ? RootCommand.FAILED : RootCommand.DONE;
    }

    /** A line only when it says something new. */
    private void progress(String line) {
        if (!quiet && !line.equals(last)) {
            last = line;
            System.err.println(line);
        }
    }
}
