package lemondrift.balancer;

import java.util.Arrays;
import java.util.List;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Settings;

/**
 * What this proxy's list has said of the backends, in parallel arrays under the door's dense index.
 */
final class BackendTable {
    /** What is stated now; an exchange keeps the terms that it came under. */
    Settings stated;

    /**
     * For sorting, a score stands above its place in one number, so that no object is made for
     * each.
     */
    private static final int SCORE_BITS = 40;

    private static final int PLACE_BITS = 20;

    private final DeterministicRandom random;
    int size;

    /**
     * What was last told of each, whether it may be used, and what this proxy has out there; when a
     * probe that is still out was sent, 0 if there is none, and the figure that each was last
     * ranked by.
     */
    EndpointUpdate[] line = {};

    boolean[] ready = {};
    int[] out = {};
    double[] askedAt = {};
    double[] figure = {};

    /**
     * When it last started, as told; 0 is long ago; and what is above all starts that were acted
     * on.
     */
    double[] started = {};

    double[] startSeen = {};

    double meanPower = 1;

    /**
     * Those that are ready, in this proxy's own random order, its subset first; of how many others
     * tell.
     */
    int[] order = {};

    int told;
    private boolean[] ordered = {};
    private boolean arranged = true;

    BackendTable(Settings settings, DeterministicRandom random) {
        stated = settings;
        this.random = random;
    }

    /**
     * Rule 3: whoever is not told ready gets nothing new at once; the grace is slack, not a budget.
     * The work is that of the lines told, and one plain pass over the order where somebody leaves
     * it.
     */
    void listed(boolean whole, List<EndpointUpdate> updates) {
        boolean leaves = whole;
        Arrays.fill(ready, 0, whole ? size : 0, false);
        grow(updates);
        for (EndpointUpdate update : updates) {
            int i = update.backend();
            line[i] = update.withWeightIf(stated.usesEndpointWeights());
            leaves |= ready[i] && update.state() != EndpointUpdate.State.READY;
            ready[i] = update.state() == EndpointUpdate.State.READY;
            started[i] = Math.max(update.newBackend() ? 0 : started[i], update.startedAt());
            startSeen[i] = update.newBackend() ? 0 : startSeen[i];
        }
        if (leaves) {
            dropUnready();
        }
        append(updates);
        meanPower = stated.usesEndpointWeights() ? meanSize() : 1;
        arranged = false;
    }

    private void grow(List<EndpointUpdate> updates) {
        int most = size;
        for (EndpointUpdate update : updates) {
            most = Math.max(most, update.backend() + 1);
        }
        if (most == size) {
            return;
        }
        size = most;
        ready = Arrays.copyOf(ready, size);
        ordered = Arrays.copyOf(ordered, size);
        line = Arrays.copyOf(line, size);
        started = Arrays.copyOf(started, size);
        startSeen = Arrays.copyOf(startSeen, size);
        out = Arrays.copyOf(out, size);
        askedAt = Arrays.copyOf(askedAt, size);
        figure = Arrays.copyOf(figure, size);
    }

    private void dropUnready() {
        int kept = 0;
        for (int i : order) {
            ordered[i] = ready[i];
            if (ready[i]) {
                order[kept++] = i;
            }
        }
        order = Arrays.copyOf(order, kept);
    }

    /** Puts each that has become ready at a random place. */
    private void append(List<EndpointUpdate> updates) {
        int[] fresh =
                updates.stream()
                        .mapToInt(EndpointUpdate::backend)
                        .filter(i -> ready[i] && !ordered[i])
                        .sorted()
                        .distinct()
                        .toArray();
        int kept = order.length;
        order = Arrays.copyOf(order, kept + fresh.length);
        System.arraycopy(fresh, 0, order, kept, fresh.length);
        for (int j = kept; j < order.length; j++) {
            ordered[order[j]] = true;
            swap(j, (int) (random.next() * (j + 1)));
        }
    }

    private double meanSize() {
        double sum = 0;
        for (int i : order) {
            sum += line[i].weight();
        }
        return order.length == 0 ? 1 : sum / order.length;
    }

    /**
     * Counts and puts first whom this proxy uses, once for all lists that came since the last pick.
     */
    void arrange() {
        if (arranged) {
            return;
        }
        arranged = true;
        told = 0;
        for (int i : order) {
            told += line[i].userShare() > 0 ? 1 : 0;
        }
        home();
    }

    /**
     * Puts first whom this proxy has the least scores for. Danger: others tell of those, and of no
     * more.
     */
    void home() {
        long[] places = new long[order.length];
        boolean scored = false;
        for (int j = 0; j < order.length; j++) {
            double score = line[order[j]].subsetScore();
            scored |= score > 0;
            places[j] = (long) (score * (1L << SCORE_BITS)) << PLACE_BITS | j;
        }
        if (!scored) {
            return;
        }
        Arrays.sort(places);
        int[] former = order;
        order = new int[former.length];
        for (int j = 0; j < order.length; j++) {
            order[j] = former[(int) (places[j] & (1 << PLACE_BITS) - 1)];
        }
    }

    void swap(int a, int b) {
        int i = order[a];
        order[a] = order[b];
        order[b] = i;
    }

    /** The share of its full capacity that a backend has at the least; 1 is warm. */
    double coldShare(int i, double now) {
        double age =
                started[i] <= 0
                        ? 1
                        : Math.max(0, now - started[i]) / stated.rules().slowStartSeconds();
        double from = stated.rules().slowStartMinShare();
        return age >= 1 ? 1 : from + (1 - from) * age;
    }
}
