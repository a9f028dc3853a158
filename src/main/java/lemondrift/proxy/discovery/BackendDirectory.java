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
 * Maps the ids of backends to their addresses and to the dense indexes by which the balancer refers
 * to them. An index is reassigned to another backend once its backend is gone and no references to
 * it remain. The cost of processing one endpoint does not grow with the number of backends. Used
 * only on the decision thread.
 */
public final class BackendDirectory {
    private static final Logger LOG = LoggerFactory.getLogger(BackendDirectory.class);

    /** The backend to which an index is assigned. */
    private static final class Entry {
        private final int index;
        private final String id;
        private InetSocketAddress address;
        private int location;
        private int cell;

        /** The last update passed to the balancer; set right after the entry is added. */
        private EndpointUpdate lastUpdate;

        /** Whether the backend has been removed from the list. */
        private boolean gone;

        /** Whether the address has changed since the last {@link #consumeAddressChange}. */
        private boolean addressChanged;

        private boolean logged;

        /** Number of attempts and probes that refer to the backend by its index. */
        private int referenceCount;

        /** The number of the last list that contained the backend. */
        private int lastListNumber;

        private Entry(int index, String id) {
            this.index = index;
            this.id = id;
        }
    }

    /** The names of the locations, by index. */
    private final List<String> locations;

    private final Map<String, Entry> byId = new HashMap<>();
    private final List<Entry> byIndex = new ArrayList<>();

    /** The entries of backends that are not gone. */
    private final Map<InetSocketAddress, Set<Entry>> byAddress = new HashMap<>();

    /** Indexes of backends that are gone and no longer referenced. */
    private final TreeSet<Integer> freeIndexes = new TreeSet<>();

    private int listedCount;
    private int referenceCount;
    private int lastListNumber;

    /**
     * Creates an empty directory.
     *
     * @param locations the names of the known locations; an endpoint with any other location is
     *     assigned to the first one
     */
    public BackendDirectory(List<String> locations) {
        this.locations = locations;
    }

    public InetSocketAddress address(int backend) {
        return byIndex.get(backend).address;
    }

    public String id(int backend) {
        return byIndex.get(backend).id;
    }

    /** Returns the number of listed backends, including draining ones. */
    public int listedCount() {
        return listedCount;
    }

    /** Returns the number of indexes assigned so far, including free ones. */
    int indexCount() {
        return byIndex.size();
    }

    /** Returns whether the address of a backend has changed since the last call. */
    public boolean consumeAddressChange(int backend) {
        Entry entry = byIndex.get(backend);
        boolean changed = entry.addressChanged;
        entry.addressChanged = false;
        return changed;
    }

    /** Returns the total number of references to all backends. */
    public int referenceCount() {
        return referenceCount;
    }

    /**
     * Adds a reference to a backend. Its index is not reassigned until all references are released.
     */
    public void retain(int backend) {
        Entry entry = byIndex.get(backend);
        if (!entry.logged) {
            // Logged at the first use: a line for each of thousands of listed backends would fill
            // the log.
            entry.logged = true;
            LOG.info("backend {} is {} at {}", backend, entry.id, entry.address);
        }
        entry.referenceCount++;
        referenceCount++;
        updateFreeIndexes(entry);
    }

    /** Releases a reference that {@link #retain} added. */
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

    /** Starts to apply a list and returns the number with which its endpoints are marked. */
    int beginList() {
        return ++lastListNumber;
    }

    /**
     * Marks a backend as contained in a list; returns whether the endpoint requires an update for
     * the balancer.
     */
    boolean markListed(int listNumber, EndpointList.Endpoint endpoint) {
        Entry entry = byId.get(endpoint.id());
        if (entry == null) {
            // A backend that was never listed and is already gone needs no update.
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

    /**
     * Returns the index of the location of an endpoint: the current one if the endpoint states
     * none, and 0 if the stated one is not known.
     */
    private int resolveLocation(Entry entry, EndpointList.Endpoint endpoint) {
        return endpoint.locality() == null
                ? entry.location
                : Math.max(0, locations.indexOf(endpoint.locality()));
    }

    private static int resolveCell(Entry entry, EndpointList.Endpoint endpoint) {
        return endpoint.cell() == null ? entry.cell : endpoint.cell();
    }

    /**
     * Returns whether a complete list withdraws a backend: it is listed, but was not marked with
     * the number of that list.
     */
    boolean isMissingFrom(int listNumber, int backend) {
        Entry entry = byIndex.get(backend);
        return !entry.gone && entry.lastListNumber != listNumber;
    }

    /** Removes a backend from the list and returns the update for the balancer. */
    EndpointUpdate remove(int backend) {
        return remove(byIndex.get(backend));
    }

    /**
     * Applies an endpoint of a list.
     *
     * @param updates receives the updates for the balancer
     */
    void apply(EndpointList.Endpoint endpoint, List<EndpointUpdate> updates) {
        Entry known = byId.get(endpoint.id());
        if (known == null) {
            removeFormer(endpoint, updates);
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

    /**
     * Removes the backends that a new one has replaced at its address. Guards against requests for
     * a former backend reaching a new one, which may drain already when it is first listed. A
     * draining one replaces only those that started before it, as it may itself be a former one
     * that is listed late.
     */
    private void removeFormer(EndpointList.Endpoint added, List<EndpointUpdate> updates) {
        for (Entry other : List.copyOf(byAddress.getOrDefault(added.address(), Set.of()))) {
            if (added.state() == EndpointUpdate.State.READY
                    || (added.state() == EndpointUpdate.State.DRAINING
                            && added.startedAt() > other.lastUpdate.startedAt())) {
                updates.add(remove(other));
            }
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
     * Sets whether a backend is gone, and its address, and updates the listed count, the addresses
     * and the free indexes accordingly.
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
     * Adds a backend under the lowest free index. Guards against unbounded growth if backends are
     * replaced all day.
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
