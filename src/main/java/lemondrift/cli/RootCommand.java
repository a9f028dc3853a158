package lemondrift.cli;

import java.io.IOException;
import lemondrift.settings.InvalidSettingsException;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line but for serve, check and drill, which start without it. */
@Command(
        name = "lemondrift",
        mixinStandardHelpOptions = true,
        version = "lemondrift 0.1.0",
        description = "A load balancer whose decisions stay good when things fail.",
        subcommands = {
            RootCommand.Serve.class,
            RootCommand.Check.class,
            RootCommand.Drill.class,
            LabCommand.class,
            RecoveryCommand.class,
            AutoComplete.GenerateCompletion.class
        })
public final class RootCommand {
    /** Exit codes: done, the run failed or a rule broke, the call can't be used. */
    static final int DONE = 0;

    static final int FAILED = 1;
    static final int USAGE = 2;

    @Command(name = "serve", description = "One real proxy; PROXY_CONFIG names its configuration.")
    static final class Serve {}

    @Command(name = "check", description = "Can the configuration that PROXY_CONFIG names be used?")
    static final class Check {}

    @Command(name = "drill", description = "The operators' simulator on standard input and output.")
    static final class Drill {}

    /**
     * Runs a command and returns its exit code; what can't be used is one line on standard error.
     */
    public static int run(String... args) {
        CommandLine line = new CommandLine(new RootCommand());
        line.setExecutionExceptionHandler(
                (e, its, parsed) -> {
                    if (!(e instanceof InvalidSettingsException || e instanceof IOException)) {
                        throw e;
                    }
                    its.getErr()
                            .println(
                                    "lemondrift: "
                                            + (e instanceof InvalidSettingsException
                                                    ? e.getMessage()
                                                    : e.toString()));
                    return USAGE;
                });
        if (args.length == 0) {
            line.usage(System.err);
            return USAGE;
        }
        return line.execute(args);
    }
}
