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

/** The configuration's file as JSON, read once for all that needs it. */
public final class ConfigFile {
    /**
     * The list of before is passed over so many lines at a time, with so many nanoseconds in
     * between.
     */
    private static final int LINES_AT_A_TIME = 64;

    private static final long BETWEEN_PARTS = 500_000;

    private ConfigFile() {}

    private static Path path(Map<String, String> environment) {
        if (environment.get("PROXY_CONFIG") == null) {
            throw new InvalidSettingsException("PROXY_CONFIG is not set");
        }
        return Path.of(environment.get("PROXY_CONFIG"));
    }

    /**
     * All of the file that PROXY_CONFIG names.
     *
     * @throws InvalidSettingsException where it is no JSON object
     */
    public static JsonObject read(Map<String, String> environment) throws IOException {
        return object(Files.readString(path(environment)));
    }

    /** The JSON object that a text is. */
    static JsonObject object(String text) {
        try {
            return JsonParser.parseString(text).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException | UnsupportedOperationException e) {
            throw unusable(e);
        }
    }

    static InvalidSettingsException unusable(Exception why) {
        return new InvalidSettingsException(
                "not the JSON object that is wanted: " + why.getMessage());
    }

    /**
     * The same without the list of before, which holds at a start only. Danger: on a large fleet it
     * is nearly all of the file, and who reads it while clients are served shares a core with those
     * who owe answers.
     */
    public static JsonObject readWithoutKnown(Map<String, String> environment) throws IOException {
        try (Reader file = Files.newBufferedReader(path(environment));
                JsonReader reader = new JsonReader(file)) {
            JsonObject all = new JsonObject();
            reader.beginObject();
            while (reader.hasNext()) {
                String name = reader.nextName();
                if (name.equals("known")) {
                    skipList(reader);
                } else {
                    all.add(name, element(reader));
                }
            }
            reader.endObject();
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new IllegalStateException("more than one object");
            }
            return all;
        } catch (JsonParseException | IllegalStateException e) {
            throw unusable(e);
        }
    }

    private static JsonElement element(JsonReader reader) {
        return JsonParser.parseReader(reader);
    }

    private static void skipList(JsonReader reader) throws IOException {
        if (reader.peek() != JsonToken.BEGIN_OBJECT) {
            reader.skipValue();
            return;
        }
        reader.beginObject();
        while (reader.hasNext()) {
            String unusedName = reader.nextName();
            if (reader.peek() == JsonToken.BEGIN_ARRAY) {
                skipLines(reader);
            } else {
                reader.skipValue();
            }
        }
        reader.endObject();
    }

    private static void skipLines(JsonReader reader) throws IOException {
        reader.beginArray();
        for (int line = 1; reader.hasNext(); line++) {
            reader.skipValue();
            if (line % LINES_AT_A_TIME == 0) {
                LockSupport.parkNanos(BETWEEN_PARTS);
            }
        }
        reader.endArray();
    }
}
