package lemondrift.lab;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lemondrift.settings.InvalidSettingsException;

/**
 * A TOML file, its values with their units. What can't be used is one line with file, line and key.
 */
final class TomlReader {
    private static final Pattern TIME = Pattern.compile("(\\d+(?:\\.\\d+)?)(ms|s)");
    private static final Pattern SHARE = Pattern.compile("(\\d+(?:\\.\\d+)?)%");

    final JsonNode all;
    private final Path file;
    private final List<String> lines;
    private int from;

    /** Throws BadInput where the file is no TOML, IOException where it can't be read. */
    TomlReader(Path file) throws IOException {
        this.file = file;
        String text = Files.readString(file);
        lines = text.lines().toList();
        try {
            all = new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new InvalidSettingsException(file + ":" + line + ": " + e.getOriginalMessage());
        }
    }

    /**
     * From here on keys belong to the nth table with such a header; before any to the file itself.
     */
    void enters(String header, int nth) {
        for (int i = 0, seen = 0; i < lines.size(); i++) {
            if (lines.get(i).strip().startsWith(header) && seen++ == nth) {
                from = i;
            }
        }
    }

    /** The line on which a key of the present table stands, counted from one. */
    private int line(String key) {
        Pattern pattern =
                Pattern.compile("\\s*(\\[+\\s*)?\"?" + Pattern.quote(key) + "\"?\\s*(=|\\]).*");
        for (int i = from; i < lines.size(); i++) {
            if (pattern.matcher(lines.get(i)).matches()) {
                return i + 1;
            }
        }
        return from + 1;
    }

    InvalidSettingsException bad(String key, String why) {
        return new InvalidSettingsException(file + ":" + line(key) + ": " + key + ": " + why);
    }

    void known(JsonNode table, List<String> keys) {
        for (Map.Entry<String, JsonNode> each : table.properties()) {
            if (!keys.contains(each.getKey())) {
                throw bad(each.getKey(), "no such key; there are " + String.join(", ", keys));
            }
        }
    }

    /**
     * One of an enum's words in small letters; bad where there is none and nothing else is usual.
     */
    <E extends Enum<E>> E word(JsonNode table, String key, Class<E> words, E usual, String what) {
        String text = table.path(key).asText("");
        if (table.path(key).isMissingNode() && usual != null) {
            return usual;
        }
        return Arrays.stream(words.getEnumConstants())
                .filter(each -> text.equals(lower(each)))
                .findFirst()
                .orElseThrow(
                        () ->
                                bad(
                                        key,
                                        "no such "
                                                + what
                                                + ": \""
                                                + text
                                                + "\"; "
                                                + "there are "
                                                + String.join(
                                                        ", ",
                                                        Arrays.stream(words.getEnumConstants())
                                                                .map(TomlReader::lower)
                                                                .toList())));
    }

    static String lower(Enum<?> word) {
        return word.name().toLowerCase(Locale.ROOT);
    }

    boolean whether(JsonNode table, String key) {
        JsonNode value = table.path(key);
        if (!value.isMissingNode() && !value.isBoolean()) {
            throw bad(key, "neither true nor false: " + value);
        }
        return value.asBoolean();
    }

    int whole(JsonNode table, String key, int usual, int least, int most) {
        JsonNode value = table.path(key);
        if (!value.isMissingNode() && !value.isIntegralNumber()) {
            throw bad(key, "not a whole number: " + value);
        }
        return (int) number(table, key, usual, least, most);
    }

    double number(JsonNode table, String key, double usual, double least, double most) {
        JsonNode value = table.path(key);
        if (value.isMissingNode()) {
            return usual;
        } else if (!value.isNumber() || !(value.asDouble() >= least && value.asDouble() <= most)) {
            throw bad(key, "not a number from " + least + " to " + most + ": " + value);
        }
        return value.asDouble();
    }

    double time(JsonNode table, String key, double usual) {
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

    /** The same for what has to last. */
    double span(JsonNode table, String key, double usual) {
        double span = time(table, key, usual);
        if (!(span > 0)) {
            throw bad(key, "must be over 0");
        }
        return span;
    }

    double share(JsonNode table, String key, double usual) {
        JsonNode value = table.path(key);
        if (value.isMissingNode()) {
            return usual;
        }
        Matcher parts = SHARE.matcher(value.asText());
        if (!value.isTextual() || !parts.matches() || Double.parseDouble(parts.group(1)) > 100) {
            throw bad(key, "not a share such as \"30%\": " + value);
        }
        return Double.parseDouble(parts.group(1)) / 100;
    }
}
