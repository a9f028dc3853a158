package lemondrift.serve;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import lemondrift.settings.BadInput;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Starts the real proxy from its environment and ends it on SIGTERM. */
public final class Serve {
    private static final Logger LOG = LoggerFactory.getLogger(Serve.class);

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
        // XNIO offers its figures as management beans where it can; to set that up is a third of the start.
        System.setProperty("javax.management.builder.initial", "none");
        try {
            String file = environment.get("PROXY_CONFIG");
            if (file == null) {
                throw new BadInput("PROXY_CONFIG is not set");
            }
            Config config = Config.read(Files.readString(Path.of(file)));
            Rehearsal.play(config);
            if (serving) {
                Proxy proxy = new Proxy(config);
                LOG.info("{} starts, listens on {}", config.name(), config.listen());
                Runtime.getRuntime().addShutdownHook(new Thread(() -> end(proxy), "drain"));
                onHangUp(() -> reload(proxy, file));
                proxy.serve();
            }
            return 0;
        } catch (IOException | InterruptedException | RuntimeException e) {
            err.println("lemondrift serve: " + e.toString().replace('\n', ' '));
            return 1;
        }
    }

    /** Danger: two hang-ups in a row have a thread each, and the older file must not be followed last. */
    private static synchronized void reload(Proxy proxy, String file) {
        try {
            proxy.reload(Config.read(Files.readString(Path.of(file))));
        } catch (IOException | RuntimeException e) {
            LOG.warn("new configuration not used, the old one stays: {}", e.toString().replace('\n', ' '));
        }
    }

    /** Danger: a JVM ends on a hang-up that nobody takes. The compiler bars sun.misc by name. */
    private static void onHangUp(Runnable then) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object take = java.lang.reflect.Proxy.newProxyInstance(Serve.class.getClassLoader(),
                    new Class<?>[] {handler}, (self, method, arguments) -> {
                        then.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler).invoke(null,
                    signal.getConstructor(String.class).newInstance("HUP"), take);
        } catch (ReflectiveOperationException | RuntimeException e) {
            LOG.warn("a hang-up will end this program: {}", e.toString());
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
