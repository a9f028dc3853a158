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

/** Collects the lines of one endpoint list in discovery's JSON form, a few at a time if need be. */
public final class EndpointListBuilder {
    private final Map<String, EndpointList.Member> members = new LinkedHashMap<>();
    private final List<String> unreadable = new ArrayList<>();

    /** Danger: a line that can't be read must not cost the others, nor its own backend. */
    void add(JsonElement line) {
        EndpointList.Member member;
        try {
            member = member(line.getAsJsonObject());
        } catch (RuntimeException e) {
            unreadable.add(line + ": " + e);
            if (!(line instanceof JsonObject its && its.get("id") instanceof JsonPrimitive id)) {
                return;
            }
            member = EndpointList.Member.unreadable(id.getAsString());
        }
        // The last word on a backend comes last.
        members.remove(member.id());
        members.put(member.id(), member);
    }

    EndpointList build(long revision, boolean complete) {
        return new EndpointList(
                revision, complete, List.copyOf(members.values()), List.copyOf(unreadable));
    }

    /** From discovery's form, whatever its revision; it has to have members. */
    public static EndpointList of(JsonObject list) {
        EndpointListBuilder lines = new EndpointListBuilder();
        list.getAsJsonArray("members").forEach(lines::add);
        return lines.build(
                list.has("revision") ? list.get("revision").getAsLong() : -1,
                list.get("complete").getAsBoolean());
    }

    private static EndpointList.Member member(JsonObject line) {
        EndpointUpdate.State state =
                switch (line.get("phase").getAsString()) {
                    case "active" -> EndpointUpdate.State.READY;
                    case "leaving" -> EndpointUpdate.State.DRAINING;
                    default -> EndpointUpdate.State.GONE;
                };
        // A backend that has left needs no address.
        InetSocketAddress address =
                state == EndpointUpdate.State.GONE && !line.has("host_port")
                        ? null
                        : ProxyConfig.address("host_port", line.get("host_port").getAsString());
        return new EndpointList.Member(
                line.get("id").getAsString(),
                state,
                address,
                line.has("locality") ? line.get("locality").getAsString() : null,
                line.has("cell") ? (Integer) number(line, "cell").intValue() : null,
                size(line),
                number(line, "up_since_ms").doubleValue() / 1000);
    }

    /** Danger: a size that can't be read must not cost the backend, so it counts as not told. */
    private static double size(JsonObject line) {
        return line.get("size") instanceof JsonPrimitive size && size.isNumber()
                ? size.getAsDouble()
                : 1;
    }

    private static Number number(JsonObject line, String key) {
        return line.has(key) ? line.get(key).getAsNumber() : 0;
    }
}
