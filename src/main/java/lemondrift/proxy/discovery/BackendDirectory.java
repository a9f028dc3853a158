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
 * The backends' ids, the dense indexes by which the balancer knows them, and their addresses. An
 * index passes to another backend once its own has gone and nothing holds a reference to it. The
 * cost of one endpoint does not grow with the number of backends. Decisions thread only.
 */
public final class BackendDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(BackendDirectory.class);

    /** The backend that an index stands for. */
    private static final class Entry {
        private final int index;
        private final String id;
        private InetSocketAddress address;
        private int location;
        private int cell;

        /** What the balancer was told last; set as soon as the entry is added. */
        private EndpointUpdate lastUpdate;

        /** Whether it has left the list. */
        private boolean gone;

        /** Whether its address has changed since {@link #consumeAddressChange}. */
        private boolean addressChanged;

        private boolean logged;

        /** Attempts and probes that name it by its index. */
        private int referenceCount;

        /** The number of the last list that named it. */
        private int lastListNumber;

        private Entry(int index, String id) {
            this.index = index;
            this.id = id;
        }
    }

    /** Names of the locations, by their index. */
    private final List<String> locations;

    private final Map<String, Entry> byId = new HashMap<>();
    private final List<Entry> byIndex = new ArrayList<>();

    /** Those that have not gone. */
    private final Map<InetSocketAddress, Set<Entry>> byAddress = new HashMap<>();

    /** Indexes of backends that have gone and are not referenced any more. */
    private final TreeSet<Integer> freeIndexes = new TreeSet<>();

    private int listedCount;
    private int referenceCount;
    private int lastListNumber;

    /** An empty directory; the first location stands for any that is not named. */
    public BackendDirectory(List<String> locations) {
        this.locations = locations;
    }

    public InetSocketAddress address(int backend) {
        return byIndex.get(backend).address;
    }

    public String id(int backend) {
        return byIndex.get(backend).id;
    }

    /** How many backends are listed, draining ones too. */
    public int listedCount() {
        return listedCount;
    }

    /** How many indexes have been given out, free ones too. */
    int indexCount() {
        return byIndex.size();
    }

    /** Whether the address of a backend has changed since the last call. */
    public boolean consumeAddressChange(int backend) {
        Entry entry = byIndex.get(backend);
        boolean changed = entry.addressChanged;
        entry.addressChanged = false;
        return changed;
    }

    /** How many references there are to all backends. */
    public int referenceCount() {
        return referenceCount;
    }

    /** Adds a reference to a backend: its index stands for it until each reference is released. */
    public void retain(int backend) {
        Entry entry = byIndex.get(backend);
        if (!entry.logged) {
            // At its first use, as a line for each of thousands that are listed would fill the log.
            entry.logged = true;
            LOG.info("backend {} is {} at {}", backend, entry.id, entry.address);
        }
        entry.referenceCount++;
        referenceCount++;
        updateFreeIndexes(entry);
    }

    /** Takes back one {@link #retain}. */
    public void release(int backend) {
        Entry entry = byIndex.get(backend);
        entry.referenceCount--;
        referenceCount--;
        updateFreeIndexes(entry);
    }

    private void updateFreeIndexes(Entry entry) {
        if (entry.gone && entry.referenceCount == 0) {
            freeIndexes.add(entry.index);
        } else {
            freeIndexes.remove(entry.index);
        }
    }

    /** Begins to apply a list, and returns the number by which its endpoints are marked. */
    int beginList() {
        return ++lastListNumber;
    }

    /**
     * Marks a backend as named by a list; returns whether the endpoint tells anything new of it.
     */
    boolean markListed(int listNumber, EndpointList.Endpoint endpoint) {
        Entry entry = byId.get(endpoint.id());
        if (entry == null) {
            // One that was never listed and has gone already is of no interest.
            return endpoint.isReadable() && endpoint.state() != EndpointUpdate.State.GONE;
        }
        entry.lastListNumber = listNumber;
        return endpoint.isReadable() && !isKnown(entry, endpoint);
    }

    private boolean isKnown(Entry entry, EndpointList.Endpoint endpoint) {
        return entry.lastUpdate.state() == endpoint.state()
                && (endpoint.address() == null || endpoint.address().equals(entry.address))
                && resolveLocation(entry, endpoint) == entry.location
                && resolveCell(entry, endpoint) == entry.cell
                && entry.lastUpdate.startedAt() == endpoint.startedAt()
                && entry.lastUpdate.weight() == endpoint.weight();
    }

    /** The index of an endpoint's location; the first one's if its own is not known. */
    private int resolveLocation(Entry entry, EndpointList.Endpoint endpoint) {
        return endpoint.locality() == null
                ? entry.location
                : Math.max(0, locations.indexOf(endpoint.locality()));
    }

    private static int resolveCell(Entry entry, EndpointList.Endpoint endpoint) {
        return endpoint.cell() == null ? entry.cell : endpoint.cell();
    }

    /**
     * Whether an index stands for a listed backend that the complete list of a number has not
     * named.
     */
    boolean isMissingFrom(int listNumber, int backend) {
        Entry entry = byIndex.get(backend);
        return !entry.gone && entry.lastListNumber != listNumber;
    }

    /** Takes a backend off the list, and returns what the balancer has to hear of it. */
    EndpointUpdate remove(int backend) {
        return remove(byIndex.get(backend));
    }

    /** Applies an endpoint, and adds what the balancer has to hear of it. */
    void apply(EndpointList.Endpoint endpoint, List<EndpointUpdate> updates) {
        Entry known = byId.get(endpoint.id());
        if (known == null && endpoint.state() == EndpointUpdate.State.READY) {
            removeAllAt(endpoint.address(), updates);
        }
        Entry entry = known == null ? add(endpoint.id()) : known;
        entry.lastListNumber = lastListNumber;
        InetSocketAddress address = endpoint.address() != null ? endpoint.address() : entry.address;
        entry.addressChanged |= known != null && address != null && !address.equals(entry.address);
        setPresence(entry, endpoint.state() == EndpointUpdate.State.GONE, address);
        entry.location = resolveLocation(entry, endpoint);
        entry.cell = resolveCell(entry, endpoint);
        entry.lastUpdate =
                new EndpointUpdate(
                        entry.index,
                        known == null,
                        entry.location,
                        entry.cell,
                        endpoint.state(),
                        endpoint.startedAt(),
                        endpoint.weight());
        updates.add(entry.lastUpdate);
    }

    /** Guards against requests for a former backend that reach a new one at its address. */
    private void removeAllAt(InetSocketAddress address, List<EndpointUpdate> updates) {
        for (Entry former : List.copyOf(byAddress.getOrDefault(address, Set.of()))) {
            updates.add(remove(former));
        }
    }

    private EndpointUpdate remove(Entry entry) {
        setPresence(entry, true, entry.address);
        entry.lastUpdate =
                new EndpointUpdate(
                        entry.index,
                        false,
                        entry.location,
                        entry.cell,
                        EndpointUpdate.State.GONE,
                        0);
        return entry.lastUpdate;
    }

    /**
     * Sets whether a backend has gone, and its address, and keeps all that goes by either in step.
     */
    private void setPresence(Entry entry, boolean gone, InetSocketAddress address) {
        if (!entry.gone && entry.address != null) {
            byAddress.computeIfPresent(
                    entry.address,
                    (key, entries) -> {
                        entries.remove(entry);
                        return entries.isEmpty() ? null : entries;
                    });
        }
        listedCount += (gone ? 0 : 1) - (entry.gone ? 0 : 1);
        entry.gone = gone;
        entry.address = address;
        if (!gone && address != null) {
            byAddress.computeIfAbsent(address, key -> new HashSet<>(2)).add(entry);
        }
        updateFreeIndexes(entry);
    }

    /**
     * Adds a backend under the lowest free index. Guards against growth where backends are replaced
     * all day.
     */
    private Entry add(String id) {
        Integer freeIndex = freeIndexes.pollFirst();
        Entry entry = new Entry(freeIndex == null ? byIndex.size() : freeIndex, id);
        if (freeIndex == null) {
            byIndex.add(entry);
        } else {
            byId.remove(byIndex.get(freeIndex).id);
            byIndex.set(freeIndex, entry);
        }
        byId.put(id, entry);
        listedCount++;
        return entry;
    }
}
