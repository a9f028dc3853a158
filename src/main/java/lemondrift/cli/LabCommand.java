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

/** Runs experiments; in virtual time, except for the subcommands that use real processes. */
@Command(
        name = "lab",
        description =
                "Runs experiments on the load balancing decisions, in virtual time or on real"
                        + " processes.",
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
    /** The length of the worst window that is printed with an expectation that is not met. */
    private static final int WORST_WINDOW_SECONDS = 5;

    /** The number of worst backends that are printed with an expectation that is not met. */
    private static final int WORST_BACKENDS = 3;

    @Spec CommandSpec spec;

    PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /**
     * Prints the expectations that the module's runs do not meet, with the time at which the most
     * priority weight was lost; returns whether there are any.
     */
    boolean printMissedExpectations(Experiment experiment, List<Experiment.Run> runs) {
        boolean anyMissed = false;
        for (Experiment.Expectation expectation : experiment.expectations()) {
            for (Experiment.Run run : runs) {
                if (run.policy().equals(Experiment.MODULE) && !expectation.isMetBy(run.result())) {
                    anyMissed = true;
                    printMissed(expectation, run);
                }
            }
        }
        return anyMissed;
    }

    private void printMissed(Experiment.Expectation expectation, Experiment.Run run) {
        int windowStart = run.result().worstWindowStart(WORST_WINDOW_SECONDS);
        out().printf(
                        Locale.ROOT,
                        "  not met: %s (%.4f, seed %d); most is lost from "
                                + "%d to %d s, most forwards fail at backends %s%n",
                        expectation,
                        expectation.figure().readFrom(run.result()),
                        run.seed(),
                        windowStart,
                        windowStart + WORST_WINDOW_SECONDS,
                        run.result().worstBackends(WORST_BACKENDS));
    }

    /** Runs experiments and prints the figures of each run. */
    @Command(
            name = "run",
            description =
                    "Runs experiments; fails if a rule is violated or an expectation is not met.",
            mixinStandardHelpOptions = true)
    static final class Run implements Callable<Integer> {
        @ParentCommand LabCommand lab;

        @Parameters(arity = "1..*", paramLabel = "FILE", description = "TOML files of experiments")
        List<Path> files;

        @Option(
                names = "--json",
                paramLabel = "FILE",
                description =
                        "write all figures, including those for each second, to this file as JSON")
        Path json;

        @Override
        public Integer call() throws IOException {
            boolean failed = false;
            List<Report> reports = new ArrayList<>();
            for (Path file : files) {
                Experiment experiment = ExperimentFile.read(file);
                List<Experiment.Run> runs = experiment.run();
                failed |= print(experiment, runs);
                reports.add(Report.of(experiment, runs));
            }
            if (json != null) {
                Report.write(reports, json);
            }
            return failed ? RootCommand.FAILED : RootCommand.DONE;
        }

        /** Prints the runs; returns whether a rule is violated or an expectation is not met. */
        private boolean print(Experiment experiment, List<Experiment.Run> runs) {
            PrintWriter out = lab.out();
            out.println(experiment.name() + ": " + experiment.about());
            for (Experiment.Run run : runs) {
                out.printf(
                        Locale.ROOT,
                        "  %-18s seed %-4d %s%s%n",
                        run.policy(),
                        run.seed(),
                        run.result(),
                        run.ruleViolation() == null ? "" : "  RULE VIOLATED");
            }
            boolean failed = false;
            for (Experiment.Run run : runs) {
                if (run.ruleViolation() != null) {
                    failed = true;
                    out.println(run.ruleViolation());
                }
            }
            failed |= lab.printMissedExpectations(experiment, runs);
            out.flush();
            return failed;
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
            for (Path file : ExperimentFile.listFiles(folder)) {
                Experiment experiment = ExperimentFile.read(file);
                lab.out().printf("%-26s %s%n", experiment.name(), experiment.about());
            }
            lab.out().flush();
            return RootCommand.DONE;
        }
    }

    /** Compares the module with each other policy of an experiment, paired by seed. */
    @Command(
            name = "compare",
            description =
                    "Prints the served share of the module minus that of each other policy, paired"
                            + " by seed, with 95%% confidence intervals.",
            mixinStandardHelpOptions = true)
    static final class Compare implements Callable<Integer> {
        @ParentCommand LabCommand lab;

        @Parameters(arity = "1..*", paramLabel = "FILE", description = "TOML files of experiments")
        List<Path> files;

        @Override
        public Integer call() throws IOException {
            boolean anyViolation = false;
            for (Path file : files) {
                Experiment experiment = ExperimentFile.read(file);
                List<Experiment.Run> runs = experiment.run();
                anyViolation |= runs.stream().anyMatch(run -> run.ruleViolation() != null);
                print(experiment, runs);
            }
            return anyViolation ? RootCommand.FAILED : RootCommand.DONE;
        }

        private void print(Experiment experiment, List<Experiment.Run> runs) {
            PrintWriter out = lab.out();
            double[] module = serviceShares(runs, Experiment.MODULE);
            out.printf(
                    Locale.ROOT,
                    "%s: module %.4f%n",
                    experiment.name(),
                    Arrays.stream(module).average().orElse(0));
            for (String policy : experiment.policies()) {
                if (!policy.equals(Experiment.MODULE)) {
                    PairedDifference difference =
                            PairedDifference.of(module, serviceShares(runs, policy));
                    out.printf(
                            Locale.ROOT,
                            "  less %-18s %+.4f  [%+.4f, %+.4f]%n",
                            policy,
                            difference.mean(),
                            difference.low(),
                            difference.high());
                }
            }
            out.flush();
        }

        /** Returns the served share of each run of a policy, in the order of the seeds. */
        private static double[] serviceShares(List<Experiment.Run> runs, String policy) {
            return runs.stream()
                    .filter(run -> run.policy().equals(policy))
                    .mapToDouble(run -> run.result().servedShare())
                    .toArray();
        }
    }
}
