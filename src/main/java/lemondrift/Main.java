package lemondrift;

import lemondrift.cli.RootCommand;
import lemondrift.proxy.lifecycle.ProxyLauncher;
import lemondrift.simulator.SimulatorAdapter;

/**
 * The entry point. Dispatches {@code serve}, {@code check} and {@code drill} (the simulator
 * adapter) directly, so that a proxy starts without loading the command line library that the other
 * commands use.
 */
public final class Main {
    private Main() {}

    /**
     * Runs the command that the arguments name and exits with its exit code. The command {@code
     * serve} exits only if it fails; otherwise it returns once the proxy is serving, and the
     * process runs until SIGTERM.
     */
    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> {
                int exitCode = ProxyLauncher.run(System.getenv(), System.err);
                if (exitCode != 0) {
                    Runtime.getRuntime().halt(exitCode);
                }
            }
            case "check" -> System.exit(ProxyLauncher.check(System.getenv(), System.err));
            case "drill" -> System.exit(SimulatorAdapter.run(System.in, System.out, System.err));
            default -> System.exit(RootCommand.run(args));
        }
    }
}
