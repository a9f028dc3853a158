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

/** Starts the proxy from its environment variables and handles SIGTERM and SIGHUP. */
public final class ProxyLauncher {
    /** Environment variable with the descriptor of an inherited listening socket. */
    private static final String INHERITED_SOCKET_VARIABLE = "PROXY_INHERITED_FD";

    /** Maximum time to write the last log lines when the process ends, in seconds. */
    private static final double LOG_DRAIN_SECONDS = 0.05;

    private final Map<String, String> environment;

    /** Held back until the proxy serves. */
    private final CoalescingTask reload = new CoalescingTask(this::reload);

    /** Null until the start has created it. */
    private volatile ProxyServer proxyServer;

    /** Seconds from SIGTERM until which responses that have begun may be sent to their end. */
    private volatile double drainTimeoutSeconds;

    /** Null until the start has created it. */
    private volatile AsyncLog asyncLog;

    private ProxyLauncher(Map<String, String> environment) {
        this.environment = environment;
    }

    /**
     * Starts the proxy. Returns 0 once the proxy serves; its threads keep running. If it cannot
     * start, prints the reason on one line and returns 1 as the exit code.
     */
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
     * Checks the configuration without opening a socket. Returns 0 if a proxy can be created from
     * it. Otherwise prints the reason on one line and returns 1.
     */
    public static int check(Map<String, String> environment, PrintStream err) {
        configureLibraries();
        try {
            ProxyConfig config = ProxyConfig.read(environment);
            DrainTimeout.readSeconds(environment);
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
        // Keeps XNIO from registering management beans, which would take a third of the startup
        // time.
        System.setProperty("javax.management.builder.initial", "none");
    }

    /** Reports any exception that prevents the start as one line and returns the exit code. */
    private static int reportFailure(Exception cause, PrintStream err) {
        err.println("lemondrift serve: " + cause.toString().replace('\n', ' '));
        return 1;
    }

    private void start() throws IOException {
        ProxyConfig config = ProxyConfig.read(environment);
        drainTimeoutSeconds = DrainTimeout.readSeconds(environment);
        // Asynchronous: a stopped reader of the log would otherwise block each thread that logs.
        asyncLog = AsyncLog.redirectStandardError();
        ServerSocketChannel inheritedSocket = inheritedSocket(environment);
        XnioWorker worker = ProxyServer.createWorker();
        TakeoverLock takeoverLock =
                inheritedSocket == null ? null : openTakeoverLock(environment, config);
        // Before the warm-up, so that health checks during it report that the proxy is not ready.
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
     * Installs the signal handlers. Guards against a signal during the start ending the process
     * like a crash. Runs before everything else, even before the logger is created, which takes
     * time.
     */
    private void handleSignals() {
        HangUpSignal.setHandler(reload::request);
        Runtime.getRuntime().addShutdownHook(new Thread(this::onTerminate, "drain"));
    }

    /**
     * Handles SIGTERM: answers the accepted requests, writes the last log lines and exits with 0.
     * Runs as a shutdown hook of the JVM.
     */
    private void onTerminate() {
        try {
            if (proxyServer != null) {
                proxyServer.drain(drainTimeoutSeconds);
            }
        } catch (InterruptedException | RuntimeException e) {
            // Catches every exception: the process must exit with 0 even if draining failed.
            Thread.currentThread().interrupt();
        }
        if (asyncLog != null) {
            asyncLog.drain(LOG_DRAIN_SECONDS);
        }
        // A JVM ended by SIGTERM would exit with 143, which a platform would treat as a crash.
        Runtime.getRuntime().halt(0);
    }

    /**
     * Handles SIGHUP: reads the configuration again and applies it. An unusable configuration is
     * logged and changes nothing. Several signals at once, or during the start, cause a single
     * read.
     */
    private void reload() {
        try {
            proxyServer.reload(ProxyConfig.readAgain(environment, proxyServer.config()));
        } catch (IOException | RuntimeException | LinkageError e) {
            // Catches every exception: the proxy must keep serving with any content of the file.
            // LinkageError occurs if the archive of the running program was replaced and lacks a
            // class.
            proxyServer.recordReloadFailure();
            log().warn(
                            "new configuration not used, the old one stays: {}",
                            e.toString().replace('\n', ' '));
        }
    }

    /**
     * Opens the takeover lock and refreshes it at once, so that other processes of this proxy
     * detect this one at their next poll and reduce their share of the resources.
     */
    private static TakeoverLock openTakeoverLock(
            Map<String, String> environment, ProxyConfig config) {
        String folder = environment.get("TMPDIR");
        TakeoverLock takeoverLock =
                new TakeoverLock(Path.of(folder == null ? "/tmp" : folder), config.name());
        takeoverLock.refresh();
        return takeoverLock;
    }

    /**
     * Returns the listening socket that the process inherited, or null if it inherited none.
     *
     * @throws InvalidSettingsException if the descriptor is not 0, the only one that the JDK can
     *     take over, or is not a listening socket
     */
    private static ServerSocketChannel inheritedSocket(Map<String, String> environment)
            throws IOException {
        String descriptor = environment.get(INHERITED_SOCKET_VARIABLE);
        if (descriptor == null) {
            return null;
        }
        // The JDK can take over descriptor 0 only.
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

    /** Runs the warm-up and logs a failure, which must not prevent the proxy from serving. */
    private static void warmUp(ProxyConfig config) {
        try {
            Warmup.run(config);
        } catch (IOException | RuntimeException e) {
            log().warn("warm-up failed: {}", e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the logger. Not a constant: creating it takes time during which a signal would still
     * end the process.
     */
    private static Logger log() {
        return LoggerFactory.getLogger(ProxyLauncher.class);
    }
}
