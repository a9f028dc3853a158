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

/** Sends requests to a loopback address at a given rate. */
@Command(
        name = "load",
        description = "Sends requests to a loopback address at a given rate.",
        mixinStandardHelpOptions = true)
final class LoadCommand implements Callable<Integer> {
    @Spec CommandSpec spec;

    @Parameters(paramLabel = "HOST:PORT")
    String target;

    @Option(
            names = "--rate",
            defaultValue = "100",
            description = "requests per second (${DEFAULT-VALUE})")
    double rate;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "duration without the warm-up (${DEFAULT-VALUE})")
    double seconds;

    @Option(
            names = "--warm-up",
            paramLabel = "<warmUp>",
            defaultValue = "1",
            description = "seconds of warm-up, which are not counted (${DEFAULT-VALUE})")
    double warmUpSeconds;

    @Option(
            names = "--connections",
            defaultValue = "64",
            description = "maximum number of open connections (${DEFAULT-VALUE})")
    int connections;

    @Option(
            names = "--grade",
            paramLabel = "<grade>",
            required = true,
            description = "name of the service grade in each request")
    String requestClass;

    @Option(
            names = "--timeout",
            paramLabel = "<timeout>",
            defaultValue = "5",
            description =
                    "seconds without a response after which a request fails (${DEFAULT-VALUE})")
    double timeoutSeconds;

    @Option(
            names = "--highest",
            paramLabel = "SECONDS",
            description =
                    "search the highest rate at which the 99th percentile of the latency stays"
                            + " within this, starting from --rate")
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
            throw new InvalidSettingsException("expected HOST:PORT, found " + target);
        }
    }
}
