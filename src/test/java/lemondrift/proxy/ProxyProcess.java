package lemondrift.proxy;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Starts proxy processes, sends signals to them and reads their logs. */
public final class ProxyProcess {
    /** Maximum time to wait for a log line. */
    private static final long LINE_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(1);

    /** Time between checks for more log output. */
    private static final long LOG_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** Lowest port for a proxy to listen on. The range is below the system's ephemeral ports. */
    private static final int MIN_LISTEN_PORT = 20_000;

    private static final int MAX_LISTEN_PORT = 30_000;

    /** Option with which a process that was started with SIGHUP ignored can handle the signal. */
    public static final String NATIVE_LIBRARY_OPTION = "-Djava.library.path=target/native";

    private ProxyProcess() {}

    /** Starts a proxy process that logs to its standard output. */
    public static Process start(Path configFile) throws IOException {
        return start(configFile, serveCommand());
    }

    /** Starts a proxy process with the shell, as the deploy file does. */
    public static Process startAsDeployed(Path configFile) throws IOException {
        return start(configFile, deployedCommand(serveCommand()));
    }

    private static List<String> serveCommand() {
        return List.of(
                javaCommand(),
                NATIVE_LIBRARY_OPTION,
                "-cp",
                System.getProperty("java.class.path"),
                "lemondrift.Main",
                "serve");
    }

    /**
     * Wraps a java command as the {@code run} entry of the deploy file does: a shell first runs the
     * commands that precede java in that entry.
     */
    public static List<String> deployedCommand(List<String> javaCommand) throws IOException {
        String deployed =
                new TomlMapper()
                        .readTree(Files.readString(Path.of("deploy/balancer.toml")))
                        .path("run")
                        .asText();
        String prefix = deployed.substring(0, deployed.indexOf("PROXY_PEERS="));
        List<String> command =
                new ArrayList<>(List.of("/bin/sh", "-c", prefix + "exec \"$@\"", "sh"));
        command.addAll(javaCommand);
        return command;
    }

    /** Starts a proxy process with further environment variables. */
    public static Process start(Path configFile, Map<String, String> environment)
            throws IOException {
        return start(configFile, serveCommand(), environment);
    }

    private static Process start(Path configFile, List<String> arguments) throws IOException {
        return start(configFile, arguments, Map.of());
    }

    private static Process start(
            Path configFile, List<String> arguments, Map<String, String> environment)
            throws IOException {
        ProcessBuilder command = new ProcessBuilder(arguments);
        command.environment().putAll(environment);
        command.environment().put("PROXY_CONFIG", configFile.toString());
        return command.redirectErrorStream(true).start();
    }

    /** Returns the path of the java command that runs the tests. */
    public static String javaCommand() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    /** Sends a signal, such as "HUP". Returns 0 if it was sent. */
    public static int signal(Process process, String name)
            throws IOException, InterruptedException {
        return new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                .start()
                .waitFor();
    }

    /**
     * Reads the log up to a line that contains a text. Fails if there is no such line within a
     * minute, for example because the process has ended or ignores a signal.
     */
    public static void awaitLine(BufferedReader log, String text) throws IOException {
        long deadline = System.nanoTime() + LINE_TIMEOUT_NANOS;
        String line = "";
        while (!line.contains(text)) {
            while (!log.ready()) {
                // The log of an ended process is never ready. Its last line shows why it ended.
                assertTrue(
                        System.nanoTime() < deadline,
                        "no line with " + text + " within a minute, last line: " + line);
                LockSupport.parkNanos(LOG_POLL_NANOS);
            }
            line = log.readLine();
            assertNotNull(line, "log ended without a line with " + text);
        }
    }

    /**
     * Returns a port that is free now. Guards against the system assigning the port to a connection
     * of another process before the proxy listens on it: the system assigns only higher ports.
     */
    public static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(MIN_LISTEN_PORT, MAX_LISTEN_PORT);
            try (ServerSocket free = new ServerSocket(port)) {
                return free.getLocalPort();
            } catch (BindException e) {
                // The port is in use. Tries another one.
            }
        }
    }
}
