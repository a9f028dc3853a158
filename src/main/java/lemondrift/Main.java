package lemondrift;

import lemondrift.cli.Lemondrift;
import lemondrift.drill.Drill;
import lemondrift.serve.Serve;

/** Dispatches serve, check and drill at once: a proxy starts without the library of the other commands. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> {
                int code = Serve.run(System.getenv(), System.err);
                if (code != 0) {
                    Runtime.getRuntime().halt(code);
                }
            }
            case "check" -> System.exit(Serve.check(System.getenv(), System.err));
            case "drill" -> System.exit(Drill.run(System.in, System.out, System.err));
            default -> System.exit(Lemondrift.run(args));
        }
    }
}
