package lemondrift.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.lifecycle.ProxyLauncher;
import lemondrift.shadow.ShadowEvaluator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The watching mode in the program, on loopback. */
class ShadowSettingsFileTest extends LoopbackFixture {
    @TempDir Path folder;

    private Map<String, String> files(String shadow) throws Exception {
        Path config = folder.resolve("config.json");
        Path other = folder.resolve("shadow.json");
        Files.writeString(config, config(1, false));
        Files.writeString(other, shadow);
        return Map.of("PROXY_CONFIG", config.toString(), "PROXY_SHADOW", other.toString());
    }

    private String check(String shadow, int code) throws Exception {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        assertEquals(code, ProxyLauncher.check(files(shadow), new PrintStream(err)));
        assertEquals(code, err.toString(UTF_8).lines().count(), err.toString(UTF_8));
        return err.toString(UTF_8);
    }

    @Test
    void whatIsWatchedIsCountedAndNotDone() throws Exception {
        StandIn full = backend(NEVER_RAN);
        ProxyConfig watched = ProxyConfig.read(files("{\"limits\":{\"mostForwards\":1}}"));
        changed = config -> config.withShadow(watched.shadow());
        start(full, backend(OK));
        for (int i = 0; i < 6; i++) {
            assertEquals(200, order("x").statusCode(), "sent again as before");
        }
        proxy.drain();
        ShadowEvaluator shadow = proxy.shadow();
        assertTrue(full.requests.size() > 0);
        assertEquals(
                full.requests.size(),
                shadow.count(ShadowEvaluator.Kind.NOT_SEND_AGAIN),
                shadow.summary());
        assertEquals(6 + full.requests.size(), shadow.decisions(), shadow.summary());
    }

    @Test
    void nobodyWatchesWhereNoFileIsNamed() throws Exception {
        start(backend(OK));
        assertEquals(200, order("x").statusCode());
        assertNull(proxy.shadow());
    }

    @Test
    void whatCannotBeWatchedIsOneLineThatNamesFileAndKey() throws Exception {
        check("{\"weights\":\"nominal\",\"siblings\":70}", 0);
        check("[]", 1);
        for (String bad :
                new String[] {"weights\":\"heavy\"", "siblings\":-1", "localities\":[\"b\"]"}) {
            String line = check("{\"" + bad + "}", 1);
            String key = bad.substring(0, bad.indexOf('"'));
            assertTrue(line.contains("shadow.json: setting " + key + ": "), line);
        }
    }
}
