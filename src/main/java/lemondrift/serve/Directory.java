package lemondrift.serve;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemondrift.model.Listed;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Backends' ids, which end here, their dense indexes, and where this proxy reaches each. */
final class Directory {
    private static final Logger LOG = LoggerFactory.getLogger(Directory.class);

    private final List<String> locations;
    private final Map<String, Integer> indexes = new HashMap<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();

    Directory(List<String> locations) {
        this.locations = locations;
    }

    InetSocketAddress address(int backend) {
        return addresses.get(backend);
    }

    /** The lines of a list in discovery's form. Danger: one that can't be read must not cost the others. */
    List<Listed> listed(JsonObject list) {
        List<Listed> lines = new ArrayList<>();
        for (JsonElement member : list.getAsJsonArray("members")) {
            try {
                lines.add(line(member.getAsJsonObject()));
            } catch (RuntimeException e) {
                LOG.warn("a line of the list is passed over: {}: {}", member, e.toString());
            }
        }
        return lines;
    }

    private Listed line(JsonObject member) {
        String id = member.get("id").getAsString();
        Listed.State state = switch (member.get("phase").getAsString()) {
            case "active" -> Listed.State.READY;
            case "leaving" -> Listed.State.DRAINING;
            default -> Listed.State.GONE;
        };
        Integer known = indexes.get(id);
        int index = known == null ? addresses.size() : known;
        // A backend that has left needs no address.
        InetSocketAddress address = state == Listed.State.GONE && !member.has("host_port") ? null
                : Config.address("host_port", member.get("host_port").getAsString());
        if (known == null) {
            LOG.info("backend {} is {} at {}", index, id, address);
            indexes.put(id, index);
            addresses.add(address);
        } else if (address != null) {
            addresses.set(index, address);
        }
        int location = member.has("locality") ? locations.indexOf(member.get("locality").getAsString()) : 0;
        return new Listed(index, Math.max(0, location), number(member, "cell").intValue(), state,
                number(member, "up_since_ms").doubleValue() / 1000);
    }

    private static Number number(JsonObject member, String key) {
        return member.has(key) ? member.get(key).getAsNumber() : 0;
    }
}
