package lemondrift.proxy.config;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import lemondrift.model.Settings;
import lemondrift.settings.InvalidSettingsException;
import lemondrift.settings.SettingsReader;

/**
 * Reads the settings that are evaluated in shadow, from the file that PROXY_SHADOW names: the
 * proxy's own settings with what the file changes; docs/migration.md has them.
 */
final class ShadowSettingsFile {
    /** Keys by which requests, endpoint lists and responses are read, which the file must keep. */
    private static final String UNCHANGEABLE_KEYS =
            "(localities|zone|report\\.names|(serviceGrades|realms)\\.(count|\\d+\\.name))";

    private ShadowSettingsFile() {}

    /**
     * Reads the file.
     *
     * @param config the proxy's own configuration
     * @throws InvalidSettingsException where something cannot be used; one line with file and key
     */
    static Settings read(Path file, JsonObject config) throws IOException {
        Map<String, String> pairs = new HashMap<>();
        JsonPairs.flatten(
                "", config.has("settings") ? config.get("settings") : new JsonObject(), pairs);
        Map<String, String> ownPairs = Map.copyOf(pairs);
        JsonPairs.flatten("", SettingsFile.readObject(file), pairs);
        for (String key : pairs.keySet()) {
            if (key.matches(UNCHANGEABLE_KEYS) && !pairs.get(key).equals(ownPairs.get(key))) {
                throw new InvalidSettingsException(
                        file + ": setting " + key + ": may not differ from the program's own");
            }
        }
        try {
            return new SettingsReader(pairs).toSettings();
        } catch (InvalidSettingsException e) {
            throw new InvalidSettingsException(file + ": " + e.getMessage());
        }
    }
}
