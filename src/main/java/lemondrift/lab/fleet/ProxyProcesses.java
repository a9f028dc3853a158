package lemondrift.lab.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import lemondrift.settings.InvalidSettingsException;

/**
 * The proxies' processes, each known by the number of its proxy. They are signalled by process id,
 * and none outlives this program. All but {@link #hasEnded} runs on the process thread.
 */
final class ProxyProcesses implements AutoCloseable {
    /** What one process takes while it serves. */
    private static final int MEGABYTES_PER_PROCESS = 58;

    /** What the testbed and the machine keep. */
    private static final int RESERVED_MEGABYTES = 1024;

    private static final int KILOBYTES_PER_MEGABYTE = 1024;

    /** Within which a process has to end after SIGTERM. */
    private static final int DRAIN_TIMEOUT_SECONDS = 15;

    private static final double NANOS_PER_SECOND = 1e9;

    /** The exit value of a process that SIGTERM ended by its default. */
    private static final int SIGTERM_EXIT_CODE = 143;

    private final ProcessLauncher launcher;
    private final Path folder;
    private final ProxyConfigWriter configWriter;
    private final boolean recoveryEnabled;

    /** By proxy; null before its first start. */
    private final Process[] processes;

    /** By proxy. */
    private final boolean[] paused;

    /** By proxy, whether it was killed since its start. */
    private final boolean[] killed;

    /** By proxy, whether it has served since its start. */
    private final boolean[] served;

    /** A line on each process that did not end as it has to. */
    private final List<String> problems = new ArrayList<>();

    private final Thread shutdownHook = new Thread(this::killAll, "kill-proxies");

    /**
     * Starts none yet.
     *
     * @param recoveryEnabled whether a proxy asks its peers after its start
     * @throws InvalidSettingsException where the machine's free memory is too small for all
     * @throws IOException where that cannot be read
     */
    ProxyProcesses(
            ProcessLauncher launcher,
            Path folder,
            int proxyCount,
            ProxyConfigWriter configWriter,
            boolean recoveryEnabled)
            throws IOException {
        this.launcher = launcher;
        this.folder = folder;
        this.configWriter = configWriter;
        this.recoveryEnabled = recoveryEnabled;
        processes = new Process[proxyCount];
        paused = new boolean[proxyCount];
        killed = new boolean[proxyCount];
        served = new boolean[proxyCount];
        checkMemory(proxyCount);
        // Guards against processes left behind by an interrupted run.
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    private static void checkMemory(int proxyCount) throws IOException {
        long available = availableMegabytes();
        long needed = (long) MEGABYTES_PER_PROCESS * proxyCount + RESERVED_MEGABYTES;
        if (available < needed) {
            throw new InvalidSettingsException(
                    proxyCount
                            + " processes take some "
                            + needed
                            + " MB, and "
                            + available
                            + " MB are free");
        }
    }

    private static long availableMegabytes() throws IOException {
        return readKilobytes(Path.of("/proc/meminfo"), "MemAvailable:")
                .map(kilobytes -> kilobytes / KILOBYTES_PER_MEGABYTE)
                .orElse(Long.MAX_VALUE);
    }

    /** Reads the number of kilobytes in the line of a kernel file that starts with a key. */
    private static Optional<Long> readKilobytes(Path file, String key) throws IOException {
        try (Stream<String> lines = Files.lines(file)) {
            return lines.filter(line -> line.startsWith(key))
                    .map(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .findFirst();
        }
    }

    /** The name of a proxy, which its files have too. */
    static String proxyName(int proxy) {
        return "n" + proxy;
    }

    private Path logFile(int proxy) {
        return folder.resolve(proxyName(proxy) + ".log");
    }

    /** The last line that a proxy has logged, or why it cannot be read. Any thread. */
    String lastLogLine(int proxy) {
        try (Stream<String> lines = Files.lines(logFile(proxy))) {
            return lines.reduce((earlier, later) -> later).orElse("nothing logged");
        } catch (IOException | UncheckedIOException e) {
            return e.toString();
        }
    }

    /**
     * Starts a proxy whose former process has ended.
     *
     * @throws InvalidSettingsException where its files or its process cannot be made
     */
    void start(int proxy, ProxyEndpoints endpoints) {
        try {
            checkPreviousExit(proxy);
            Path configFile = folder.resolve(proxyName(proxy) + ".json");
            Files.writeString(configFile, configWriter.write(proxy, endpoints));
            processes[proxy] = processBuilder(proxy, configFile).start();
            paused[proxy] = false;
            killed[proxy] = false;
            served[proxy] = false;
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    "proxy " + proxy + " can't be started: " + e.getMessage());
        }
    }

    private void checkPreviousExit(int proxy) {
        if (!hasEnded(proxy) || killed[proxy] || processes[proxy].exitValue() == 0) {
            return;
        }
        // A JVM that has no handler yet ends by the signal itself, which docs/operating.md allows.
        boolean endedDuringStart =
                !served[proxy] && processes[proxy].exitValue() == SIGTERM_EXIT_CODE;
        if (!endedDuringStart) {
            problems.add(
                    "proxy "
                            + proxy
                            + " ended with "
                            + processes[proxy].exitValue()
                            + (served[proxy] ? " after it had served" : " before it served"));
        }
    }

    private ProcessBuilder processBuilder(int proxy, Path configFile) {
        ProcessBuilder builder =
                new ProcessBuilder(launcher.command())
                        .directory(launcher.folder().toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(proxy).toFile()));
        builder.environment().putAll(launcher.environment());
        if (!recoveryEnabled) {
            builder.environment().put("PROXY_RECOVERY", "");
        }
        builder.environment().put("PROXY_CONFIG", configFile.toString());
        builder.environment().put("PROXY_NAME", proxyName(proxy));
        builder.environment().put("TMPDIR", folder.toString());
        return builder;
    }

    private Optional<Process> findProcess(int proxy) {
        return Optional.ofNullable(processes[proxy]);
    }

    boolean isAlive(int proxy) {
        return findProcess(proxy).map(Process::isAlive).orElse(false);
    }

    /** Whether a process was started and has ended. Any thread. */
    boolean hasEnded(int proxy) {
        return findProcess(proxy).map(process -> !process.isAlive()).orElse(false);
    }

    /** A process has been seen to serve. */
    void markServing(int proxy) {
        served[proxy] = true;
    }

    /** Ends a process with SIGKILL, without a drain. */
    void kill(int proxy) {
        killed[proxy] = true;
        findProcess(proxy).ifPresent(Process::destroyForcibly);
    }

    /** Lets a process drain and end, with SIGTERM. */
    void stop(int proxy) {
        resume(proxy);
        findProcess(proxy).ifPresent(Process::destroy);
    }

    /** Suspends a process with its sockets open, with SIGSTOP. */
    void pause(int proxy) {
        paused[proxy] = true;
        signal(proxy, List.of("STOP"));
    }

    /** Lets a paused process go on, with SIGCONT. */
    void resume(int proxy) {
        if (paused[proxy]) {
            paused[proxy] = false;
            signal(proxy, List.of("CONT"));
        }
    }

    /** Sends a process signals such as "HUP", within milliseconds and in this order. */
    void signal(int proxy, List<String> signals) {
        if (!isAlive(proxy)) {
            return;
        }
        try {
            ProcessSignals.send(processes[proxy], signals);
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    "proxy " + proxy + " can't be sent " + signals + ": " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Seconds of a core that a process has used since its start; 0 where that is unknown. */
    double cpuSeconds(int proxy) {
        return findProcess(proxy)
                        .flatMap(process -> process.info().totalCpuDuration())
                        .map(Duration::toNanos)
                        .orElse(0L)
                / NANOS_PER_SECOND;
    }

    /** Megabytes of memory that a process holds; 0 where that is unknown. */
    double memoryMegabytes(int proxy) {
        Path status = Path.of("/proc", String.valueOf(processes[proxy].pid()), "status");
        try {
            return readKilobytes(status, "VmRSS:").orElse(0L) / (double) KILOBYTES_PER_MEGABYTE;
        } catch (IOException e) {
            return 0;
        }
    }

    /**
     * Stops all processes.
     *
     * @return a line on each that had ended by itself, did not drain in time or did not end with 0,
     *     also on those that were started again since
     */
    List<String> stopAll() throws InterruptedException {
        boolean[] crashed = new boolean[processes.length];
        for (int proxy = 0; proxy < processes.length; proxy++) {
            crashed[proxy] = hasEnded(proxy);
            stop(proxy);
        }
        for (int proxy = 0; proxy < processes.length; proxy++) {
            if (processes[proxy] != null) {
                awaitExit(proxy, crashed[proxy]).ifPresent(problems::add);
            }
        }
        return List.copyOf(problems);
    }

    private Optional<String> awaitExit(int proxy, boolean crashed) throws InterruptedException {
        Process process = processes[proxy];
        if (!process.waitFor(DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            kill(proxy);
            return Optional.of(
                    "proxy "
                            + proxy
                            + " had not ended "
                            + DRAIN_TIMEOUT_SECONDS
                            + " s after SIGTERM");
        }
        if (crashed || process.exitValue() != 0) {
            return Optional.of(
                    "proxy "
                            + proxy
                            + " ended with "
                            + process.exitValue()
                            + (crashed ? ", by itself" : ""));
        }
        return Optional.empty();
    }

    private void killAll() {
        for (int proxy = 0; proxy < processes.length; proxy++) {
            kill(proxy);
        }
    }

    /** Kills all processes. Any thread. */
    @Override
    public void close() {
        killAll();
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            // The program ends already, and the hook does the same.
        }
    }
}
