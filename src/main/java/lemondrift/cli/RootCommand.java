package lemondrift.cli;

import java.io.IOException;
import lemondrift.settings.InvalidSettingsException;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line of all commands except serve, check and drill, which Main starts directly. */
@Command(
        name = "lemondrift",
        mixinStandardHelpOptions = true,
        version = "lemondrift 0.1.0",
        description = "A load balancer that keeps making good decisions under failure.",
        subcommands = {
            RootCommand.Serve.class,
            RootCommand.Check.class,
            RootCommand.Drill.class,
            LabCommand.class,
            RecoveryCommand.class,
            AutoComplete.GenerateCompletion.class
        })
public final class RootCommand {
    /** Exit code of a command that succeeded. */
    static final int DONE = 0;

    /**
     * Exit code of a command whose run failed: a rule was violated, an expectation was not met or
     * requests failed.
     */
    static final int FAILED = 1;

    /** Exit code of a command with invalid arguments or an invalid file. */
    static final int USAGE = 2;

    // Main runs these three without the command line library; they are listed here only for the
    // usage.
    @Command(
            name = "serve",
            description = "Runs one proxy with the configuration file that PROXY_CONFIG names.")
    static final class Serve {}

    @Command(name = "check", description = "Checks the configuration file that PROXY_CONFIG names.")
    static final class Check {}

    @Command(
            name = "drill",
            description = "Connects to the operators' simulator on standard input and output.")
    static final class Drill {}

    /**
     * Runs a command and returns its exit code: 0 if it succeeded, 1 if its run failed, 2 if an
     * argument or a file is invalid, which is reported on standard error.
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

    /**
     * Prints an invalid value or an I/O error on one line and returns {@link #USAGE}; rethrows any
     * other exception.
     */
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
