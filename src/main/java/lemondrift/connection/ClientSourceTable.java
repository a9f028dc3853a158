package lemondrift.connection;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Sources of connections by their key: an address, or a tenant once it is known. Guards against a
 * table that grows with every address: it keeps at most as many sources without a connection as
 * there are connection indexes, and removes first the source that has been without a connection for
 * longest.
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

    /**
     * Returns the key of a tenant. It is negative, so it differs from the keys of all addresses.
     */
    static long tenantKey(int tenant) {
        return -1L - tenant;
    }

    /** Counts one more connection for the source of a key, and returns the source. */
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

    /**
     * Counts one connection less for a source: the connection was closed, or counts for another
     * source from now on.
     */
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
