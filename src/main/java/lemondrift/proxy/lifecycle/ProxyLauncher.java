package lemondrift.proxy.lifecycle;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.Map;
import lemondrift.proxy.ProxyServer;
import lemondrift.proxy.admin.AdminServer;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.logging.AsyncLog;
import lemondrift.settings.InvalidSettingsException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioWorker;

/** Starts the proxy from its environment; handles SIGTERM and SIGHUP. */
public final class ProxyLauncher {
    /** Names the descriptor of a listening socket that the platform holds. */
    private static final String INHERITED_SOCKET_VARIABLE = "PROXY_INHERITED_FD";

    /** Seconds that the log's last lines may take at the end. */
    private static final double LOG_DRAIN_SECONDS = 0.05;

    private final Map<String, String> environment;

    /** Held back until the proxy serves. */
    private final CoalescingTask reload = new CoalescingTask(this::reload);

    /** Null until the start has come that far. */
    private volatile ProxyServer proxyServer;

    /** Null until the start has come that far. */
    private volatile AsyncLog asyncLog;

    private ProxyLauncher(Map<String, String> environment) {
        this.environment = environment;
    }

    /** Returns an exit code where the proxy can't start, else 0, and the proxy runs on. */
    public static int run(Map<String, String> environment, PrintStream err) {
        ProxyLauncher launcher = new ProxyLauncher(environment);
        launcher.handleSignals();
        configureLibraries();
        try {
            launcher.start();
            return 0;
        } catch (IOException | RuntimeException e) {
            return reportFailure(e, err);
        }
    }

    /**
     * Returns 0 where a proxy can be made of the configuration, else 1 and a line that says why;
     * opens no socket.
     */
    public static int check(Map<String, String> environment, PrintStream err) {
        configureLibraries();
        try {
            ProxyConfig config = ProxyConfig.read(environment);
            if (inheritedSocket(environment) != null) {
                openTakeoverLock(environment, config);
            }
            warmUp(config);
            return 0;
        } catch (IOException | RuntimeException e) {
            return reportFailure(e, err);
        }
    }

    private static void configureLibraries() {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        // XNIO offers its figures as management beans where it can; to set that up is a third of
        // the start.
        System.setProperty("javax.management.builder.initial", "none");
    }

    /** Wide by intent: whatever keeps the proxy from starting is one line and an exit code. */
    private static int reportFailure(Exception cause, PrintStream err) {
        err.println("lemondrift serve: " + cause.toString().replace('\n', ' '));
        return 1;
    }

    private void start() throws IOException {
        ProxyConfig config = ProxyConfig.read(environment);
        // Asynchronous, as a stopped reader of the log would stop each thread that logs.
        asyncLog = AsyncLog.redirectStandardError();
        ServerSocketChannel inheritedSocket = inheritedSocket(environment);
        XnioWorker worker = ProxyServer.createWorker();
        TakeoverLock takeoverLock =
                inheritedSocket == null ? null : openTakeoverLock(environment, config);
        // Before the warm-up, so that who asks meanwhile hears that the proxy is not ready.
        AdminServer adminServer =
                config.admin() == null ? null : new AdminServer(config.admin(), worker);
        warmUp(config);
        ProxyServer server = new ProxyServer(config, worker);
        proxyServer = server;
        if (takeoverLock != null) {
            server.watchOtherProcesses(takeoverLock);
        }
        log().info("{} starts, listens on {}", config.name(), config.listen());
        server.serve(inheritedSocket);
        if (adminServer != null) {
            adminServer.setOperations(server.adminOperations());
        }
        reload.release();
    }

    /**
     * Guards against a signal during the start, which would end the process as a crash: before all
     * else, the logger included, which takes its time.
     */
    private void handleSignals() {
        HangUpSignal.setHandler(reload::request);
        Runtime.getRuntime().addShutdownHook(new Thread(this::onTerminate, "drain"));
    }

    /**
     * SIGTERM: answers what was accepted, writes the log's last lines and exits with 0. Runs as the
     * JVM's shutdown hook.
     */
    private void onTerminate() {
        try {
            if (proxyServer != null) {
                proxyServer.drain();
            }
        } catch (InterruptedException | RuntimeException e) {
            // Wide, as the process ends with 0 whatever failed on the way.
            Thread.currentThread().interrupt();
        }
        if (asyncLog != null) {
            asyncLog.drain(LOG_DRAIN_SECONDS);
        }
        // A JVM that a signal ends would exit with 143, which a platform takes for a crash.
        Runtime.getRuntime().halt(0);
    }

    /**
     * SIGHUP: reads the configuration again and applies it; one that can't be used changes nothing
     * and leaves a line in the log. Several at once, or during the start, cost one reading.
     */
    private void reload() {
        try {
            proxyServer.reload(ProxyConfig.readAgain(environment, proxyServer.config()));
        } catch (IOException | RuntimeException | LinkageError e) {
            // Wide, as the proxy serves on whatever the file holds; LinkageError where the archive
            // was replaced under the running program and lacks a class.
            proxyServer.recordReloadFailure();
            log().warn(
                            "new configuration not used, the old one stays: {}",
                            e.toString().replace('\n', ' '));
        }
    }

    /** Tells other processes of this proxy at once that this one starts, so that they make room. */
    private static TakeoverLock openTakeoverLock(
            Map<String, String> environment, ProxyConfig config) {
        String folder = environment.get("TMPDIR");
        TakeoverLock takeoverLock =
                new TakeoverLock(Path.of(folder == null ? "/tmp" : folder), config.name());
        takeoverLock.refresh();
        return takeoverLock;
    }

    /**
     * The listening socket that the platform holds for this proxy; null where it holds none.
     *
     * @throws InvalidSettingsException where the descriptor is another one than the JDK can take
     *     over, or no listening socket
     */
    private static ServerSocketChannel inheritedSocket(Map<String, String> environment)
            throws IOException {
        String descriptor = environment.get(INHERITED_SOCKET_VARIABLE);
        if (descriptor == null) {
            return null;
        }
        // The JDK takes over this descriptor only.
        if (!descriptor.equals("0")
                || !(System.inheritedChannel() instanceof ServerSocketChannel socket)) {
            throw new InvalidSettingsException(
                    INHERITED_SOCKET_VARIABLE
                            + ": descriptor "
                            + descriptor
                            + " is no listening socket");
        }
        return socket;
    }

    /** Guards against a failed warm-up keeping the proxy from serving, which it can without. */
    private static void warmUp(ProxyConfig config) {
        try {
            Warmup.run(config);
        } catch (IOException | RuntimeException e) {
            log().warn("warm-up failed: {}", e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Not a constant: to make it takes time in which a signal would still end the process. */
    private static Logger log() {
        return LoggerFactory.getLogger(ProxyLauncher.class);
    }
}
