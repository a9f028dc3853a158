package lemondrift.decide;

import java.util.Arrays;
import java.util.List;
import lemondrift.model.Listed;

/** What this proxy's list has said of the backends, in parallel arrays under the door's dense index. */
final class Fleet {
    int size;
    boolean[] ready = new boolean[0];
    int[] location = new int[0];
    int[] cell = new int[0];
    /** When it last started, as told or as seen; 0 is long ago. */
    double[] started = new double[0];
    int[] out = new int[0];
    /** Backends that may take the exchange in hand; each stage strikes out some. */
    boolean[] candidate = new boolean[0];
    boolean[] tried = new boolean[0];
    /** The share of its full capacity that each has at least, 1 where warm. */
    double[] coldShare = new double[0];
    /** Those that wait for a trial exchange and come first. */
    boolean[] first = new boolean[0];

    /** Rule 3: whoever is not told ready gets nothing new at once; the grace is slack, not a budget. */
    void listed(boolean whole, List<Listed> lines) {
        if (whole) {
            Arrays.fill(ready, false);
        }
        for (Listed line : lines) {
            int i = line.backend();
            grow(i + 1);
            ready[i] = line.state() == Listed.State.READY;
            location[i] = line.location();
            cell[i] = line.cell();
            started[i] = Math.max(started[i], line.started());
        }
    }

    private void grow(int wanted) {
        if (wanted > size) {
            size = wanted;
            ready = Arrays.copyOf(ready, size);
            location = Arrays.copyOf(location, size);
            cell = Arrays.copyOf(cell, size);
            started = Arrays.copyOf(started, size);
            out = Arrays.copyOf(out, size);
            candidate = Arrays.copyOf(candidate, size);
            tried = Arrays.copyOf(tried, size);
            coldShare = Arrays.copyOf(coldShare, size);
            first = Arrays.copyOf(first, size);
        }
    }

    int readyCount() {
        int count = 0;
        for (int i = 0; i < size; i++) {
            count += ready[i] ? 1 : 0;
        }
        return count;
    }
}
