package lemondrift.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import lemondrift.model.EndpointUpdate;
import lemondrift.proxy.events.EndpointList;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the parsing of endpoint lists in steps of any size. */
class EndpointListParserTest {
    private static EndpointList parse(String text, int membersPerStep) throws IOException {
        EndpointListParser parser = new EndpointListParser(text.getBytes(StandardCharsets.UTF_8));
        int steps = 0;
        while (!parser.advance(membersPerStep)) {
            assertTrue(++steps < 10_000, "the parser must reach the end of the list");
        }
        return parser.list();
    }

    private static String randomMember(Random random) {
        String id = "\"id\":\"s-" + random.nextInt(12) + "\"";
        return switch (random.nextInt(5)) {
            case 0 -> "{" + id + ",\"phase\":\"left\"}";
            case 1 -> "{" + id + ",\"phase\":\"active\"}";
            case 2 ->
                    random.nextBoolean()
                            ? "7"
                            : "{\"phase\":\"active\",\"host_port\":\"127.0.0.1:9\"}";
            default ->
                    "{ "
                            + id
                            + ",\n \"host_port\":\"127.0.0.1:"
                            + (1 + random.nextInt(99))
                            + "\",\"phase\":\""
                            + (random.nextBoolean() ? "active" : "leaving")
                            + "\",\"size\":"
                            + random.nextInt(3)
                            + ",\"other\":[1,{}],\"up_since_ms\":1500}";
        };
    }

    @Property(tries = 100, seed = "48")
    void parsesTheSameInStepsOfAnySize(@ForAll long seed) throws IOException {
        Random random = new Random(seed);
        StringBuilder list = new StringBuilder();
        for (int i = random.nextInt(20); i > 0; i--) {
            list.append(list.length() == 0 ? "" : ", ").append(randomMember(random));
        }
        String members = "\"members\":[" + list + "]";
        String otherFields = "\"revision\":41,\"complete\":true";
        String text =
                "{"
                        + (random.nextBoolean()
                                ? members + "," + otherFields
                                : otherFields + "," + members)
                        + "}";
        EndpointList atOnce =
                EndpointListBuilder.fromJson(JsonParser.parseString(text).getAsJsonObject());
        assertEquals(atOnce, parse(text, 1 + random.nextInt(30)), "seed " + seed + ": " + text);
    }

    @Test
    void usesLastMemberOfABackendAndMarksUnreadableOnes() throws IOException {
        EndpointList list =
                parse(
                        "{\"revision\":3,\"complete\":false,\"members\":["
                            + "{\"id\":\"a\",\"phase\":\"active\",\"host_port\":\"127.0.0.1:1\"},"
                            + "{\"id\":\"b\",\"phase\":\"active\",\"host_port\":\"nowhere\"},"
                            + "{\"id\":\"a\",\"phase\":\"left\"}]}",
                        1);
        assertEquals(
                List.of("b", "a"),
                list.endpoints().stream().map(EndpointList.Endpoint::id).toList());
        assertFalse(list.endpoints().get(0).isReadable());
        assertEquals(EndpointUpdate.State.GONE, list.endpoints().get(1).state());
        assertEquals(1, list.unreadable().size());
    }

    /**
     * Guards against using the revision of an incomplete list, which would never be requested
     * again.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "7",
                "{",
                "{\"revision\":1,\"complete\":true}",
                "{\"revision\":1,\"members\":[]}",
                "{\"complete\":true,\"members\":[]}",
                "{\"revision\":1,\"complete\":true,\"members\":[",
                "{\"revision\":1,\"complete\":true,\"members\":[{]}",
                "{\"revision\":1,\"complete\":true,\"members\":7}",
                "{\"revision\":null,\"complete\":true,\"members\":[]}",
                "{\"revision\":1,\"complete\":true,\"members\":[]} and more"
            })
    void rejectsMalformedList(String text) {
        assertThrows(Exception.class, () -> parse(text, 5));
    }
}
