package lemondrift.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import lemondrift.lab.Experiment;
import lemondrift.lab.ExperimentFile;
import lemondrift.lab.PairedDifference;
import lemondrift.lab.Report;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.Spec;

/** Experiments in virtual time. */
@Command(
        name = "lab",
        description = "Experiments on the decisions, in virtual time.",
        mixinStandardHelpOptions = true,
        subcommands = {
            LabCommand.Run.class,
            LabCommand.Listing.class,
            LabCommand.Compare.class,
            LoadCommand.class,
            FleetCommand.class,
            SoakCommand.class
        })
final class LabCommand {
    /** Seconds of the window that a figure which is not met is told with. */
    private static final int WINDOW = 5;

    @Spec CommandSpec spec;

    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /**
     * Prints which expectations the module's days do not meet, and where; whether there are any.
     */
    boolean missed(Experiment experiment, List<Experiment.Run> runs) {
        boolean missed = false;
        for (Experiment.Expectation each : experiment.expects()) {
            for (Experiment.Run run : runs) {
                if (run.policy().equals(Experiment.MODULE) && !each.holds(run.figures())) {
                    missed = true;
                    int from = run.figures().worstWindow(WINDOW);
                    out().printf(
                                    Locale.ROOT,
                                    "  not met: %s (%.4f, seed %d); most is lost from "
                                            + "%d to %d s, most forwards fail at backends %s%n",
                                    each,
                                    Experiment.value(each.figure(), run.figures()),
                                    run.seed(),
                                    from,
                                    from + WINDOW,
                                    run.figures().worstBackends(3));
                }
            }
        }
        return missed;
    }

    /** Plays experiments and prints a table of each. */
    @Command(
            name = "run",
            description =
                    "Plays experiments; fails where a rule broke or an expectation does not hold.",
            mixinStandardHelpOptions = true)
    static final class Run implements Callable<Integer> {
        @ParentCommand LabCommand lab;

        @Parameters(arity = "1..*", paramLabel = "FILE", description = "experiments, in TOML")
        List<Path> files;

        @Option(
                names = "--json",
                paramLabel = "FILE",
                description = "all figures, also second by second, as JSON")
        Path json;

        @Override
        public Integer call() throws IOException {
            boolean failed = false;
            List<Report> reports = new ArrayList<>();
            for (Path file : files) {
                Experiment experiment = ExperimentFile.read(file);
                List<Experiment.Run> runs = experiment.play();
                lab.out().println(experiment.name() + ": " + experiment.about());
                runs.forEach(
                        run ->
                                lab.out()
                                        .printf(
                                                Locale.ROOT,
                                                "  %-18s seed %-4d %s%s%n",
                                                run.policy(),
                                                run.seed(),
                                                run.figures(),
                                                run.broken() == null ? "" : "  RULE BROKEN"));
                for (Experiment.Run run : runs) {
                    if (run.broken() != null) {
                        failed = true;
                        lab.out().println(run.broken());
                    }
                }
                failed |= lab.missed(experiment, runs);
                lab.out().flush();
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
    }

    /** Lists the experiments of a folder. */
    @Command(
            name = "list",
            description = "Lists the experiments of a folder.",
            mixinStandardHelpOptions = true)
    static final class Listing implements Callable<Integer> {
        @ParentCommand LabCommand lab;

        @Parameters(arity = "0..1", paramLabel = "FOLDER", defaultValue = "lab/experiments")
        Path folder;

        @Override
        public Integer call() throws IOException {
            for (Path file : ExperimentFile.in(folder)) {
                Experiment experiment = ExperimentFile.read(file);
                lab.out().printf("%-26s %s%n", experiment.name(), experiment.about());
            }
            lab.out().flush();
            return RootCommand.DONE;
        }
    }

    /** Holds the module against each other policy of an experiment, paired by seed. */
    @Command(
            name = "compare",
            description = "The module's service less each policy's, by seed, with intervals.",
            mixinStandardHelpOptions = true)
    static final class Compare implements Callable<Integer> {
        @ParentCommand LabCommand lab;

        @Parameters(arity = "1..*", paramLabel = "FILE", description = "experiments, in TOML")
        List<Path> files;

        @Override
        public Integer call() throws IOException {
            boolean broken = false;
            for (Path file : files) {
                Experiment experiment = ExperimentFile.read(file);
                List<Experiment.Run> runs = experiment.play();
                broken |= runs.stream().anyMatch(run -> run.broken() != null);
                double[] module = service(runs, Experiment.MODULE);
                lab.out()
                        .printf(
                                Locale.ROOT,
                                "%s: module %.4f%n",
                                experiment.name(),
                                Arrays.stream(module).average().orElse(0));
                for (String policy : experiment.policies()) {
                    if (!policy.equals(Experiment.MODULE)) {
                        PairedDifference difference =
                                PairedDifference.of(module, service(runs, policy));
                        lab.out()
                                .printf(
                                        Locale.ROOT,
                                        "  less %-18s %+.4f  [%+.4f, %+.4f]%n",
                                        policy,
                                        difference.mean(),
                                        difference.low(),
                                        difference.high());
                    }
                }
                lab.out().flush();
            }
            return broken ? RootCommand.FAILED : RootCommand.DONE;
        }

        private static double[] service(List<Experiment.Run> runs, String policy) {
            return runs.stream()
                    .filter(run -> run.policy().equals(policy))
                    .mapToDouble(run -> run.figures().service())
                    .toArray();
        }
    }
}
