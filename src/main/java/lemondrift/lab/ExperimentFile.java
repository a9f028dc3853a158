package lemondrift.lab;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import lemondrift.lab.world.Day;
import lemondrift.lab.world.Trouble;
import lemondrift.model.Settings;
import lemondrift.settings.BadInput;

/** Reads an experiment. What can't be used is one line with file, line and key. */
public final class ExperimentFile {
    private static final List<String> KEYS = List.of("about", "policies", "seeds", "expect", "world",
            "trouble");
    private static final List<String> WORLD = List.of("proxies", "backends", "cores", "load", "work",
            "spread", "tries", "way", "delay", "grace", "lasts", "locations", "probe",
            "tells");
    private static final List<String> TROUBLE = List.of("kind", "at", "lasts", "share", "strength");
    private static final Pattern TIME = Pattern.compile("(\\d+(?:\\.\\d+)?)(ms|s)");
    private static final Pattern SHARE = Pattern.compile("(\\d+(?:\\.\\d+)?)%");
    private static final Pattern EXPECTATION = Pattern.compile("(\\w+) *(>=|<=|==) *(\\d+(?:\\.\\d+)?)");

    private final Path file;
    private final List<String> lines;
    private int from;

    private ExperimentFile(Path file, List<String> lines) {
        this.file = file;
        this.lines = lines;
    }

    /** Reads one; throws BadInput where it can't be used, IOException where it can't be read. */
    public static Experiment read(Path file) throws IOException {
        String text = Files.readString(file);
        ExperimentFile its = new ExperimentFile(file, text.lines().toList());
        try {
            return its.experiment(new TomlMapper().readTree(text));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new BadInput(file + ":" + line + ": " + e.getOriginalMessage());
        }
    }

    /** All in a folder, by name. */
    public static List<Path> in(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(".toml")).sorted().toList();
        }
    }

    /** From here on keys belong to the nth table with such a header; before any to the file itself. */
    private void enters(String header, int nth) {
        for (int i = 0, seen = 0; i < lines.size(); i++) {
            if (lines.get(i).strip().startsWith(header) && seen++ == nth) {
                from = i;
            }
        }
    }

    /** The line on which a key of the present table stands, counted from one. */
    private int line(String key) {
        Pattern pattern = Pattern.compile("\\s*(\\[+\\s*)?\"?" + Pattern.quote(key) + "\"?\\s*(=|\\]).*");
        for (int i = from; i < lines.size(); i++) {
            if (pattern.matcher(lines.get(i)).matches()) {
                return i + 1;
            }
        }
        return from + 1;
    }

    private BadInput bad(String key, String why) {
        return new BadInput(file + ":" + line(key) + ": " + key + ": " + why);
    }

    private void known(JsonNode table, List<String> keys) {
        for (Map.Entry<String, JsonNode> each : table.properties()) {
            if (!keys.contains(each.getKey())) {
                throw bad(each.getKey(), "no such key; there are " + String.join(", ", keys));
            }
        }
    }

    private Experiment experiment(JsonNode all) {
        known(all, KEYS);
        List<Long> seeds = new ArrayList<>();
        all.path("seeds").forEach(seed -> seeds.add(seed.asLong()));
        List<String> policies = new ArrayList<>(List.of(Experiment.MODULE));
        for (JsonNode each : all.path("policies")) {
            if (Arrays.stream(Baseline.Kind.values()).noneMatch(kind -> kind.name().toLowerCase(Locale.ROOT)
                    .equals(each.asText())) && !each.asText().equals(Experiment.MODULE)) {
                throw bad("policies", "no such policy: " + each.asText());
            }
            if (!policies.contains(each.asText())) {
                policies.add(each.asText());
            }
        }
        List<Experiment.Expectation> expects = new ArrayList<>();
        all.path("expect").forEach(each -> expects.add(expectation(each.asText())));
        List<Trouble> troubles = new ArrayList<>();
        for (JsonNode each : all.path("trouble")) {
            enters("[[trouble]]", troubles.size());
            known(each, TROUBLE);
            troubles.add(trouble(each));
        }
        JsonNode world = all.path("world");
        enters("[world]", 0);
        known(world, WORLD);
        return new Experiment(file.getFileName().toString().replaceFirst("\\.toml$", ""),
                all.path("about").asText(), day(world, troubles), policies,
                seeds.isEmpty() ? List.of(1L) : seeds, expects, whether(world, "tells"));
    }

    private Day day(JsonNode world, List<Trouble> troubles) {
        int proxies = whole(world, "proxies", 3, 1, 500), backends = whole(world, "backends", 10, 0, 2000);
        int cores = whole(world, "cores", 2, 1, 64);
        Settings settings = Experiment.settings(proxies, whole(world, "locations", 2, 1, 64),
                number(world, "probe", 0.002, 0, 1));
        double work = time(world, "work", 0.05);
        double load = number(world, "load", 0.65, 0.01, 10);
        double rate = load * Math.max(1, backends) * cores / work;
        if (!(work > 0)) {
            throw bad("work", "must be over 0");
        }
        return new Day(settings, proxies, backends, cores, rate, work,
                number(world, "spread", 0.5, 0, 3), whole(world, "tries", 3, 1, 20),
                time(world, "way", 0.0005), time(world, "delay", 0.4), time(world, "grace", 2),
                time(world, "lasts", 20), 1, troubles);
    }

    private Trouble trouble(JsonNode table) {
        Trouble.Kind kind = Experiment.kind(table.path("kind").asText());
        if (kind == null) {
            throw bad("kind", "no such trouble: \"" + table.path("kind").asText() + "\"; there are "
                    + String.join(", ", Arrays.stream(Trouble.Kind.values())
                            .map(each -> each.name().toLowerCase(Locale.ROOT)).toList()));
        }
        double lasts = time(table, "lasts", 6);
        if (!(lasts > 0)) {
            throw bad("lasts", "must be over 0");
        }
        return new Trouble(kind, time(table, "at", 5), lasts, share(table),
                number(table, "strength", kind == Trouble.Kind.ERRORS || kind == Trouble.Kind.GRADE ? 0.8 : 3,
                        0, 1000));
    }

    private Experiment.Expectation expectation(String text) {
        Matcher parts = EXPECTATION.matcher(text);
        if (!parts.matches() || !Experiment.FIGURES.contains(parts.group(1))) {
            throw bad("expect", "not such as \"service >= 0.9\": \"" + text + "\"; figures are "
                    + String.join(", ", Experiment.FIGURES));
        }
        return new Experiment.Expectation(parts.group(1), parts.group(2), Double.parseDouble(parts.group(3)));
    }

    private boolean whether(JsonNode table, String key) {
        JsonNode value = table.path(key);
        if (!value.isMissingNode() && !value.isBoolean()) {
            throw bad(key, "neither true nor false: " + value);
        }
        return value.asBoolean();
    }

    private int whole(JsonNode table, String key, int usual, int least, int most) {
        JsonNode value = table.path(key);
        if (!value.isMissingNode() && !value.isIntegralNumber()) {
            throw bad(key, "not a whole number: " + value);
        }
        return (int) number(table, key, usual, least, most);
    }

    private double number(JsonNode table, String key, double usual, double least, double most) {
        JsonNode value = table.path(key);
        if (value.isMissingNode()) {
            return usual;
        } else if (!value.isNumber() || !(value.asDouble() >= least && value.asDouble() <= most)) {
            throw bad(key, "not a number from " + least + " to " + most + ": " + value);
        }
        return value.asDouble();
    }

    private double time(JsonNode table, String key, double usual) {
        JsonNode value = table.path(key);
        if (value.isMissingNode()) {
            return usual;
        }
        Matcher parts = TIME.matcher(value.asText());
        if (!value.isTextual() || !parts.matches()) {
            throw bad(key, "not a time such as \"350ms\" or \"5s\": " + value);
        }
        return Double.parseDouble(parts.group(1)) / (parts.group(2).equals("ms") ? 1000 : 1);
    }

    private double share(JsonNode table) {
        JsonNode value = table.path("share");
        Matcher parts = SHARE.matcher(value.asText("30%"));
        if (value.isMissingNode()) {
            return 0.3;
        } else if (!value.isTextual() || !parts.matches() || Double.parseDouble(parts.group(1)) > 100) {
            throw bad("share", "not a share such as \"30%\": " + value);
        }
        return Double.parseDouble(parts.group(1)) / 100;
    }
}
