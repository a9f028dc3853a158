package lemondrift.cli;

import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.concurrent.Callable;
import lemondrift.lab.load.LoadGenerator;
import lemondrift.settings.InvalidSettingsException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Sends load to a loopback address. */
@Command(
        name = "load",
        description = "Sends requests at a rate to a loopback address.",
        mixinStandardHelpOptions = true)
final class LoadCommand implements Callable<Integer> {
    @Spec CommandSpec spec;

    @Parameters(paramLabel = "HOST:PORT")
    String target;

    @Option(
            names = "--rate",
            defaultValue = "100",
            description = "requests a second (${DEFAULT-VALUE})")
    double rate;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "for how long (${DEFAULT-VALUE})")
    double seconds;

    @Option(
            names = "--warm-up",
            paramLabel = "<warmUp>",
            defaultValue = "1",
            description = "seconds before, left out (${DEFAULT-VALUE})")
    double warmUpSeconds;

    @Option(
            names = "--connections",
            defaultValue = "64",
            description = "open at most (${DEFAULT-VALUE})")
    int connections;

    @Option(
            names = "--grade",
            paramLabel = "<grade>",
            required = true,
            description = "the service grade that each request names")
    String requestClass;

    @Option(
            names = "--timeout",
            paramLabel = "<timeout>",
            defaultValue = "5",
            description = "seconds for an answer (${DEFAULT-VALUE})")
    double timeoutSeconds;

    @Option(
            names = "--highest",
            paramLabel = "SECONDS",
            description =
                    "search the highest rate whose 99th percentile stays within this, from --rate"
                            + " on")
    Double highestRateBoundSeconds;

    @Override
    public Integer call() throws InterruptedException {
        LoadGenerator.Plan plan =
                new LoadGenerator.Plan(
                        address(),
                        rate,
                        seconds,
                        warmUpSeconds,
                        connections,
                        requestClass,
                        timeoutSeconds);
        PrintWriter out = spec.commandLine().getOut();
        if (highestRateBoundSeconds != null) {
            double highestRate = LoadGenerator.findHighestRate(plan, 99, highestRateBoundSeconds);
            out.printf(Locale.ROOT, "highest rate %.0f a second%n", highestRate);
            return RootCommand.DONE;
        }
        LoadGenerator.Result result = LoadGenerator.run(plan);
        out.println(result);
        return result.reachedRate() && result.failed() == 0 ? RootCommand.DONE : RootCommand.FAILED;
    }

    private InetSocketAddress address() {
        int colon = target.lastIndexOf(':');
        try {
            int port = Integer.parseInt(target.substring(colon + 1));
            return new InetSocketAddress(target.substring(0, colon), port);
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new InvalidSettingsException("not host:port: " + target);
        }
    }
}
