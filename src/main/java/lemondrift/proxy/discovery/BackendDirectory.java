package lemondrift.proxy.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import lemondrift.model.EndpointUpdate;
import lemondrift.proxy.events.EndpointList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Backends' ids, which end here, their dense indexes, and where this proxy reaches each. What one
 * line of a list costs does not go with the number of backends.
 */
public final class BackendDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(BackendDirectory.class);

    /** What one index stands for. */
    private static final class Entry {
        private final int index;
        private final String id;
        private InetSocketAddress address;
        private boolean gone;
        private boolean moved;
        private boolean logged;

        /** The last that was read of it. */
        private EndpointUpdate update;

        private int held;
        private int location;
        private int cell;

        /** The number of the list that has named it last. */
        private int namedBy;

        private Entry(int index, String id) {
            this.index = index;
            this.id = id;
        }
    }

    private final List<String> locations;
    private final Map<String, Entry> byId = new HashMap<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Map<InetSocketAddress, Set<Entry>> byAddress = new HashMap<>();

    /** Indexes of those that have gone and that nothing speaks of any more. */
    private final TreeSet<Integer> free = new TreeSet<>();

    private int listedCount;
    private int referenceCount;
    private int lists;

    public BackendDirectory(List<String> locations) {
        this.locations = locations;
    }

    public InetSocketAddress address(int backend) {
        return entries.get(backend).address;
    }

    public String id(int backend) {
        return entries.get(backend).id;
    }

    /** How many backends the list has, draining ones too. */
    public int listedCount() {
        return listedCount;
    }

    /** How many indexes have been given out. */
    int size() {
        return entries.size();
    }

    /** Whether it has another address than when this was asked last. */
    public boolean hasMoved(int backend) {
        boolean moved = entries.get(backend).moved;
        entries.get(backend).moved = false;
        return moved;
    }

    /** How often something speaks of any of them. */
    public int referenceCount() {
        return referenceCount;
    }

    /** Something speaks of the backend by its index, which stands for it until it is let go. */
    public void retain(int backend) {
        Entry entry = entries.get(backend);
        if (!entry.logged) {
            // Once it is used, not when it is listed: a line for each of thousands would fill the
            // log.
            entry.logged = true;
            LOG.info("backend {} is {} at {}", backend, entry.id, entry.address);
        }
        entry.held++;
        referenceCount++;
        keepFree(entry);
    }

    public void release(int backend) {
        Entry entry = entries.get(backend);
        entry.held--;
        referenceCount--;
        keepFree(entry);
    }

    private void keepFree(Entry entry) {
        if (entry.gone && entry.held == 0) {
            free.add(entry.index);
        } else {
            free.remove(entry.index);
        }
    }

    /** The number of a list that is followed from now on; marks are by it. */
    int nextList() {
        return ++lists;
    }

    /** A list of a number names a backend; whether that says anything new of it. */
    boolean names(int list, EndpointList.Member member) {
        Entry entry = byId.get(member.id());
        if (entry == null) {
            // One that was never here and is gone already is nobody.
            return member.isReadable() && member.state() != EndpointUpdate.State.GONE;
        }
        entry.namedBy = list;
        return member.isReadable() && !says(entry, member);
    }

    /** Whether all that a line says is known. */
    private boolean says(Entry entry, EndpointList.Member member) {
        return entry.update != null
                && entry.update.state() == member.state()
                && (member.address() == null || member.address().equals(entry.address))
                && location(entry, member) == entry.location
                && cell(entry, member) == entry.cell
                && entry.update.startedAt() == member.started()
                && entry.update.weight() == member.size();
    }

    private int location(Entry entry, EndpointList.Member member) {
        return member.locality() == null
                ? entry.location
                : Math.max(0, locations.indexOf(member.locality()));
    }

    private static int cell(Entry entry, EndpointList.Member member) {
        return member.cell() == null ? entry.cell : member.cell();
    }

    /**
     * Whether an index stands for a backend that a whole list of a number has not named, and so has
     * gone.
     */
    boolean isAbsent(int list, int backend) {
        Entry entry = entries.get(backend);
        return !entry.gone && entry.namedBy != list;
    }

    /** The line of a backend that has gone without a word. */
    EndpointUpdate withdrawn(int backend) {
        return gone(entries.get(backend));
    }

    /** Follows what a line says, and adds what the decisions are to hear of it. */
    void follow(EndpointList.Member member, List<EndpointUpdate> updates) {
        Entry entry = byId.get(member.id());
        boolean fresh = entry == null;
        if (fresh) {
            if (member.state() == EndpointUpdate.State.READY) {
                // Danger: what is sent to one that was here before would reach this one under its
                // name.
                for (Entry former :
                        List.copyOf(byAddress.getOrDefault(member.address(), Set.of()))) {
                    updates.add(gone(former));
                }
            }
            entry = entry(member.id());
        }
        entry.namedBy = lists;
        entry.moved |=
                !fresh && member.address() != null && !member.address().equals(entry.address);
        settle(
                entry,
                member.state() == EndpointUpdate.State.GONE,
                member.address() != null ? member.address() : entry.address);
        entry.location = location(entry, member);
        entry.cell = cell(entry, member);
        entry.update =
                new EndpointUpdate(
                        entry.index,
                        fresh,
                        entry.location,
                        entry.cell,
                        member.state(),
                        member.started(),
                        member.size());
        updates.add(entry.update);
    }

    private EndpointUpdate gone(Entry entry) {
        settle(entry, true, entry.address);
        entry.update =
                new EndpointUpdate(
                        entry.index,
                        false,
                        entry.location,
                        entry.cell,
                        EndpointUpdate.State.GONE,
                        0);
        return entry.update;
    }

    /** Whether it is there, and where; all that goes by either is kept in step. */
    private void settle(Entry entry, boolean gone, InetSocketAddress address) {
        if (!entry.gone && entry.address != null) {
            byAddress.computeIfPresent(
                    entry.address,
                    (its, same) -> {
                        same.remove(entry);
                        return same.isEmpty() ? null : same;
                    });
        }
        listedCount += (gone ? 0 : 1) - (entry.gone ? 0 : 1);
        entry.gone = gone;
        entry.address = address;
        if (!gone && address != null) {
            byAddress.computeIfAbsent(address, none -> new HashSet<>(2)).add(entry);
        }
        keepFree(entry);
    }

    /**
     * A new backend's entry, in the place of one that has gone and that nothing speaks of any more.
     * Danger: where backends are replaced all day, the figures of all that ever were would fill the
     * memory.
     */
    private Entry entry(String id) {
        Integer place = free.pollFirst();
        Entry entry = new Entry(place == null ? entries.size() : place, id);
        if (place == null) {
            entries.add(entry);
        } else {
            byId.remove(entries.get(place).id);
            entries.set(place, entry);
        }
        byId.put(id, entry);
        listedCount++;
        return entry;
    }
}
