package lemondrift.cli;

import java.io.IOException;
import lemondrift.settings.InvalidSettingsException;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line but for serve, check and drill, which Main starts without it. */
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
    /** Exit code: done. */
    static final int DONE = 0;

    /** Exit code: a run failed, a rule broke or an expectation does not hold. */
    static final int FAILED = 1;

    /** Exit code: the call or a file that it names cannot be used. */
    static final int USAGE = 2;

    // Main runs these three itself, without the library; here they stand for the usage only.
    @Command(name = "serve", description = "One real proxy; PROXY_CONFIG names its configuration.")
    static final class Serve {}

    @Command(name = "check", description = "Can the configuration that PROXY_CONFIG names be used?")
    static final class Check {}

    @Command(name = "drill", description = "The operators' simulator on standard input and output.")
    static final class Drill {}

    /**
     * Runs a command and returns its exit code: 0 done, 1 failed, 2 the call cannot be used, with
     * one line on standard error.
     */
    public static int run(String... args) {
        CommandLine commandLine = new CommandLine(new RootCommand());
        commandLine.setExecutionExceptionHandler(RootCommand::reportUnusable);
        if (args.length == 0) {
            commandLine.usage(System.err);
            return USAGE;
        }
        return commandLine.execute(args);
    }

    /** Prints what cannot be used on one line; any other exception is thrown on. */
    private static int reportUnusable(
            Exception e, CommandLine command, CommandLine.ParseResult parsed) throws Exception {
        if (e instanceof InvalidSettingsException) {
            command.getErr().println("lemondrift: " + e.getMessage());
        } else if (e instanceof IOException) {
            command.getErr().println("lemondrift: " + e);
        } else {
            throw e;
        }
        return USAGE;
    }
}
