package lemondrift.proxy.discovery;

import lemondrift.proxy.config.ProxyConfig;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemondrift.model.EndpointUpdate;

/**
 * One list of discovery, read: its revision, whether it names all there are or changes only, and a line for
 * each backend, the last where it names one twice; and the lines that can't be read.
 */
public record EndpointList(long revision, boolean complete, List<Member> members, List<String> unreadable) {

    /**
     * One backend's line. Null stands for what the line does not tell; a line of which only the id can be
     * read has no state. The start is Unix time in seconds, 0 for long ago.
     */
    public record Member(String id, EndpointUpdate.State state, InetSocketAddress address, String locality, Integer cell,
            double size, double started) {
        public boolean isReadable() {
            return state != null;
        }

        private static Member unreadable(String id) {
            return new Member(id, null, null, null, null, 1, 0);
        }
    }

    /** Collects the lines of one list, a few at a time if need be. */
    static final class Builder {
        private final Map<String, Member> members = new LinkedHashMap<>();
        private final List<String> unreadable = new ArrayList<>();

        /** Danger: a line that can't be read must not cost the others, nor its own backend. */
        void add(JsonElement line) {
            Member member;
            try {
                member = member(line.getAsJsonObject());
            } catch (RuntimeException e) {
                unreadable.add(line + ": " + e);
                if (!(line instanceof JsonObject its && its.get("id") instanceof JsonPrimitive id)) {
                    return;
                }
                member = Member.unreadable(id.getAsString());
            }
            // The last word on a backend comes last.
            members.remove(member.id());
            members.put(member.id(), member);
        }

        EndpointList build(long revision, boolean complete) {
            return new EndpointList(revision, complete, List.copyOf(members.values()), List.copyOf(unreadable));
        }
    }

    /** From discovery's form, whatever its revision; it has to have members. */
    public static EndpointList of(JsonObject list) {
        Builder lines = new Builder();
        list.getAsJsonArray("members").forEach(lines::add);
        return lines.build(list.has("revision") ? list.get("revision").getAsLong() : -1,
                list.get("complete").getAsBoolean());
    }

    private static Member member(JsonObject line) {
        EndpointUpdate.State state = switch (line.get("phase").getAsString()) {
            case "active" -> EndpointUpdate.State.READY;
            case "leaving" -> EndpointUpdate.State.DRAINING;
            default -> EndpointUpdate.State.GONE;
        };
        // A backend that has left needs no address.
        InetSocketAddress address = state == EndpointUpdate.State.GONE && !line.has("host_port") ? null
                : ProxyConfig.address("host_port", line.get("host_port").getAsString());
        return new Member(line.get("id").getAsString(), state, address,
                line.has("locality") ? line.get("locality").getAsString() : null,
                line.has("cell") ? (Integer) number(line, "cell").intValue() : null, size(line),
                number(line, "up_since_ms").doubleValue() / 1000);
    }

    /** Danger: a size that can't be read must not cost the backend, so it counts as not told. */
    private static double size(JsonObject line) {
        return line.get("size") instanceof JsonPrimitive size && size.isNumber() ? size.getAsDouble() : 1;
    }

    private static Number number(JsonObject line, String key) {
        return line.has(key) ? line.get(key).getAsNumber() : 0;
    }
}
