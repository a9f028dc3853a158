package lemondrift.proxy.config;

import static java.nio.charset.StandardCharsets.UTF_8;
import static lemondrift.proxy.HttpMessages.NEVER_EXECUTED;
import static lemondrift.proxy.HttpMessages.OK;
import static lemondrift.proxy.TestConfig.UNUSED_PORT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import lemondrift.proxy.LoopbackFixture;
import lemondrift.proxy.ScriptedServer;
import lemondrift.proxy.lifecycle.ProxyLauncher;
import lemondrift.shadow.ShadowEvaluator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the file with shadow settings and their evaluation in a proxy on loopback. */
class ShadowSettingsFileTest extends LoopbackFixture {
    @TempDir Path folder;

    private Map<String, String> environment(String shadowSettings) throws Exception {
        Path config = folder.resolve("config.json");
        Path shadowFile = folder.resolve("shadow.json");
        Files.writeString(config, config(UNUSED_PORT));
        Files.writeString(shadowFile, shadowSettings);
        return Map.of("PROXY_CONFIG", config.toString(), "PROXY_SHADOW", shadowFile.toString());
    }

    private String check(String shadowSettings, int exitCode) throws Exception {
        ByteArrayOutputStream errorOutput = new ByteArrayOutputStream();
        assertEquals(
                exitCode,
                ProxyLauncher.check(environment(shadowSettings), new PrintStream(errorOutput)));
        assertEquals(
                exitCode, errorOutput.toString(UTF_8).lines().count(), errorOutput.toString(UTF_8));
        return errorOutput.toString(UTF_8);
    }

    @Test
    void countsShadowDecisionsWithoutCarryingThemOut() throws Exception {
        ScriptedServer overloaded = backend(NEVER_EXECUTED);
        ProxyConfig withShadow = ProxyConfig.read(environment("{\"limits\":{\"mostForwards\":1}}"));
        configChange = config -> config.withShadow(withShadow.shadowSettings());
        start(overloaded, backend(OK));
        for (int i = 0; i < 6; i++) {
            assertEquals(
                    200,
                    sendNotIdempotent("x").statusCode(),
                    "must be retried as without shadow settings");
        }
        proxy.drain();
        ShadowEvaluator shadow = shadow();
        assertTrue(overloaded.requests.size() > 0);
        assertEquals(
                overloaded.requests.size(),
                shadow.count(ShadowEvaluator.Kind.NOT_SEND_AGAIN),
                shadow.summary());
        assertEquals(6 + overloaded.requests.size(), shadow.decisionCount(), shadow.summary());
    }

    @Test
    void evaluatesNothingInShadowWithoutFile() throws Exception {
        start(backend(OK));
        assertEquals(200, sendNotIdempotent("x").statusCode());
        assertNull(shadow());
    }

    @Test
    void rejectsUnusableSettingsInOneLineWithFileAndKey() throws Exception {
        check("{\"weights\":\"nominal\",\"siblings\":70}", 0);
        check("[]", 1);
        for (String badSetting :
                new String[] {"weights\":\"heavy\"", "siblings\":-1", "localities\":[\"b\"]"}) {
            String line = check("{\"" + badSetting + "}", 1);
            String key = badSetting.substring(0, badSetting.indexOf('"'));
            assertTrue(line.contains("shadow.json: setting " + key + ": "), line);
        }
    }
}
