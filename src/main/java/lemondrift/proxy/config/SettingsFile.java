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

/** Reads a settings file as JSON and checks its values. Used by the readers of all such files. */
final class SettingsFile {
    /** Reads the value of one key. */
    interface KeyReader {
        /**
         * Reads a value.
         *
         * @throws InvalidSettingsException if the key or value is invalid; it is reported with the
         *     file and the key, as are an IllegalStateException or UnsupportedOperationException,
         *     which Gson throws for a value of another type
         */
        void read(String key, JsonElement value);
    }

    private SettingsFile() {}

    /**
     * Passes each key of the file and its value to a reader.
     *
     * @throws IOException if the file cannot be read
     * @throws InvalidSettingsException if the file is not a JSON object or the reader rejects a key
     *     or value; the message is one line with the file and the key
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
     * Reads the JSON object in a file.
     *
     * @throws IOException if the file cannot be read
     * @throws InvalidSettingsException if the file contains anything other than a JSON object
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
     * Returns a value as a number from min to max.
     *
     * @throws InvalidSettingsException if the value is a boolean, text that is not a number, or out
     *     of range
     * @throws UnsupportedOperationException if the value is a JSON object or null
     * @throws IllegalStateException if the value is a JSON array that does not have one element
     */
    static double parseNumber(JsonElement value, double min, double max) {
        double number;
        try {
            number = value.getAsDouble();
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("not a number: " + value);
        }
        // Negated so that NaN is out of range as well.
        if (!(number >= min && number <= max)) {
            throw new InvalidSettingsException(number + ": must be from " + min + " to " + max);
        }
        return number;
    }

    /**
     * Returns a value as a boolean.
     *
     * @throws InvalidSettingsException if the value is not a JSON boolean
     */
    static boolean parseBoolean(JsonElement value) {
        if (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isBoolean()) {
            throw new InvalidSettingsException("must be true or false: " + value);
        }
        return value.getAsBoolean();
    }
}
