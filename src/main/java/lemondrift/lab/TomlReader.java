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
import java.util.stream.Collectors;
import lemondrift.settings.InvalidSettingsException;

/**
 * Reads values with units from a TOML file. Every method throws {@link InvalidSettingsException} if
 * a value is invalid; the message is one line with file, line and key.
 */
final class TomlReader {
    private static final Pattern DURATION = Pattern.compile("(\\d+(?:\\.\\d+)?)(ms|s)");
    private static final Pattern PERCENT = Pattern.compile("(\\d+(?:\\.\\d+)?)%");

    private final Path file;
    private final List<String> lines;
    private final JsonNode root;

    /** The index of the line at which the current table begins. */
    private int tableStart;

    /**
     * Reads a file.
     *
     * @throws InvalidSettingsException if the file is not valid TOML
     * @throws IOException if the file cannot be read
     */
    TomlReader(Path file) throws IOException {
        this.file = file;
        String text = Files.readString(file);
        lines = text.lines().toList();
        try {
            root = new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new InvalidSettingsException(file + ":" + line + ": " + e.getOriginalMessage());
        }
    }

    /** Returns the root table of the file. */
    JsonNode root() {
        return root;
    }

    /**
     * Sets the table in which messages locate the keys that are read next; initially they are
     * searched in the whole file.
     *
     * @param header the header of the table with its brackets
     * @param index the index of the table among those with this header, from 0
     */
    void enterTable(String header, int index) {
        int seen = 0;
        for (int line = 0; line < lines.size(); line++) {
            if (lines.get(line).strip().startsWith(header)) {
                tableStart = seen == index ? line : tableStart;
                seen++;
            }
        }
    }

    /**
     * Returns the number of the line, from 1, that contains a key of the current table; the first
     * line of the table if the key is not found.
     */
    private int lineNumber(String key) {
        Pattern pattern =
                Pattern.compile("\\s*(\\[+\\s*)?\"?" + Pattern.quote(key) + "\"?\\s*(=|\\]).*");
        for (int line = tableStart; line < lines.size(); line++) {
            if (pattern.matcher(lines.get(line)).matches()) {
                return line + 1;
            }
        }
        return tableStart + 1;
    }

    InvalidSettingsException invalid(String key, String reason) {
        return new InvalidSettingsException(
                file + ":" + lineNumber(key) + ": " + key + ": " + reason);
    }

    void rejectUnknownKeys(JsonNode table, List<String> knownKeys) {
        for (Map.Entry<String, JsonNode> entry : table.properties()) {
            if (!knownKeys.contains(entry.getKey())) {
                throw invalid(
                        entry.getKey(),
                        "unknown key; the valid keys are " + String.join(", ", knownKeys));
            }
        }
    }

    /**
     * Returns the enum constant whose lower-case name is the value of a key; the kind is a name of
     * the enum for messages.
     */
    <E extends Enum<E>> E enumValue(JsonNode table, String key, Class<E> type, String kind) {
        String text = table.path(key).asText("");
        for (E value : type.getEnumConstants()) {
            if (text.equals(lowerCaseName(value))) {
                return value;
            }
        }
        String names =
                Arrays.stream(type.getEnumConstants())
                        .map(TomlReader::lowerCaseName)
                        .collect(Collectors.joining(", "));
        throw invalid(key, "unknown " + kind + ": \"" + text + "\"; the valid values are " + names);
    }

    /**
     * Returns the enum constant whose lower-case name is the value of a key; the default if the key
     * is missing.
     */
    <E extends Enum<E>> E enumValue(
            JsonNode table, String key, Class<E> type, String kind, E defaultValue) {
        return table.has(key) ? enumValue(table, key, type, kind) : defaultValue;
    }

    static String lowerCaseName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    /** Returns a boolean value; false if the key is missing. */
    boolean flag(JsonNode table, String key) {
        JsonNode value = table.path(key);
        if (!value.isMissingNode() && !value.isBoolean()) {
            throw invalid(key, "expected true or false, found " + value);
        }
        return value.asBoolean();
    }

    int integer(JsonNode table, String key, int defaultValue, int min, int max) {
        JsonNode value = table.path(key);
        if (!value.isMissingNode() && !value.isIntegralNumber()) {
            throw invalid(key, "expected an integer, found " + value);
        }
        return (int) number(table, key, defaultValue, min, max);
    }

    double number(JsonNode table, String key, double defaultValue, double min, double max) {
        JsonNode value = table.path(key);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (!value.isNumber() || !(value.asDouble() >= min && value.asDouble() <= max)) {
            throw invalid(key, "expected a number from " + min + " to " + max + ", found " + value);
        }
        return value.asDouble();
    }

    /** Returns a duration such as "350ms" or "5s" in seconds; the default if the key is missing. */
    double seconds(JsonNode table, String key, double defaultSeconds) {
        JsonNode value = table.path(key);
        if (value.isMissingNode()) {
            return defaultSeconds;
        }
        Matcher duration = DURATION.matcher(value.asText());
        if (!value.isTextual() || !duration.matches()) {
            throw invalid(key, "expected a duration such as \"350ms\" or \"5s\", found " + value);
        }
        double number = Double.parseDouble(duration.group(1));
        return duration.group(2).equals("ms") ? number / 1000 : number;
    }

    /**
     * Returns a duration over 0, such as "350ms" or "5s", in seconds; the default if the key is
     * missing.
     */
    double positiveSeconds(JsonNode table, String key, double defaultSeconds) {
        double seconds = seconds(table, key, defaultSeconds);
        if (!(seconds > 0)) {
            throw invalid(key, "expected a duration over 0, found " + table.path(key));
        }
        return seconds;
    }

    /**
     * Returns a percentage such as "30%" as a share from 0 to 1; the default if the key is missing.
     */
    double share(JsonNode table, String key, double defaultShare) {
        JsonNode value = table.path(key);
        if (value.isMissingNode()) {
            return defaultShare;
        }
        Matcher percent = PERCENT.matcher(value.asText());
        if (!value.isTextual()
                || !percent.matches()
                || Double.parseDouble(percent.group(1)) > 100) {
            throw invalid(key, "expected a percentage from \"0%\" to \"100%\", found " + value);
        }
        return Double.parseDouble(percent.group(1)) / 100;
    }
}
