package lemondrift.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.gson.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.IntStream;
import lemondrift.proxy.config.ConfigFile;
import lemondrift.settings.InvalidSettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The configuration's file, with and without its initial endpoints. */
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
    void readingWithoutInitialEndpointsKeepsAllElse(String text) throws Exception {
        JsonObject config = ConfigFile.read(environment(text));
        config.remove("known");
        assertEquals(config, ConfigFile.readWithoutInitialEndpoints(environment(text)));
    }

    @Test
    void thousandsOfInitialEndpointsAreSkipped() throws Exception {
        String endpointList =
                LoopbackFixture.list(
                        1,
                        true,
                        IntStream.range(0, 3200)
                                .mapToObj(
                                        backend ->
                                                LoopbackFixture.member(
                                                        backend, 1 + backend, "active"))
                                .toArray(String[]::new));
        JsonObject read =
                ConfigFile.readWithoutInitialEndpoints(
                        environment("{\"known\":" + endpointList + ",\"name\":\"n\"}"));
        assertEquals("{\"name\":\"n\"}", read.toString());
    }

    /** Guards against a file cut off in its initial endpoints, which lacks all that follows. */
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
    void aFileThatIsCutOffIsRefused(String text) throws Exception {
        Map<String, String> environment = environment(text);
        assertThrows(Exception.class, () -> ConfigFile.readWithoutInitialEndpoints(environment));
        assertThrows(InvalidSettingsException.class, () -> ConfigFile.read(Map.of()));
    }
}
