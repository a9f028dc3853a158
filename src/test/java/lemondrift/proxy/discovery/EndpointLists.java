package lemondrift.proxy.discovery;

import com.google.gson.JsonParser;
import java.util.Arrays;
import java.util.stream.Collectors;
import lemondrift.proxy.events.EndpointList;

/** Creates endpoint lists for tests. */
public final class EndpointLists {
    private EndpointLists() {}

    /**
     * Creates a list of endpoints, all on the loopback address and in cell 3.
     *
     * @param idPhasePort the id, phase and port of each endpoint, and when it started in seconds if
     *     that is known, separated by spaces
     */
    public static EndpointList of(boolean complete, String... idPhasePort) {
        String member =
                "{\"id\":\"$1\",\"phase\":\"$2\",\"host_port\":\"127.0.0.1:$3\",\"cell\":3,"
                        + "\"up_since_ms\":${started}000}";
        String members =
                Arrays.stream(idPhasePort)
                        .map(each -> each.split(" ").length == 4 ? each : each + " 0")
                        .map(each -> each.replaceFirst("(.+) (.+) (.+) (?<started>.+)", member))
                        .collect(Collectors.joining(","));
        return EndpointListBuilder.fromJson(
                JsonParser.parseString(
                                "{\"complete\":" + complete + ",\"members\":[" + members + "]}")
                        .getAsJsonObject());
    }
}
