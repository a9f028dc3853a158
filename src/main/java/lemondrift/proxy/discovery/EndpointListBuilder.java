package lemondrift.proxy.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemondrift.model.EndpointUpdate;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.events.EndpointList;

/** Maps the members of one list from discovery's JSON form to endpoints, one at a time. */
public final class EndpointListBuilder {
    /** Weight of an endpoint that states none. */
    private static final double DEFAULT_WEIGHT = 1;

    private final Map<String, EndpointList.Endpoint> endpoints = new LinkedHashMap<>();
    private final List<String> unreadable = new ArrayList<>();

    /**
     * Guards against an unreadable member that costs the others, or its own backend if its id can
     * be read.
     */
    void add(JsonElement member) {
        EndpointList.Endpoint endpoint;
        try {
            endpoint = parseEndpoint(member.getAsJsonObject());
        } catch (RuntimeException e) {
            // Wide, as each kind of wrong JSON has an exception of its own.
            unreadable.add(member + ": " + e);
            if (!(member instanceof JsonObject object
                    && object.get("id") instanceof JsonPrimitive id)) {
                return;
            }
            endpoint = EndpointList.Endpoint.unreadable(id.getAsString());
        }
        // A backend that is named again moves to the end: its last member counts.
        endpoints.remove(endpoint.id());
        endpoints.put(endpoint.id(), endpoint);
    }

    EndpointList build(long revision, boolean complete) {
        return new EndpointList(
                revision, complete, List.copyOf(endpoints.values()), List.copyOf(unreadable));
    }

    /**
     * A list from discovery's JSON form; its revision may be missing.
     *
     * @throws RuntimeException if the object has no "members" or no "complete"
     */
    public static EndpointList fromJson(JsonObject list) {
        EndpointListBuilder builder = new EndpointListBuilder();
        list.getAsJsonArray("members").forEach(builder::add);
        return builder.build(
                list.has("revision") ? list.get("revision").getAsLong() : EndpointList.NO_REVISION,
                list.get("complete").getAsBoolean());
    }

    private static EndpointList.Endpoint parseEndpoint(JsonObject member) {
        EndpointUpdate.State state =
                switch (member.get("phase").getAsString()) {
                    case "active" -> EndpointUpdate.State.READY;
                    case "leaving" -> EndpointUpdate.State.DRAINING;
                    default -> EndpointUpdate.State.GONE;
                };
        // A backend that has gone needs no address.
        InetSocketAddress address =
                state == EndpointUpdate.State.GONE && !member.has("host_port")
                        ? null
                        : ProxyConfig.parseAddress(
                                "host_port", member.get("host_port").getAsString());
        return new EndpointList.Endpoint(
                member.get("id").getAsString(),
                state,
                address,
                member.has("locality") ? member.get("locality").getAsString() : null,
                member.has("cell") ? (Integer) numberOrZero(member, "cell").intValue() : null,
                parseWeight(member),
                numberOrZero(member, "up_since_ms").doubleValue() / 1000);
    }

    /** Guards against an unreadable weight that costs the backend. */
    private static double parseWeight(JsonObject member) {
        return member.get("size") instanceof JsonPrimitive size && size.isNumber()
                ? size.getAsDouble()
                : DEFAULT_WEIGHT;
    }

    private static Number numberOrZero(JsonObject member, String key) {
        return member.has(key) ? member.get(key).getAsNumber() : 0;
    }
}
