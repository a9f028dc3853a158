package lemondrift.connection;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Sources of connections by their key: an address, or a tenant once it is known. Guards against a
 * table of all addresses without bound: no more sources without a connection are remembered than
 * there are connections, and the one that left first is forgotten first.
 */
final class ClientSourceTable {
    private final boolean sourcePerConnection;
    private final int maxRemembered;
    private final Map<Long, ClientSource> connected = new HashMap<>();
    private final Map<Long, ClientSource> remembered = new LinkedHashMap<>();

    ClientSourceTable(ConnectionLimits.Sharing sharing, int maxRemembered) {
        sourcePerConnection = sharing == ConnectionLimits.Sharing.CONNECTION;
        this.maxRemembered = maxRemembered;
    }

    /** The key of a tenant, which equals no address's key as those are not negative. */
    static long tenantKey(int tenant) {
        return -1L - tenant;
    }

    /** The source of a key, with one connection more. */
    ClientSource connect(long key) {
        ClientSource source = sourcePerConnection ? new ClientSource() : sourceOf(key);
        source.connections++;
        return source;
    }

    private ClientSource sourceOf(long key) {
        ClientSource source = connected.get(key);
        if (source == null) {
            source = remembered.remove(key);
            source = source == null ? new ClientSource() : source;
            connected.put(key, source);
        }
        return source;
    }

    /** One of a source's connections is closed, or counts for another source from now on. */
    void disconnect(long key, ClientSource source) {
        if (sourcePerConnection) {
            return;
        }
        if (--source.connections == 0 && connected.remove(key) != null) {
            remembered.put(key, source);
            if (remembered.size() > maxRemembered) {
                remembered.remove(remembered.keySet().iterator().next());
            }
        }
    }

    int size() {
        return connected.size() + remembered.size();
    }
}
