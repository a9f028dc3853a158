package lemondrift.connection;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Sources by their key. Those that hold places are as many as places at the most; of the others as
 * many are remembered, and the one gone longest is forgotten first. Danger: a table of all
 * addresses has no bound.
 */
final class ClientSourceTable {
    private final Map<Long, ClientSource> present = new HashMap<>();
    private final Map<Long, ClientSource> gone = new LinkedHashMap<>();
    private final int most;

    ClientSourceTable(int most) {
        this.most = most;
    }

    /** The source of a key, with one place more. */
    ClientSource enter(long key) {
        ClientSource source = present.get(key);
        if (source == null) {
            source = gone.remove(key);
            source = source == null ? new ClientSource() : source;
            present.put(key, source);
        }
        source.held++;
        return source;
    }

    void leave(long key, ClientSource source) {
        if (--source.held == 0 && present.remove(key) != null) {
            gone.put(key, source);
            if (gone.size() > most) {
                gone.remove(gone.keySet().iterator().next());
            }
        }
    }

    int remembered() {
        return present.size() + gone.size();
    }
}
