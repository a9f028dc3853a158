package lemondrift;

import lemondrift.cli.RootCommand;
import lemondrift.proxy.lifecycle.ProxyLauncher;
import lemondrift.simulator.SimulatorAdapter;

/**
 * Dispatches serve, check and drill (the simulator's adapter) itself, so that a proxy starts
 * without loading the command line library that the other commands use.
 */
public final class Main {
    private Main() {}

    /**
     * Runs the command that the arguments name. Exits with its code, but for serve, which returns
     * once the proxy serves and lives until SIGTERM.
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
