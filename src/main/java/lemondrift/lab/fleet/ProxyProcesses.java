package lemondrift.lab.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import lemondrift.lab.Experiment;
import lemondrift.lab.simulation.Scenario;
import lemondrift.model.DeduplicationScope;
import lemondrift.model.Idempotency;
import lemondrift.model.RequestClass;
import lemondrift.settings.InvalidSettingsException;

/**
 * The proxies' processes, each known by its number. They are started, killed, stopped, paused and
 * woken by id, and none outlives this program.
 */
public final class ProxyProcesses implements AutoCloseable {
    /** Megabytes that one takes while it serves, and that the testbed and the machine keep. */
    private static final int EACH = 58;

    private static final int KEPT = 1024;

    /** Seconds after SIGTERM within which one has to have ended. */
    private static final int DRAIN = 15;

    private static final ObjectMapper JSON = new ObjectMapper();

    /** What one process is told of where it stands. */
    record Place(
            InetSocketAddress listen,
            InetSocketAddress hears,
            InetSocketAddress discovery,
            String known) {}

    private final ProcessLauncher launcher;
    private final Path folder;
    private final Scenario scenario;
    private final boolean tells;
    private final boolean recovers;
    private final List<String> peers;
    private final Process[] all;
    private final boolean[] paused;
    private final Thread end = new Thread(this::killAll, "end");
    private int starts;

    /**
     * Their files go into a folder; peers are all proxies' addresses for datagrams, as they see
     * them.
     */
    ProxyProcesses(
            ProcessLauncher launcher,
            Path folder,
            Scenario scenario,
            boolean tells,
            boolean recovers,
            List<String> peers)
            throws IOException {
        this.launcher = launcher;
        this.folder = folder;
        this.scenario = scenario;
        this.tells = tells;
        this.recovers = recovers;
        this.peers = peers;
        all = new Process[scenario.proxies()];
        paused = new boolean[scenario.proxies()];
        long free = free();
        long wanted = (long) EACH * scenario.proxies() + KEPT;
        if (free < wanted) {
            throw new InvalidSettingsException(
                    scenario.proxies()
                            + " processes take some "
                            + wanted
                            + " MB, and "
                            + free
                            + " MB are free");
        }
        // Guards against processes left behind by an interrupted run.
        Runtime.getRuntime().addShutdownHook(end);
    }

    /** Megabytes that the machine has free. */
    private static long free() throws IOException {
        try (Stream<String> lines = Files.lines(Path.of("/proc/meminfo"))) {
            return lines.filter(line -> line.startsWith("MemAvailable:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) / 1024)
                    .findFirst()
                    .orElse(Long.MAX_VALUE);
        }
    }

    /** Starts one, whose former process has ended. */
    void start(int p, Place place) {
        try {
            Path file = Files.writeString(folder.resolve("n" + p + ".json"), config(p, place));
            ProcessBuilder builder =
                    new ProcessBuilder(launcher.command())
                            .directory(launcher.folder().toFile())
                            .redirectErrorStream(true)
                            .redirectOutput(
                                    ProcessBuilder.Redirect.appendTo(
                                            folder.resolve("n" + p + ".log").toFile()));
            builder.environment().putAll(launcher.environment());
            if (!recovers) {
                builder.environment().put("PROXY_RECOVERY", "");
            }
            builder.environment().put("PROXY_CONFIG", file.toString());
            builder.environment().put("PROXY_NAME", "n" + p);
            builder.environment().put("TMPDIR", folder.toString());
            all[p] = builder.start();
            paused[p] = false;
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    "proxy " + p + " can't be started: " + e.getMessage());
        }
    }

    private String config(int p, Place place) throws IOException {
        ObjectNode root = JSON.createObjectNode();
        root.put("name", "n" + p)
                .put("listen", LoopbackAddresses.text(place.listen))
                .put("discovery", LoopbackAddresses.text(place.discovery))
                .put("seed", Long.toHexString(1000L * p + ++starts));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 1024);
        root.put("peer_listen", LoopbackAddresses.text(place.hears));
        ArrayNode others = root.putArray("peers");
        peers.forEach(others::add);
        root.set("known", JSON.readTree(place.known));
        settings(p, root.putObject("settings"));
        return root.toString();
    }

    private void settings(int p, ObjectNode to) {
        int locations = scenario.settings().locationCount();
        to.put("siblings", scenario.settings().proxyCount())
                .put("zone", p % locations)
                .put("slotNo", p);
        ArrayNode names = to.putArray("localities");
        for (int i = 0; i < locations; i++) {
            names.add("l" + i);
        }
        to.put("membershipMode", "pushed");
        to.putObject("limits")
                .put("mayCancel", scenario.settings().limits().canCancel())
                .put("probes", scenario.settings().limits().canProbe())
                .put("mostForwards", scenario.settings().limits().maxAttempts())
                .put("retryAfter", true)
                .put("maxRetryAfter", 1000 * scenario.settings().limits().maxRetryAfterSeconds())
                .put("connIdle", 10_000)
                .put("connectTimeout", 250)
                .put("mayTell", tells);
        to.putObject("invariants")
                .put("coldFrom", scenario.settings().rules().slowStartMinShare())
                .put("cold", 1000 * scenario.settings().rules().slowStartSeconds())
                .put("fallMultiple", scenario.settings().rules().overloadFactor())
                .put("overloadFor", 1000 * scenario.settings().rules().overloadWindowSeconds());
        to.putObject("report").put("how", "inline").putArray("names").add("util").add("queue");
        to.putObject("charges")
                .put("crossZone", scenario.settings().costs().crossZone())
                .put("probe", scenario.settings().costs().probe());
        ArrayNode grades = to.putArray("serviceGrades");
        for (int i = 0; i < scenario.settings().requestClasses().size(); i++) {
            RequestClass requestClass = scenario.settings().requestClasses().get(i);
            grades.addObject()
                    .put("name", Experiment.GRADES.get(i))
                    .put("benefit", requestClass.priorityWeight())
                    .put("contractTime", 1000 * requestClass.latencyObjectiveSeconds())
                    .put("expiry", 1000 * requestClass.timeoutSeconds())
                    .put(
                            "effect",
                            requestClass.idempotency() == Idempotency.IDEMPOTENT
                                    ? "retryable"
                                    : requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                                            ? "dedup"
                                            : "fragile")
                    .put(
                            "group",
                            requestClass.deduplicationScope() == DeduplicationScope.ALL
                                    ? "all"
                                    : "zone")
                    .put("keyTtl", 1000 * requestClass.idempotencyKeyTtlSeconds());
        }
    }

    boolean isAlive(int p) {
        return all[p] != null && all[p].isAlive();
    }

    /** Outright, as power does; nothing is drained or told. */
    void kill(int p) {
        if (all[p] != null) {
            all[p].destroyForcibly();
        }
    }

    /** With SIGTERM; it drains. */
    void stop(int p) {
        wake(p);
        if (all[p] != null) {
            all[p].destroy();
        }
    }

    /** It stands still, its sockets open, until it is woken. */
    void pause(int p) {
        paused[p] = true;
        signal(p, "STOP");
    }

    void wake(int p) {
        if (paused[p]) {
            paused[p] = false;
            signal(p, "CONT");
        }
    }

    /** It is to read its configuration again. */
    void hangUp(int p) {
        signal(p, "HUP");
    }

    private void signal(int p, String name) {
        if (isAlive(p)) {
            try {
                new ProcessBuilder("kill", "-" + name, String.valueOf(all[p].pid()))
                        .start()
                        .waitFor();
            } catch (IOException e) {
                throw new InvalidSettingsException(
                        "proxy " + p + " can't be sent " + name + ": " + e.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Seconds of a processor that one has used since its start. */
    double cpu(int p) {
        return all[p] == null
                ? 0
                : all[p].info().totalCpuDuration().map(Duration::toNanos).orElse(0L) / 1e9;
    }

    /** Megabytes that one holds. */
    double memory(int p) {
        try (Stream<String> lines =
                Files.lines(Path.of("/proc", String.valueOf(all[p].pid()), "status"))) {
            return lines.filter(line -> line.startsWith("VmRSS:"))
                            .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                            .findFirst()
                            .orElse(0)
                    / 1024.0;
        } catch (IOException e) {
            return 0;
        }
    }

    /** Whether one has ended though nobody wanted it to. */
    boolean hasCrashed(int p) {
        return all[p] != null && !all[p].isAlive();
    }

    /** Stops all; which of them had ended by themselves, did not drain or did not end with 0. */
    List<String> stopAll() throws InterruptedException {
        List<String> wrong = new ArrayList<>();
        boolean[] crashed = new boolean[all.length];
        for (int p = 0; p < all.length; p++) {
            crashed[p] = hasCrashed(p);
            stop(p);
        }
        for (int p = 0; p < all.length; p++) {
            if (all[p] != null && !all[p].waitFor(DRAIN, TimeUnit.SECONDS)) {
                wrong.add("proxy " + p + " had not ended " + DRAIN + " s after SIGTERM");
                kill(p);
            } else if (all[p] != null && (crashed[p] || all[p].exitValue() != 0)) {
                wrong.add(
                        "proxy "
                                + p
                                + " ended with "
                                + all[p].exitValue()
                                + (crashed[p] ? ", by itself" : ""));
            }
        }
        return wrong;
    }

    private void killAll() {
        for (int p = 0; p < all.length; p++) {
            kill(p);
        }
    }

    @Override
    public void close() {
        killAll();
        try {
            Runtime.getRuntime().removeShutdownHook(end);
        } catch (IllegalStateException e) {
            // The program ends already, and the hook has done or does the same.
        }
    }
}
