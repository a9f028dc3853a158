package lemondrift.decide;

import java.util.Arrays;
import java.util.List;
import lemondrift.model.Listed;

/** What this proxy's list has said of the backends, in parallel arrays under the door's dense index. */
final class Fleet {
    int size, readyCount;
    boolean[] ready = {};
    int[] location = {}, cell = {}, out = {};
    /** When it last started, as told or as seen; 0 is long ago. */
    double[] started = {};
    /** The share of its full capacity that each has at the least; 1 is warm. */
    double[] coldShare = {};
    boolean[] suspended = {};
    /** In good health, and with room in what it may be sent while cold. */
    boolean[] sound = {};
    /** Backends that may take the exchange in hand, each stage striking out some, and which come first. */
    boolean[] candidate = {}, first = {};

    /** Rule 3: whoever is not told ready gets nothing new at once; the grace is slack, not a budget. */
    void listed(boolean whole, List<Listed> lines) {
        if (whole) {
            Arrays.fill(ready, false);
            readyCount = 0;
        }
        for (Listed line : lines) {
            int i = line.backend();
            if (i >= size) {
                grow(i + 1);
            }
            readyCount += (line.state() == Listed.State.READY ? 1 : 0) - (ready[i] ? 1 : 0);
            ready[i] = line.state() == Listed.State.READY;
            location[i] = line.location();
            cell[i] = line.cell();
            started[i] = Math.max(started[i], line.started());
        }
    }

    private void grow(int wanted) {
        ready = Arrays.copyOf(ready, wanted);
        location = Arrays.copyOf(location, wanted);
        cell = Arrays.copyOf(cell, wanted);
        started = Arrays.copyOf(started, wanted);
        out = Arrays.copyOf(out, wanted);
        coldShare = Arrays.copyOf(coldShare, wanted);
        Arrays.fill(coldShare, size, wanted, 1);
        suspended = Arrays.copyOf(suspended, wanted);
        sound = Arrays.copyOf(sound, wanted);
        candidate = Arrays.copyOf(candidate, wanted);
        first = Arrays.copyOf(first, wanted);
        size = wanted;
    }
}
