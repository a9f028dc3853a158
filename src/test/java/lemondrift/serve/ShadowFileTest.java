package lemondrift.serve;

import static org.junit.jupiter.api.Assertions.*;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import lemondrift.shadow.Shadow;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The watching mode in the program, on loopback. */
class ShadowFileTest extends Loopback {
    @TempDir
    Path folder;

    private Map<String, String> files(String shadow) throws Exception {
        Path config = folder.resolve("config.json"), other = folder.resolve("shadow.json");
        Files.writeString(config, config(1, false));
        Files.writeString(other, shadow);
        return Map.of("PROXY_CONFIG", config.toString(), "PROXY_SHADOW", other.toString());
    }

    private static String check(Map<String, String> environment, int code) {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        assertEquals(code, Serve.check(environment, new PrintStream(err)));
        return err.toString();
    }

    @Test
    void whatIsWatchedIsCountedAndNotDone() throws Exception {
        StandIn full = backend(NEVER_RAN), sound = backend(OK);
        Config watched = Config.read(files("{\"limits\":{\"mostForwards\":1}}"));
        changed = config -> new Config(config.name(), config.listen(), config.discovery(), config.seed(),
                config.sockets(), config.settings(), config.gradeNames(), config.tenantNames(),
                config.locations(), config.reportNames(), config.idle(), config.connectTimeout(),
                config.known(), config.door(), config.peers(), watched.shadow());
        start(full, sound);
        for (int i = 0; i < 6; i++) {
            assertEquals(200, order("x").statusCode(), "sent again as before");
        }
        proxy.drain();
        Shadow shadow = proxy.watched();
        assertTrue(full.requests.size() > 0);
        assertEquals(full.requests.size(), shadow.count(Shadow.Kind.NOT_SEND_AGAIN), shadow.told());
        assertEquals(6 + full.requests.size(), shadow.decisions(), shadow.told());
    }

    @Test
    void nobodyWatchesWhereNoFileIsNamed() throws Exception {
        start(backend(OK));
        assertEquals(200, order("x").statusCode());
        assertNull(proxy.watched());
    }

    @Test
    void whatCannotBeWatchedIsOneLineThatNamesFileAndKey() throws Exception {
        assertEquals("", check(files("{\"weights\":\"nominal\",\"siblings\":70}"), 0));
        String[][] bad = {{"{\"weights\":\"heavy\"}", "weights"}, {"{\"siblings\":-1}", "siblings"},
            {"{\"charges\":{\"crossZone\":\"NaN\"}}", "charges.crossZone"},
            {"{\"localities\":[\"b\"]}", "localities"},
            {"{\"report\":{\"names\":[\"util\"]}}", "report.names"}};
        for (String[] each : bad) {
            String line = check(files(each[0]), 1);
            assertTrue(line.contains("shadow.json: setting " + each[1] + ": "), line);
            assertEquals(1, line.lines().count(), line);
        }
        assertEquals(1, check(files("[]"), 1).lines().count());
    }
}
