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
 * The processes of the proxies, each identified by the number of its proxy. They are signalled by
 * process id, and none of them outlives this program. Only methods whose comment says "any thread"
 * may be called outside the process thread.
 */
final class ProxyProcesses implements AutoCloseable {
    /** The memory that one process uses while it serves. */
    private static final int MEGABYTES_PER_PROCESS = 58;

    /** The memory that is reserved for the testbed and the machine. */
    private static final int RESERVED_MEGABYTES = 1024;

    private static final int KILOBYTES_PER_MEGABYTE = 1024;

    /** The time within which a process must end after SIGTERM. */
    private static final int DRAIN_TIMEOUT_SECONDS = 15;

    private static final double NANOS_PER_SECOND = 1e9;

    /** The exit code of a process that was ended by the default action of SIGTERM. */
    private static final int SIGTERM_EXIT_CODE = 143;

    private final ProcessLauncher launcher;
    private final Path folder;
    private final ProxyConfigWriter configWriter;
    private final boolean recoveryEnabled;

    /** Indexed by proxy number; null before the first start. */
    private final Process[] processes;

    /** Whether each process is paused, indexed by proxy number. */
    private final boolean[] paused;

    /** Whether each process was killed since its start, indexed by proxy number. */
    private final boolean[] killed;

    /** Whether each process has served since its start, indexed by proxy number. */
    private final boolean[] served;

    /** One line for each process that did not exit as required. */
    private final List<String> problems = new ArrayList<>();

    private final Thread shutdownHook = new Thread(this::killAll, "kill-proxies");

    /**
     * Checks that the machine has enough free memory; starts no process.
     *
     * @param recoveryEnabled whether a proxy recovers with the help of its peers after its start
     * @throws InvalidSettingsException if the machine has too little free memory for all processes
     * @throws IOException if the free memory cannot be read
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
        // Guards against processes that an interrupted run leaves running.
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    private static void checkMemory(int proxyCount) throws IOException {
        long available = availableMegabytes();
        long needed = (long) MEGABYTES_PER_PROCESS * proxyCount + RESERVED_MEGABYTES;
        if (available < needed) {
            throw new InvalidSettingsException(
                    proxyCount
                            + " proxy processes need about "
                            + needed
                            + " MB of memory, but only "
                            + available
                            + " MB are free");
        }
    }

    private static long availableMegabytes() throws IOException {
        return readKilobytes(Path.of("/proc/meminfo"), "MemAvailable:")
                .map(kilobytes -> kilobytes / KILOBYTES_PER_MEGABYTE)
                .orElse(Long.MAX_VALUE);
    }

    /**
     * Reads the number of kilobytes in the line of a kernel file that starts with a key; empty if
     * there is no such line.
     */
    private static Optional<Long> readKilobytes(Path file, String key) throws IOException {
        try (Stream<String> lines = Files.lines(file)) {
            return lines.filter(line -> line.startsWith(key))
                    .map(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .findFirst();
        }
    }

    /** Returns the name of a proxy, which is also the base name of its files. */
    static String proxyName(int proxy) {
        return "n" + proxy;
    }

    private Path logFile(int proxy) {
        return folder.resolve(proxyName(proxy) + ".log");
    }

    /**
     * Returns the last line that a proxy has logged, or the reason why its log cannot be read. Any
     * thread.
     */
    String lastLogLine(int proxy) {
        try (Stream<String> lines = Files.lines(logFile(proxy))) {
            return lines.reduce((earlier, later) -> later).orElse("nothing logged");
        } catch (IOException | UncheckedIOException e) {
            return e.toString();
        }
    }

    /**
     * Starts a proxy whose previous process has ended.
     *
     * @throws InvalidSettingsException if its configuration cannot be written or its process cannot
     *     be started
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
        // A JVM that has no signal handler yet is ended by the signal itself, which
        // docs/operating.md allows.
        boolean endedDuringStart =
                !served[proxy] && processes[proxy].exitValue() == SIGTERM_EXIT_CODE;
        if (!endedDuringStart) {
            problems.add(
                    "proxy "
                            + proxy
                            + " exited with code "
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

    /** Returns whether a process was started and has ended. Any thread. */
    boolean hasEnded(int proxy) {
        return findProcess(proxy).map(process -> !process.isAlive()).orElse(false);
    }

    /** Records that a process has served. */
    void markServing(int proxy) {
        served[proxy] = true;
    }

    /** Ends a process with SIGKILL, without draining. */
    void kill(int proxy) {
        killed[proxy] = true;
        findProcess(proxy).ifPresent(Process::destroyForcibly);
    }

    /** Sends SIGTERM to a process, which then drains and ends. */
    void stop(int proxy) {
        resume(proxy);
        findProcess(proxy).ifPresent(Process::destroy);
    }

    /** Suspends a process with SIGSTOP; its sockets stay open. */
    void pause(int proxy) {
        paused[proxy] = true;
        signal(proxy, List.of("STOP"));
    }

    /** Resumes a paused process with SIGCONT. */
    void resume(int proxy) {
        if (paused[proxy]) {
            paused[proxy] = false;
            signal(proxy, List.of("CONT"));
        }
    }

    /**
     * Sends signals such as "HUP" to a process, within milliseconds and in the given order; does
     * nothing if the process is not alive.
     *
     * @throws InvalidSettingsException if the signals cannot be sent
     */
    void signal(int proxy, List<String> signals) {
        if (!isAlive(proxy)) {
            return;
        }
        try {
            ProcessSignals.send(processes[proxy], signals);
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    "signals "
                            + signals
                            + " can't be sent to proxy "
                            + proxy
                            + ": "
                            + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the CPU time in seconds that a process has used since its start; 0 if it is unknown.
     */
    double cpuSeconds(int proxy) {
        return findProcess(proxy)
                        .flatMap(process -> process.info().totalCpuDuration())
                        .map(Duration::toNanos)
                        .orElse(0L)
                / NANOS_PER_SECOND;
    }

    /** Returns the resident memory of a process in megabytes; 0 if it is unknown. */
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
     * @return one line for each process that had ended before it was stopped, did not drain in time
     *     or did not exit with 0, including earlier processes of proxies that were started again
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
                            + " did not exit within "
                            + DRAIN_TIMEOUT_SECONDS
                            + " s after SIGTERM");
        }
        if (crashed || process.exitValue() != 0) {
            return Optional.of(
                    "proxy "
                            + proxy
                            + " exited with code "
                            + process.exitValue()
                            + (crashed ? " before it was stopped" : ""));
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
            // The program is already ending, and the hook kills the processes too.
        }
    }
}
