package lemondrift.decide;

import java.util.*;
import java.util.stream.IntStream;
import lemondrift.model.*;

/** What this proxy's list has said of the backends, in parallel arrays under the door's dense index. */
final class Fleet {
    /** What is stated now; an exchange keeps the terms that it came under. */
    Settings stated;
    private final Chance chance;
    int size;
    /** What was last told of each, whether it may be used, and what this proxy has out there; when a probe
     * that is still out was sent, 0 if there is none, and the figure that each was last ranked by. */
    Listed[] line = {};
    boolean[] ready = {};
    int[] out = {};
    double[] askedAt = {}, figure = {};
    /** When it last started, as told; 0 is long ago; and what is above all starts that were acted on. */
    double[] started = {}, startSeen = {};
    double meanPower = 1;
    /** Those that are ready, in this proxy's own random order, its part first; of how many others tell. */
    int[] order = {};
    int told;

    Fleet(Settings s, Chance chance) {
        stated = s;
        this.chance = chance;
    }

    /** Rule 3: whoever is not told ready gets nothing new at once; the grace is slack, not a budget. */
    void listed(boolean whole, List<Listed> lines) {
        Arrays.fill(ready, 0, whole ? size : 0, false);
        size = Math.max(size, lines.stream().mapToInt(Listed::backend).max().orElse(-1) + 1);
        ready = Arrays.copyOf(ready, size);
        line = Arrays.copyOf(line, size);
        started = Arrays.copyOf(started, size);
        startSeen = Arrays.copyOf(startSeen, size);
        out = Arrays.copyOf(out, size);
        askedAt = Arrays.copyOf(askedAt, size);
        figure = Arrays.copyOf(figure, size);
        for (Listed told : lines) {
            int i = told.backend();
            line[i] = told.sized(stated.sizes());
            ready[i] = told.state() == Listed.State.READY;
            started[i] = Math.max(told.fresh() ? 0 : started[i], told.started());
            startSeen[i] = told.fresh() ? 0 : startSeen[i];
        }
        int kept = (int) Arrays.stream(order).filter(i -> ready[i]).count();
        order = IntStream.concat(Arrays.stream(order), IntStream.range(0, size)).filter(i -> ready[i])
                .distinct().toArray();
        meanPower = Arrays.stream(order).mapToDouble(i -> line[i].size()).average().orElse(1);
        IntStream.range(kept, order.length).forEach(j -> swap(j, (int) (chance.next() * (j + 1))));
        told = (int) Arrays.stream(order).filter(i -> line[i].used() > 0).count();
        home();
    }

    /** Puts first whom this proxy has drawn lots to use. Danger: others tell of those, and of no more. */
    void home() {
        order = IntStream.of(order).boxed().sorted((a, b) -> Double.compare(line[a].lot(), line[b].lot()))
                .mapToInt(i -> i).toArray();
    }

    void swap(int a, int b) {
        int i = order[a];
        order[a] = order[b];
        order[b] = i;
    }

    /** The share of its full capacity that a backend has at the least; 1 is warm. */
    double coldShare(int i, double now) {
        double age = started[i] <= 0 ? 1 : Math.max(0, now - started[i]) / stated.rules().cold();
        double from = stated.rules().coldFrom();
        return age >= 1 ? 1 : from + (1 - from) * age;
    }
}
