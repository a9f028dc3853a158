package lemondrift.decide;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import lemondrift.model.*;

/** What this proxy's list has said of the backends, in parallel arrays under the door's dense index. */
final class Fleet {
    /** What is stated now; an exchange keeps the terms that it came under. */
    Settings stated;
    private final Chance chance;
    int size;
    boolean[] ready = {};
    int[] location = {}, cell = {}, out = {};
    /** When it last started, as told; 0 is long ago; and what is above all starts that were acted on. */
    double[] started = {}, startSeen = {}, power = {};
    double meanPower = 1;
    /** Those that are ready, in this proxy's own random order. The first ones are the part it uses. */
    int[] order = {};

    Fleet(Settings s, Chance chance) {
        stated = s;
        this.chance = chance;
    }

    /** Rule 3: whoever is not told ready gets nothing new at once; the grace is slack, not a budget. */
    void listed(boolean whole, List<Listed> lines) {
        Arrays.fill(ready, 0, whole ? size : 0, false);
        size = Math.max(size, lines.stream().mapToInt(Listed::backend).max().orElse(-1) + 1);
        ready = Arrays.copyOf(ready, size);
        location = Arrays.copyOf(location, size);
        cell = Arrays.copyOf(cell, size);
        power = Arrays.copyOf(power, size);
        started = Arrays.copyOf(started, size);
        startSeen = Arrays.copyOf(startSeen, size);
        out = Arrays.copyOf(out, size);
        for (Listed line : lines) {
            int i = line.backend();
            ready[i] = line.state() == Listed.State.READY;
            location[i] = line.location();
            cell[i] = line.cell();
            power[i] = stated.sizes() ? line.size() : 1;
            started[i] = Math.max(line.fresh() ? 0 : started[i], line.started());
            startSeen[i] = line.fresh() ? 0 : startSeen[i];
        }
        int kept = (int) Arrays.stream(order).filter(i -> ready[i]).count();
        order = IntStream.concat(Arrays.stream(order), IntStream.range(0, size)).filter(i -> ready[i])
                .distinct().toArray();
        meanPower = Arrays.stream(order).mapToDouble(i -> power[i]).average().orElse(1);
        for (int j = kept; j < order.length; j++) {
            swap(j, (int) (chance.next() * (j + 1)));
        }
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
