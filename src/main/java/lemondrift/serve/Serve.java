package lemondrift.serve;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import lemondrift.settings.BadInput;

/** Starts the real proxy from its environment and ends it on SIGTERM. */
public final class Serve {
    private Serve() {}

    /** Returns an exit code where the proxy can't start, else 0, and the proxy runs on. */
    public static int run(Map<String, String> environment, PrintStream err) {
        return start(environment, err, true);
    }

    /** Says whether a proxy can be made of the configuration; opens no socket. */
    public static int check(Map<String, String> environment, PrintStream err) {
        return start(environment, err, false);
    }

    private static int start(Map<String, String> environment, PrintStream err, boolean serving) {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        try {
            String file = environment.get("PROXY_CONFIG");
            if (file == null) {
                throw new BadInput("PROXY_CONFIG is not set");
            }
            Proxy proxy = new Proxy(Config.read(Files.readString(Path.of(file))));
            if (serving) {
                Runtime.getRuntime().addShutdownHook(new Thread(() -> end(proxy), "drain"));
                proxy.serve();
            }
            return 0;
        } catch (IOException | RuntimeException e) {
            err.println("lemondrift serve: " + e.toString().replace('\n', ' '));
            return 1;
        }
    }

    private static void end(Proxy proxy) {
        try {
            proxy.drain();
        } catch (InterruptedException | RuntimeException e) {
            Thread.currentThread().interrupt();
        }
        // A JVM that a signal ends would exit with 143, which a platform takes for a crash.
        Runtime.getRuntime().halt(0);
    }
}
