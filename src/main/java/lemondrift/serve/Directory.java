package lemondrift.serve;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lemondrift.model.Listed;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Backends' ids, which end here, their dense indexes, and where this proxy reaches each. */
final class Directory {
    private static final Logger LOG = LoggerFactory.getLogger(Directory.class);

    /** What one index stands for. */
    private static final class Entry {
        private final int index;
        private final String id;
        private InetSocketAddress address;
        private boolean gone, moved;
        /** The last that was read of it. */
        private Listed line;
        private int held, location, cell;

        private Entry(int index, String id) {
            this.index = index;
            this.id = id;
        }
    }

    private final List<String> locations;
    private final Map<String, Entry> byId = new HashMap<>();
    private final List<Entry> entries = new ArrayList<>();

    Directory(List<String> locations) {
        this.locations = locations;
    }

    InetSocketAddress address(int backend) {
        return entries.get(backend).address;
    }

    String id(int backend) {
        return entries.get(backend).id;
    }

    /** How many backends the list has, draining ones too. */
    int listed() {
        return (int) entries.stream().filter(e -> !e.gone).count();
    }

    /** Whether it has another address than when this was asked last. */
    boolean hasMoved(int backend) {
        boolean moved = entries.get(backend).moved;
        entries.get(backend).moved = false;
        return moved;
    }

    /** How often something speaks of any of them. */
    int held() {
        return entries.stream().mapToInt(e -> e.held).sum();
    }

    /** Something speaks of the backend by its index, which stands for it until it is let go. */
    void hold(int backend) {
        entries.get(backend).held++;
    }

    void letGo(int backend) {
        entries.get(backend).held--;
    }

    /**
     * The lines of a list in discovery's form, and one more for each backend that has gone without a word.
     * Danger: a line that can't be read must not cost the others.
     */
    List<Listed> listed(JsonObject list, boolean whole) {
        List<Listed> lines = new ArrayList<>();
        Set<Entry> named = new HashSet<>();
        for (JsonElement member : list.getAsJsonArray("members")) {
            try {
                named.add(line(member.getAsJsonObject(), lines));
            } catch (RuntimeException e) {
                LOG.warn("a line of the list is passed over: {}: {}", member, e.toString());
                // Danger: in a whole list its backend would be taken for one that has gone.
                Entry known = known(member);
                if (known != null && !known.gone) {
                    named.add(known);
                    lines.add(known.line.again());
                }
            }
        }
        if (whole) {
            entries.stream().filter(e -> !e.gone && !named.contains(e)).forEach(e -> lines.add(gone(e)));
        }
        return lines;
    }

    /** Whom a line is about; null where it does not tell. */
    private Entry known(JsonElement member) {
        return member instanceof JsonObject line && line.get("id") instanceof JsonPrimitive id
                ? byId.get(id.getAsString()) : null;
    }

    private Entry line(JsonObject member, List<Listed> lines) {
        String id = member.get("id").getAsString();
        Listed.State state = switch (member.get("phase").getAsString()) {
            case "active" -> Listed.State.READY;
            case "leaving" -> Listed.State.DRAINING;
            default -> Listed.State.GONE;
        };
        // A backend that has left needs no address.
        InetSocketAddress address = state == Listed.State.GONE && !member.has("host_port") ? null
                : Config.address("host_port", member.get("host_port").getAsString());
        double started = number(member, "up_since_ms").doubleValue() / 1000;
        String locality = member.has("locality") ? member.get("locality").getAsString() : null;
        Integer cell = member.has("cell") ? number(member, "cell").intValue() : null;
        // Danger: what can't be read from here on would be followed by half.
        Entry entry = byId.get(id);
        boolean fresh = entry == null;
        if (fresh) {
            if (state == Listed.State.READY) {
                // Danger: what is sent to one that was here before would reach this one under its name.
                entries.stream().filter(e -> !e.gone && address.equals(e.address))
                        .forEach(e -> lines.add(gone(e)));
            }
            entry = entry(id);
            LOG.info("backend {} is {} at {}", entry.index, id, address);
        }
        entry.gone = state == Listed.State.GONE;
        entry.moved |= !fresh && address != null && !address.equals(entry.address);
        entry.address = address != null ? address : entry.address;
        entry.location = locality == null ? entry.location : Math.max(0, locations.indexOf(locality));
        entry.cell = cell == null ? entry.cell : cell;
        entry.line = new Listed(entry.index, fresh, entry.location, entry.cell, state, started, size(member));
        lines.add(entry.line);
        return entry;
    }

    private static Listed gone(Entry entry) {
        entry.gone = true;
        return new Listed(entry.index, false, entry.location, entry.cell, Listed.State.GONE, 0);
    }

    /**
     * A new backend's entry, in the place of one that has gone and that nothing speaks of any more. Danger:
     * where backends are replaced all day, the figures of all that ever were would fill the memory.
     */
    private Entry entry(String id) {
        Entry old = entries.stream().filter(e -> e.gone && e.held == 0).findFirst().orElse(null);
        Entry entry = new Entry(old == null ? entries.size() : old.index, id);
        if (old == null) {
            entries.add(entry);
        } else {
            byId.remove(old.id);
            entries.set(old.index, entry);
        }
        byId.put(id, entry);
        return entry;
    }

    /** Danger: a size that can't be read must not cost the backend, so it counts as not told. */
    private static double size(JsonObject member) {
        return member.get("size") instanceof JsonPrimitive size && size.isNumber() ? size.getAsDouble() : 1;
    }

    private static Number number(JsonObject member, String key) {
        return member.has(key) ? member.get(key).getAsNumber() : 0;
    }
}
