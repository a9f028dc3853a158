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

/** Builds an endpoint list from members in the JSON form of discovery, one member at a time. */
public final class EndpointListBuilder {
    /** Weight of an endpoint without a stated weight. */
    private static final double DEFAULT_WEIGHT = 1;

    private final Map<String, EndpointList.Endpoint> endpoints = new LinkedHashMap<>();
    private final List<String> unreadable = new ArrayList<>();

    /**
     * Adds a member. Guards against an unreadable member causing the loss of other members, or of
     * its own backend if its id is readable: the endpoint is then marked as unreadable.
     */
    void add(JsonElement member) {
        EndpointList.Endpoint endpoint;
        try {
            endpoint = parseEndpoint(member.getAsJsonObject());
        } catch (RuntimeException e) {
            // Catches every exception: each kind of malformed JSON throws a different one.
            unreadable.add(member + ": " + e);
            if (!(member instanceof JsonObject object
                    && object.get("id") instanceof JsonPrimitive id)) {
                return;
            }
            endpoint = EndpointList.Endpoint.unreadable(id.getAsString());
        }
        // A backend that is listed twice moves to the end: its last member counts.
        endpoints.remove(endpoint.id());
        endpoints.put(endpoint.id(), endpoint);
    }

    EndpointList build(long revision, boolean complete) {
        return new EndpointList(
                revision, complete, List.copyOf(endpoints.values()), List.copyOf(unreadable));
    }

    /**
     * Builds a list from the JSON form of discovery. The revision may be missing; then it is {@link
     * EndpointList#NO_REVISION}.
     *
     * @throws RuntimeException if "members" or "complete" is missing or cannot be converted
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
        // A backend that is gone needs no address.
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

    /**
     * Reads the weight. Guards against an unreadable weight making the whole backend unreadable.
     */
    private static double parseWeight(JsonObject member) {
        return member.get("size") instanceof JsonPrimitive size && size.isNumber()
                ? size.getAsDouble()
                : DEFAULT_WEIGHT;
    }

    private static Number numberOrZero(JsonObject member, String key) {
        return member.has(key) ? member.get(key).getAsNumber() : 0;
    }
}
