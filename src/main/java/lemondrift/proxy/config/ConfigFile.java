package lemondrift.proxy.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import lemondrift.settings.InvalidSettingsException;

/** Reads the configuration file as JSON, with or without its initial endpoints. */
public final class ConfigFile {
    /** The environment variable that names the file. */
    private static final String VARIABLE = "PROXY_CONFIG";

    /** Key of the endpoint list known before the start, which makes up most of the file. */
    static final String INITIAL_ENDPOINTS = "known";

    /** Number of endpoints to skip before pausing, so that other threads get the core. */
    private static final int ENDPOINTS_PER_STEP = 64;

    /** Length of each pause, in nanoseconds. */
    private static final long STEP_PAUSE_NANOS = 500_000;

    private ConfigFile() {}

    private static Path path(Map<String, String> environment) {
        if (environment.get(VARIABLE) == null) {
            throw new InvalidSettingsException(VARIABLE + " is not set");
        }
        return Path.of(environment.get(VARIABLE));
    }

    /**
     * Reads the whole file that PROXY_CONFIG names.
     *
     * @throws IOException if the file cannot be read
     * @throws InvalidSettingsException if PROXY_CONFIG is not set or the file is not a JSON object
     */
    public static JsonObject read(Map<String, String> environment) throws IOException {
        return parseObject(Files.readString(path(environment)));
    }

    /**
     * Parses a JSON object.
     *
     * @throws InvalidSettingsException if the text is not a JSON object
     */
    static JsonObject parseObject(String text) {
        try {
            return JsonParser.parseString(text).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException | UnsupportedOperationException e) {
            throw notAnObject(e);
        }
    }

    static InvalidSettingsException notAnObject(Exception cause) {
        return new InvalidSettingsException(
                "not the JSON object that is wanted: " + cause.getMessage());
    }

    /**
     * Reads the file without the initial endpoints, which are used only at the start. Guards
     * against requests waiting for the core while thousands of endpoints are read.
     *
     * @throws IOException if the file cannot be read or parsed
     * @throws InvalidSettingsException if PROXY_CONFIG is not set or the file is not one JSON
     *     object
     */
    public static JsonObject readWithoutInitialEndpoints(Map<String, String> environment)
            throws IOException {
        try (Reader file = Files.newBufferedReader(path(environment));
                JsonReader reader = new JsonReader(file)) {
            JsonObject config = new JsonObject();
            reader.beginObject();
            while (reader.hasNext()) {
                String key = reader.nextName();
                if (key.equals(INITIAL_ENDPOINTS)) {
                    skipEndpointList(reader);
                } else {
                    config.add(key, readValue(reader));
                }
            }
            reader.endObject();
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new IllegalStateException("text after the end of the object");
            }
            return config;
        } catch (JsonParseException | IllegalStateException e) {
            throw notAnObject(e);
        }
    }

    private static JsonElement readValue(JsonReader reader) {
        return JsonParser.parseReader(reader);
    }

    private static void skipEndpointList(JsonReader reader) throws IOException {
        if (reader.peek() != JsonToken.BEGIN_OBJECT) {
            reader.skipValue();
            return;
        }
        reader.beginObject();
        while (reader.hasNext()) {
            String unusedKey = reader.nextName();
            if (reader.peek() == JsonToken.BEGIN_ARRAY) {
                skipEndpoints(reader);
            } else {
                reader.skipValue();
            }
        }
        reader.endObject();
    }

    private static void skipEndpoints(JsonReader reader) throws IOException {
        reader.beginArray();
        for (int skipped = 1; reader.hasNext(); skipped++) {
            reader.skipValue();
            if (skipped % ENDPOINTS_PER_STEP == 0) {
                LockSupport.parkNanos(STEP_PAUSE_NANOS);
            }
        }
        reader.endArray();
    }
}
