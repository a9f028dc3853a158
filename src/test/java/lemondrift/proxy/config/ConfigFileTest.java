package lemondrift.proxy.config;

import static lemondrift.proxy.DiscoveryMessages.activeMembers;
import static lemondrift.proxy.DiscoveryMessages.endpointList;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.gson.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.IntStream;
import lemondrift.settings.InvalidSettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests reading the configuration file with and without its initial endpoints. */
class ConfigFileTest {
    @TempDir Path folder;

    private Map<String, String> environment(String text) throws Exception {
        return Map.of("PROXY_CONFIG", Files.writeString(folder.resolve("c.json"), text).toString());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "{\"a\":{\"known\":1}}",
                "{\"known\":null,\"a\":1}",
                "{\"known\":[1,{}]}",
                "{\"a\":[1],\"known\":{\"revision\":4,\"members\":7,\"complete\":true},\"b\":\"x\"}"
            })
    void keepsAllOtherKeysWhenInitialEndpointsAreSkipped(String text) throws Exception {
        JsonObject config = ConfigFile.read(environment(text));
        config.remove("known");
        assertEquals(config, ConfigFile.readWithoutInitialEndpoints(environment(text)));
    }

    @Test
    void skipsThousandsOfInitialEndpoints() throws Exception {
        String initialEndpoints =
                endpointList(1, true, activeMembers(IntStream.rangeClosed(1, 3200).toArray()));
        JsonObject read =
                ConfigFile.readWithoutInitialEndpoints(
                        environment("{\"known\":" + initialEndpoints + ",\"name\":\"n\"}"));
        assertEquals("{\"name\":\"n\"}", read.toString());
    }

    /**
     * Guards against a file that ends within its initial endpoints and lacks all keys after them.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "7",
                "[]",
                "{\"known\":{\"members\":[1,2",
                "{\"a\":1",
                "{\"a\":1} {}",
                "{\"known\":{\"members\":[1,2]},"
            })
    void rejectsFileThatIsCutOff(String text) throws Exception {
        Map<String, String> environment = environment(text);
        assertThrows(Exception.class, () -> ConfigFile.readWithoutInitialEndpoints(environment));
        assertThrows(InvalidSettingsException.class, () -> ConfigFile.read(Map.of()));
    }
}
