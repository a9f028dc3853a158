package lemondrift;

import lemondrift.cli.RootCommand;
import lemondrift.proxy.lifecycle.ProxyLauncher;
import lemondrift.simulator.SimulatorAdapter;

/**
 * Dispatches serve, check and drill at once: a proxy starts without the library of the other
 * commands.
 */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> {
                int code = ProxyLauncher.run(System.getenv(), System.err);
                if (code != 0) {
                    Runtime.getRuntime().halt(code);
                }
            }
            case "check" -> System.exit(ProxyLauncher.check(System.getenv(), System.err));
            case "drill" -> System.exit(SimulatorAdapter.run(System.in, System.out, System.err));
            default -> System.exit(RootCommand.run(args));
        }
    }
}
