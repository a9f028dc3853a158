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
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Real processes of the proxy: how they start, signals to them, and lines of their log. */
public final class ProxyProcess {
    /** How long a line of the log is waited for. */
    private static final long LINE_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(1);

    /** Time between two looks whether the log has more. */
    private static final long LOG_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** The ports for a proxy to listen on; all are below those that the system gives out. */
    private static final int MIN_LISTEN_PORT = 20_000;

    private static final int MAX_LISTEN_PORT = 30_000;

    /** Lets a process that was started with SIGHUP ignored take it over. */
    public static final String NATIVE_LIBRARY_OPTION = "-Djava.library.path=target/native";

    private ProxyProcess() {}

    /** A process of the proxy, its log on its output. */
    public static Process start(Path configFile) throws IOException {
        return start(configFile, serveCommand());
    }

    /** The same, started by the shell as the deploy file says. */
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
     * A java command as {@code run} of the deploy file starts one: by the shell, which does what
     * that says before.
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

    private static Process start(Path configFile, List<String> arguments) throws IOException {
        ProcessBuilder command = new ProcessBuilder(arguments);
        command.environment().put("PROXY_CONFIG", configFile.toString());
        return command.redirectErrorStream(true).start();
    }

    /** The path of the java command that runs the tests. */
    public static String javaCommand() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    /** Sends a signal, such as "HUP"; 0 where it was sent. */
    public static int signal(Process process, String name)
            throws IOException, InterruptedException {
        return new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                .start()
                .waitFor();
    }

    /**
     * Reads the log up to a line with a text. Fails where no such line comes within a minute, as
     * where its process has ended or ignores a signal.
     */
    public static void awaitLine(BufferedReader log, String text) throws IOException {
        long deadline = System.nanoTime() + LINE_TIMEOUT_NANOS;
        String line = "";
        while (!line.contains(text)) {
            while (!log.ready()) {
                // An ended process is never ready either; its last line says why it ended.
                assertTrue(
                        System.nanoTime() < deadline,
                        "no line with " + text + " within a minute, the last one: " + line);
                LockSupport.parkNanos(LOG_POLL_NANOS);
            }
            line = log.readLine();
            assertNotNull(line, "no line with " + text);
        }
    }

    /**
     * A port that is free at this moment. Guards against a connection of another process that is
     * given the port before the proxy listens there: the system gives out higher ones only.
     */
    public static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(MIN_LISTEN_PORT, MAX_LISTEN_PORT);
            try (ServerSocket free = new ServerSocket(port)) {
                return free.getLocalPort();
            } catch (BindException e) {
                // Taken: another one is tried.
            }
        }
    }
}
