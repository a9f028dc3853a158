package lemondrift.proxy.lifecycle;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import lemondrift.proxy.ProxyServer;
import lemondrift.proxy.admin.AdminServer;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.logging.AsyncLog;
import lemondrift.settings.InvalidSettingsException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioWorker;

/** Starts the real proxy from its environment and ends it on SIGTERM. */
public final class ProxyLauncher {
    private static final Logger LOG = LoggerFactory.getLogger(ProxyLauncher.class);

    /** Seconds that the log's last lines may take at the end. */
    private static final double LAST_LINES = 0.05;

    private ProxyLauncher() {}

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
        // XNIO offers its figures as management beans where it can; to set that up is a third of
        // the start.
        System.setProperty("javax.management.builder.initial", "none");
        try {
            ProxyConfig config = ProxyConfig.read(environment);
            AtomicReference<ProxyServer> proxy = new AtomicReference<>();
            AtomicBoolean hungUp = new AtomicBoolean();
            if (serving) {
                // Danger: a reader of the log that stops would stop whoever logs, and with them all
                // answers.
                AsyncLog log = AsyncLog.ofStandardError();
                // Danger: a signal that comes before there is a proxy would end the program, as a
                // crash does.
                Runtime.getRuntime()
                        .addShutdownHook(new Thread(() -> end(proxy.get(), log), "drain"));
                onHangUp(
                        () -> {
                            hungUp.set(true);
                            reload(proxy.get(), environment);
                        });
            }
            ServerSocketChannel given = given(environment.get("PROXY_INHERITED_FD"));
            XnioWorker worker = serving ? ProxyServer.worker() : null;
            TakeoverLock takeoverLock =
                    given == null ? null : meeting(environment.get("TMPDIR"), config.name());
            // Before the rehearsal, so that who asks meanwhile hears that it is not ready.
            AdminServer adminServer =
                    serving && config.admin() != null
                            ? new AdminServer(config.admin(), worker)
                            : null;
            rehearse(config);
            if (serving) {
                proxy.set(new ProxyServer(config, worker));
                if (takeoverLock != null) {
                    proxy.get().watchOtherProcesses(takeoverLock);
                }
                LOG.info("{} starts, listens on {}", config.name(), config.listen());
                proxy.get().serve(given);
                if (adminServer != null) {
                    adminServer.operates(proxy.get().adminOperations());
                }
                if (hungUp.get()) {
                    // The file may have been replaced after it was read for this start.
                    reload(proxy.get(), environment);
                }
            }
            return 0;
        } catch (IOException | RuntimeException e) {
            err.println("lemondrift serve: " + e.toString().replace('\n', ' '));
            return 1;
        }
    }

    /** Others are to know of this process as soon as it starts, so that they make room. */
    private static TakeoverLock meeting(String folder, String name) {
        TakeoverLock takeoverLock =
                new TakeoverLock(Path.of(folder == null ? "/tmp" : folder), name);
        takeoverLock.look();
        return takeoverLock;
    }

    /** The listening socket that the platform holds; null where it holds none. */
    private static ServerSocketChannel given(String descriptor) throws IOException {
        if (descriptor == null) {
            return null;
        }
        // The JDK knows the way for this descriptor only.
        if (!descriptor.equals("0")
                || !(System.inheritedChannel() instanceof ServerSocketChannel socket)) {
            throw new InvalidSettingsException(
                    "PROXY_INHERITED_FD: descriptor " + descriptor + " is no listening socket");
        }
        return socket;
    }

    /**
     * Danger: two hang-ups in a row have a thread each, and the older file must not be followed
     * last. An archive that was replaced under a running program may lack a class; that is a failed
     * reload too.
     */
    private static synchronized void reload(
            ProxyServer proxyServer, Map<String, String> environment) {
        if (proxyServer == null) {
            return;
        }
        try {
            proxyServer.reload(ProxyConfig.readAgain(environment, proxyServer.config()));
        } catch (IOException | RuntimeException | LinkageError e) {
            proxyServer.reloadFailed();
            LOG.warn(
                    "new configuration not used, the old one stays: {}",
                    e.toString().replace('\n', ' '));
        }
    }

    /** Danger: a JVM ends on a hang-up that nobody takes. The compiler bars sun.misc by name. */
    private static void onHangUp(Runnable then) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object take =
                    java.lang.reflect.Proxy.newProxyInstance(
                            ProxyLauncher.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, arguments) -> {
                                then.run();
                                return null;
                            });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), take);
        } catch (ReflectiveOperationException | RuntimeException e) {
            LOG.warn("a hang-up will end this program: {}", e.toString());
        }
    }

    /** Danger: a proxy that can't rehearse can still serve. */
    private static void rehearse(ProxyConfig config) {
        try {
            Warmup.play(config);
        } catch (IOException | RuntimeException e) {
            LOG.warn("not rehearsed: {}", e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void end(ProxyServer proxyServer, AsyncLog log) {
        try {
            if (proxyServer != null) {
                proxyServer.drain();
            }
        } catch (InterruptedException | RuntimeException e) {
            Thread.currentThread().interrupt();
        }
        log.drain(LAST_LINES);
        // A JVM that a signal ends would exit with 143, which a platform takes for a crash.
        Runtime.getRuntime().halt(0);
    }
}
