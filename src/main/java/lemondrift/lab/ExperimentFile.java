package lemondrift.lab;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import lemondrift.lab.simulation.BackendFault;
import lemondrift.lab.simulation.Fault;
import lemondrift.lab.simulation.FaultTarget;
import lemondrift.lab.simulation.Scenario;
import lemondrift.model.Settings;
import lemondrift.settings.InvalidSettingsException;

/** Reads an experiment from its TOML file; docs/lab.md lists the keys and their defaults. */
public final class ExperimentFile {
    private static final List<String> ROOT_KEYS =
            List.of("about", "host", "policies", "seeds", "expect", "world", "trouble", "fault");
    private static final List<String> WORLD_KEYS =
            List.of(
                    "proxies",
                    "backends",
                    "cores",
                    "load",
                    "work",
                    "spread",
                    "tries",
                    "way",
                    "delay",
                    "grace",
                    "lasts",
                    "locations",
                    "probe",
                    "tells",
                    "recovers",
                    "contract",
                    "uneven",
                    "connections");
    private static final List<String> BACKEND_FAULT_KEYS =
            List.of("kind", "at", "lasts", "share", "strength");
    private static final List<String> FAULT_KEYS =
            List.of("kind", "channel", "from", "to", "both", "at", "lasts", "share", "by");
    private static final Pattern EXPECTATION =
            Pattern.compile("(\\w+) *(>=|<=|==) *(\\d+(?:\\.\\d+)?)");

    /** The default start of a fault, in seconds. */
    private static final double DEFAULT_FAULT_AT = 5;

    /** The default duration of a fault. */
    private static final double DEFAULT_FAULT_SECONDS = 6;

    /**
     * The seed of an experiment that names none; also the seed of a scenario until a run replaces
     * it.
     */
    private static final long DEFAULT_SEED = 1;

    private final Path file;
    private final TomlReader toml;

    private ExperimentFile(Path file) throws IOException {
        this.file = file;
        toml = new TomlReader(file);
    }

    /**
     * Reads an experiment.
     *
     * @throws InvalidSettingsException if the file contains an invalid value; the message is one
     *     line with file, line and key
     * @throws IOException if the file cannot be read
     */
    public static Experiment read(Path file) throws IOException {
        return new ExperimentFile(file).readExperiment();
    }

    /**
     * Returns the files of all experiments in a folder, sorted by name; empty if there are none.
     *
     * @throws IOException if the folder cannot be read
     */
    public static List<Path> listFiles(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(".toml")).sorted().toList();
        }
    }

    private Experiment readExperiment() {
        JsonNode root = toml.root();
        toml.rejectUnknownKeys(root, ROOT_KEYS);
        List<Long> seeds = readSeeds(root);
        Experiment.Host host =
                toml.enumValue(
                        root, "host", Experiment.Host.class, "host", Experiment.Host.VIRTUAL);
        List<String> policies = readPolicies(root);
        List<Experiment.Expectation> expectations = new ArrayList<>();
        root.path("expect").forEach(each -> expectations.add(parseExpectation(each.asText())));
        List<BackendFault> backendFaults = readBackendFaults(root);
        List<Fault> faults = readFaults(root, host);
        JsonNode world = root.path("world");
        toml.enterTable("[world]", 0);
        toml.rejectUnknownKeys(world, WORLD_KEYS);
        return new Experiment(
                file.getFileName().toString().replaceFirst("\\.toml$", ""),
                root.path("about").asText(),
                readScenario(world, backendFaults),
                policies,
                seeds,
                expectations,
                toml.flag(world, "tells"),
                toml.flag(world, world.has("recovers") ? "recovers" : "tells"),
                host,
                toml.number(world, "uneven", 0, 0, 3),
                toml.integer(world, "connections", 0, 0, 65_536),
                faults);
    }

    private static List<Long> readSeeds(JsonNode root) {
        List<Long> seeds = new ArrayList<>();
        root.path("seeds").forEach(seed -> seeds.add(seed.asLong()));
        return seeds.isEmpty() ? List.of(DEFAULT_SEED) : seeds;
    }

    private List<String> readPolicies(JsonNode root) {
        List<String> policies = new ArrayList<>(List.of(Experiment.MODULE));
        for (JsonNode each : root.path("policies")) {
            String policy = each.asText();
            if (!isPolicy(policy)) {
                throw toml.invalid("policies", "unknown policy: " + policy);
            }
            if (!policies.contains(policy)) {
                policies.add(policy);
            }
        }
        return policies;
    }

    private static boolean isPolicy(String name) {
        return name.equals(Experiment.MODULE)
                || Arrays.stream(Baseline.Kind.values())
                        .anyMatch(kind -> TomlReader.lowerCaseName(kind).equals(name));
    }

    private List<BackendFault> readBackendFaults(JsonNode root) {
        List<BackendFault> faults = new ArrayList<>();
        for (JsonNode table : root.path("trouble")) {
            toml.enterTable("[[trouble]]", faults.size());
            toml.rejectUnknownKeys(table, BACKEND_FAULT_KEYS);
            faults.add(readBackendFault(table));
        }
        return faults;
    }

    private List<Fault> readFaults(JsonNode root, Experiment.Host host) {
        List<Fault> faults = new ArrayList<>();
        for (JsonNode table : root.path("fault")) {
            toml.enterTable("[[fault]]", faults.size());
            toml.rejectUnknownKeys(table, FAULT_KEYS);
            if (host != Experiment.Host.PROCESSES) {
                throw toml.invalid("kind", "a [[fault]] requires host = \"processes\"");
            }
            faults.add(readFault(table));
        }
        return faults;
    }

    private Scenario readScenario(JsonNode world, List<BackendFault> faults) {
        int proxies = toml.integer(world, "proxies", 3, 1, 500);
        int backends = toml.integer(world, "backends", 10, 0, 2000);
        int cores = toml.integer(world, "cores", 2, 1, 64);
        Settings settings =
                Experiment.settings(
                        proxies,
                        toml.integer(world, "locations", 2, 1, 64),
                        toml.number(world, "probe", 0.002, 0, 1),
                        toml.positiveSeconds(world, "contract", 0.5));
        double workSeconds = toml.positiveSeconds(world, "work", 0.05);
        double load = toml.number(world, "load", 0.65, 0.01, 10);
        double rate = load * Math.max(1, backends) * cores / workSeconds;
        return new Scenario(
                settings,
                proxies,
                backends,
                cores,
                rate,
                workSeconds,
                toml.number(world, "spread", 0.5, 0, 3),
                toml.integer(world, "tries", 3, 1, 20),
                toml.seconds(world, "way", 0.0005),
                toml.seconds(world, "delay", 0.4),
                toml.seconds(world, "grace", 2),
                toml.seconds(world, "lasts", 20),
                DEFAULT_SEED,
                faults);
    }

    private BackendFault readBackendFault(JsonNode table) {
        BackendFault.Kind kind = toml.enumValue(table, "kind", BackendFault.Kind.class, "trouble");
        boolean strengthIsShare =
                kind == BackendFault.Kind.ERRORS || kind == BackendFault.Kind.GRADE;
        return new BackendFault(
                kind,
                toml.seconds(table, "at", DEFAULT_FAULT_AT),
                toml.positiveSeconds(table, "lasts", DEFAULT_FAULT_SECONDS),
                toml.share(table, "share", 0.3),
                toml.number(table, "strength", strengthIsShare ? 0.8 : 3, 0, 1000));
    }

    private Fault readFault(JsonNode table) {
        Fault.Kind kind = toml.enumValue(table, "kind", Fault.Kind.class, "fault");
        Fault.Channel channel =
                toml.enumValue(
                        table, "channel", Fault.Channel.class, "channel", Fault.Channel.DATAGRAMS);
        if (channel != Fault.Channel.DATAGRAMS
                && !kind.isProcessFault()
                && kind != Fault.Kind.CUT
                && kind != Fault.Kind.LATE) {
            throw toml.invalid(
                    "kind",
                    "invalid on this channel: only datagrams can have other faults than cut and"
                            + " late");
        }
        return new Fault(
                kind,
                channel,
                readTarget(table, "from"),
                readTarget(table, "to"),
                toml.flag(table, "both"),
                toml.seconds(table, "at", DEFAULT_FAULT_AT),
                toml.positiveSeconds(table, "lasts", DEFAULT_FAULT_SECONDS),
                toml.share(table, "share", 1),
                toml.seconds(table, "by", 0.2));
    }

    private FaultTarget readTarget(JsonNode table, String key) {
        FaultTarget target = FaultTarget.parse(table.path(key).asText("all"));
        if (target == null) {
            throw toml.invalid(
                    key, "expected one of " + FaultTarget.FORMS + ", found " + table.path(key));
        }
        return target;
    }

    private Experiment.Expectation parseExpectation(String text) {
        Matcher matcher = EXPECTATION.matcher(text);
        if (matcher.matches()) {
            Optional<Figure> figure = Figure.byKey(matcher.group(1));
            Optional<Experiment.Comparison> comparison =
                    Experiment.Comparison.bySymbol(matcher.group(2));
            if (figure.isPresent() && comparison.isPresent()) {
                return new Experiment.Expectation(
                        figure.get(), comparison.get(), Double.parseDouble(matcher.group(3)));
            }
        }
        throw toml.invalid(
                "expect",
                "expected a condition such as \"service >= 0.9\", found \""
                        + text
                        + "\"; the figures are "
                        + String.join(", ", Figure.keys()));
    }
}
