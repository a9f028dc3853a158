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
 * Reads the settings to evaluate in shadow from the file that PROXY_SHADOW names. They are the
 * proxy's own settings with the changes in the file. docs/migration.md describes them.
 */
final class ShadowSettingsFile {
    /**
     * Keys that the file must not change, because requests, endpoint lists and responses are read
     * with them.
     */
    private static final String UNCHANGEABLE_KEYS =
            "(localities|zone|report\\.names|(serviceGrades|realms)\\.(count|\\d+\\.name))";

    private ShadowSettingsFile() {}

    /**
     * Reads the file.
     *
     * @param config the proxy's own configuration
     * @throws IOException if the file cannot be read
     * @throws InvalidSettingsException if a key or value is invalid; the message is one line with
     *     the file and the key
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
                        file
                                + ": setting "
                                + key
                                + ": must not differ from the proxy's own setting");
            }
        }
        try {
            return new SettingsReader(pairs).toSettings();
        } catch (InvalidSettingsException e) {
            throw new InvalidSettingsException(file + ": " + e.getMessage());
        }
    }
}
