package lemondrift.proxy.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import lemondrift.settings.InvalidSettingsException;

/** What the readers of all settings files share: the file as JSON, its keys, checked values. */
final class SettingsFile {
    /** Takes one key's value. */
    interface KeyReader {
        /**
         * Reads a value; whatever it throws for one that cannot be used is reported with file and
         * key.
         */
        void read(String key, JsonElement value);
    }

    private SettingsFile() {}

    /**
     * Has each key of the file read.
     *
     * @throws InvalidSettingsException where something cannot be used; one line with file and key
     */
    static void readKeys(Path file, KeyReader reader) throws IOException {
        for (Map.Entry<String, JsonElement> entry : readObject(file).entrySet()) {
            try {
                reader.read(entry.getKey(), entry.getValue());
            } catch (InvalidSettingsException
                    | IllegalStateException
                    | UnsupportedOperationException e) {
                throw new InvalidSettingsException(
                        file + ": " + entry.getKey() + ": " + e.getMessage());
            }
        }
    }

    /**
     * The JSON object that a file holds.
     *
     * @throws InvalidSettingsException where it holds something else
     */
    static JsonObject readObject(Path file) throws IOException {
        try {
            return JsonParser.parseString(Files.readString(file)).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new InvalidSettingsException(
                    file + ": not the JSON object that is wanted: " + e.getMessage());
        }
    }

    /**
     * A number of at least min and at most max.
     *
     * @throws InvalidSettingsException where the value is something else
     */
    static double parseNumber(JsonElement value, double min, double max) {
        double number;
        try {
            number = value.getAsDouble();
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("not a number: " + value);
        }
        // Written so that NaN is out of range too.
        if (!(number >= min && number <= max)) {
            throw new InvalidSettingsException(number + " is not from " + min + " to " + max);
        }
        return number;
    }

    /**
     * True or false.
     *
     * @throws InvalidSettingsException where the value is something else
     */
    static boolean parseBoolean(JsonElement value) {
        if (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isBoolean()) {
            throw new InvalidSettingsException("neither true nor false: " + value);
        }
        return value.getAsBoolean();
    }
}
