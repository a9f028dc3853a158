package lemondrift.lab;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import lemondrift.lab.simulation.BackendFault;
import lemondrift.lab.simulation.Fault;
import lemondrift.lab.simulation.FaultTarget;
import lemondrift.lab.simulation.Scenario;
import lemondrift.model.Settings;

/** Reads an experiment. What can't be used is one line with file, line and key. */
public final class ExperimentFile {
    private static final List<String> KEYS =
            List.of("about", "host", "policies", "seeds", "expect", "world", "trouble", "fault");
    private static final List<String> WORLD =
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
    private static final List<String> TROUBLE = List.of("kind", "at", "lasts", "share", "strength");
    private static final List<String> FAULT =
            List.of("kind", "channel", "from", "to", "both", "at", "lasts", "share", "by");
    private static final Pattern EXPECTATION =
            Pattern.compile("(\\w+) *(>=|<=|==) *(\\d+(?:\\.\\d+)?)");

    private final Path file;
    private final TomlReader toml;

    private ExperimentFile(Path file) throws IOException {
        this.file = file;
        toml = new TomlReader(file);
    }

    /** Reads one; throws BadInput where it can't be used, IOException where it can't be read. */
    public static Experiment read(Path file) throws IOException {
        return new ExperimentFile(file).experiment();
    }

    /** All in a folder, by name. */
    public static List<Path> in(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(".toml")).sorted().toList();
        }
    }

    private Experiment experiment() {
        toml.known(toml.all, KEYS);
        List<Long> seeds = new ArrayList<>();
        toml.all.path("seeds").forEach(seed -> seeds.add(seed.asLong()));
        Experiment.Host host =
                toml.word(toml.all, "host", Experiment.Host.class, Experiment.Host.VIRTUAL, "host");
        List<String> policies = new ArrayList<>(List.of(Experiment.MODULE));
        for (JsonNode each : toml.all.path("policies")) {
            if (Arrays.stream(Baseline.Kind.values())
                            .noneMatch(kind -> TomlReader.lower(kind).equals(each.asText()))
                    && !each.asText().equals(Experiment.MODULE)) {
                throw toml.bad("policies", "no such policy: " + each.asText());
            }
            if (!policies.contains(each.asText())) {
                policies.add(each.asText());
            }
        }
        List<Experiment.Expectation> expects = new ArrayList<>();
        toml.all.path("expect").forEach(each -> expects.add(expectation(each.asText())));
        List<BackendFault> troubles = new ArrayList<>();
        for (JsonNode each : toml.all.path("trouble")) {
            toml.enters("[[trouble]]", troubles.size());
            toml.known(each, TROUBLE);
            troubles.add(trouble(each));
        }
        List<Fault> faults = new ArrayList<>();
        for (JsonNode each : toml.all.path("fault")) {
            toml.enters("[[fault]]", faults.size());
            toml.known(each, FAULT);
            if (host != Experiment.Host.PROCESSES) {
                throw toml.bad("kind", "faults need host = \"processes\"");
            }
            faults.add(fault(each));
        }
        JsonNode world = toml.all.path("world");
        toml.enters("[world]", 0);
        toml.known(world, WORLD);
        return new Experiment(
                file.getFileName().toString().replaceFirst("\\.toml$", ""),
                toml.all.path("about").asText(),
                day(world, troubles),
                policies,
                seeds.isEmpty() ? List.of(1L) : seeds,
                expects,
                toml.whether(world, "tells"),
                world.has("recovers")
                        ? toml.whether(world, "recovers")
                        : toml.whether(world, "tells"),
                host,
                toml.number(world, "uneven", 0, 0, 3),
                toml.whole(world, "connections", 0, 0, 65_536),
                faults);
    }

    private Scenario day(JsonNode world, List<BackendFault> troubles) {
        int proxies = toml.whole(world, "proxies", 3, 1, 500);
        int backends = toml.whole(world, "backends", 10, 0, 2000);
        int cores = toml.whole(world, "cores", 2, 1, 64);
        Settings settings =
                Experiment.settings(
                        proxies,
                        toml.whole(world, "locations", 2, 1, 64),
                        toml.number(world, "probe", 0.002, 0, 1),
                        toml.span(world, "contract", 0.5));
        double work = toml.span(world, "work", 0.05);
        double load = toml.number(world, "load", 0.65, 0.01, 10);
        double rate = load * Math.max(1, backends) * cores / work;
        return new Scenario(
                settings,
                proxies,
                backends,
                cores,
                rate,
                work,
                toml.number(world, "spread", 0.5, 0, 3),
                toml.whole(world, "tries", 3, 1, 20),
                toml.time(world, "way", 0.0005),
                toml.time(world, "delay", 0.4),
                toml.time(world, "grace", 2),
                toml.time(world, "lasts", 20),
                1,
                troubles);
    }

    private BackendFault trouble(JsonNode table) {
        BackendFault.Kind kind = toml.word(table, "kind", BackendFault.Kind.class, null, "trouble");
        return new BackendFault(
                kind,
                toml.time(table, "at", 5),
                toml.span(table, "lasts", 6),
                toml.share(table, "share", 0.3),
                toml.number(
                        table,
                        "strength",
                        kind == BackendFault.Kind.ERRORS || kind == BackendFault.Kind.GRADE
                                ? 0.8
                                : 3,
                        0,
                        1000));
    }

    private Fault fault(JsonNode table) {
        Fault.Kind kind = toml.word(table, "kind", Fault.Kind.class, null, "fault");
        Fault.Channel channel =
                toml.word(
                        table, "channel", Fault.Channel.class, Fault.Channel.DATAGRAMS, "channel");
        if (channel != Fault.Channel.DATAGRAMS
                && !kind.isOfProcesses()
                && kind != Fault.Kind.CUT
                && kind != Fault.Kind.LATE) {
            throw toml.bad("kind", "connections can be cut or late, nothing else");
        }
        return new Fault(
                kind,
                channel,
                who(table, "from"),
                who(table, "to"),
                toml.whether(table, "both"),
                toml.time(table, "at", 5),
                toml.span(table, "lasts", 6),
                toml.share(table, "share", 1),
                toml.time(table, "by", 0.2));
    }

    private FaultTarget who(JsonNode table, String key) {
        FaultTarget who = FaultTarget.of(table.path(key).asText("all"));
        if (who == null) {
            throw toml.bad(key, "none of " + FaultTarget.FORMS + ": " + table.path(key));
        }
        return who;
    }

    private Experiment.Expectation expectation(String text) {
        Matcher parts = EXPECTATION.matcher(text);
        if (!parts.matches() || !Experiment.FIGURES.contains(parts.group(1))) {
            throw toml.bad(
                    "expect",
                    "not such as \"service >= 0.9\": \""
                            + text
                            + "\"; figures are "
                            + String.join(", ", Experiment.FIGURES));
        }
        return new Experiment.Expectation(
                parts.group(1), parts.group(2), Double.parseDouble(parts.group(3)));
    }
}
