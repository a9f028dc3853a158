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
 * Reads the settings that are watched: what differs from the program's own; docs/migration.md has
 * them.
 */
final class ShadowSettingsFile {
    /** What clients, lists and answers say is read by the program's own settings. */
    private static final String FIXED =
            "(localities|zone|report\\.names|(serviceGrades|realms)\\.(count|\\d+\\.name))";

    private ShadowSettingsFile() {}

    public static Settings read(Path file, JsonObject whole) throws IOException {
        Map<String, String> pairs = new HashMap<>();
        ProxyConfig.flatten(
                "", whole.has("settings") ? whole.get("settings") : new JsonObject(), pairs);
        Map<String, String> own = Map.copyOf(pairs);
        ProxyConfig.flatten("", ConnectionSettingsFile.object(file), pairs);
        for (String key : pairs.keySet()) {
            if (key.matches(FIXED) && !pairs.get(key).equals(own.get(key))) {
                throw new InvalidSettingsException(
                        file + ": setting " + key + ": may not differ from the program's own");
            }
        }
        try {
            return new SettingsReader(pairs).settings();
        } catch (InvalidSettingsException e) {
            throw new InvalidSettingsException(file + ": " + e.getMessage());
        }
    }
}
