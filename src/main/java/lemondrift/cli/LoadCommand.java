package lemondrift.cli;

import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.concurrent.Callable;
import lemondrift.lab.load.Load;
import lemondrift.settings.InvalidSettingsException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Load on a loopback address. */
@Command(
        name = "load",
        description = "Sends requests at a rate to a loopback address.",
        mixinStandardHelpOptions = true)
final class LoadCommand implements Callable<Integer> {
    @Spec CommandSpec spec;

    @Parameters(paramLabel = "HOST:PORT")
    String to;

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
            defaultValue = "1",
            description = "seconds before, left out (${DEFAULT-VALUE})")
    double warmUp;

    @Option(
            names = "--connections",
            defaultValue = "64",
            description = "open at most (${DEFAULT-VALUE})")
    int connections;

    @Option(
            names = "--grade",
            required = true,
            description = "the service grade that each request names")
    String grade;

    @Option(
            names = "--timeout",
            defaultValue = "5",
            description = "seconds for an answer (${DEFAULT-VALUE})")
    double timeout;

    @Option(
            names = "--highest",
            paramLabel = "SECONDS",
            description =
                    "search the highest rate whose 99th percentile stays within this, from --rate"
                            + " on")
    Double highest;

    @Override
    public Integer call() throws InterruptedException {
        int colon = to.lastIndexOf(':');
        InetSocketAddress address;
        try {
            int port = Integer.parseInt(to.substring(colon + 1));
            address = new InetSocketAddress(to.substring(0, colon), port);
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new InvalidSettingsException("not host:port: " + to);
        }
        Load.Plan plan = new Load.Plan(address, rate, seconds, warmUp, connections, grade, timeout);
        if (highest != null) {
            spec.commandLine()
                    .getOut()
                    .printf(
                            Locale.ROOT,
                            "highest rate %.0f a second%n",
                            Load.highestRate(plan, 99, highest));
            return RootCommand.DONE;
        }
        Load.Result result = Load.play(plan);
        spec.commandLine().getOut().println(result);
        return result.keptUp() && result.failed() == 0 ? RootCommand.DONE : RootCommand.FAILED;
    }
}
