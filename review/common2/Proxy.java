package standin2;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** A real proxy, started with the run line of the deploy file. */
public final class Proxy {
    /** Where clients connect. */
    public final int port;

    private final Process process;
    private Process signals;
    private final int adminPort;

    /** Starts the proxy with a number and waits until it is ready. */
    public Proxy(Case frame, int number, Settings settings, Discovery discovery)
            throws IOException {
        Path root = frame.root;
        Path folder = Files.createDirectories(frame.folder.resolve("n" + number));
        port = Net.freePort();
        adminPort = Net.freePort();
        Path config = folder.resolve("config.json");
        Files.writeString(config, settings.json(
                        number, port, adminPort, discovery.port, discovery.wholeList()));
        Path temporary = Files.createDirectories(folder.resolve("tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine(root));
        builder.directory(root.toFile());
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("PROXY_NAME", "n" + number);
        builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("PROXY_DISCOVERY", "127.0.0.1:" + discovery.port);
        builder.environment().put("TMPDIR", temporary.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(new File(folder.toFile(), "proxy.log"));
        process = builder.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        double until = Net.now() + 30_000;
        while (!isReady()) {
            if (Net.now() > until || !process.isAlive()) {
                throw new IOException("the proxy is not ready");
            }
            Net.sleep(50);
        }
    }

    private static String runLine(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no run line");
    }

    private boolean isReady() {
        try {
            HttpURLConnection call =
                    (HttpURLConnection)
                            URI.create("http://127.0.0.1:" + adminPort + "/admin/health")
                                    .toURL()
                                    .openConnection();
            call.setConnectTimeout(500);
            call.setReadTimeout(500);
            return call.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal to this process, by its name without SIG; returns before it is sent. */
    public void signal(String name) throws IOException {
        // The run line ends in exec, so that the shell's process is the proxy's. The shell that
        // sends the signals is started once, as a start takes some milliseconds.
        if (signals == null) {
            signals = new ProcessBuilder("/bin/sh").start();
            Runtime.getRuntime().addShutdownHook(new Thread(signals::destroyForcibly));
        }
        signals.getOutputStream().write(("kill -" + name + " " + process.pid() + "\n").getBytes(StandardCharsets.US_ASCII));
        signals.getOutputStream().flush();
    }

    /** The process's id. */
    public long pid() {
        return process.pid();
    }

    /** Whether the process runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Ends the process. */
    public void end() {
        if (signals != null) {
            signals.destroyForcibly();
        }
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
