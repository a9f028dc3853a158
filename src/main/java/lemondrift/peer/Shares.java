package lemondrift.peer;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;
import lemondrift.model.Listed;
import org.apache.commons.rng.core.source64.SplitMix64;

/**
 * Which proxies of a bank use which backends. Each uses those of which its lots are the least (rendezvous
 * hashing), and all draw the same lots, so that each knows the others' parts and none need tell of its own.
 */
public final class Shares {
    private final int proxies, width;
    private int[] tags = {};
    private Map<Integer, int[]> users = new HashMap<>();
    private boolean dirty;
    /** What is listed, by index. */
    private final Map<Integer, Listed> known = new TreeMap<>();

    /** The number of proxies, and how many backends each uses. */
    public Shares(int proxies, int part) {
        this.proxies = proxies;
        width = part;
    }

    /** The lot of a proxy for the backend of a tag, the same wherever it is drawn; from 0 to 1. */
    public static double lot(int proxy, int tag) {
        return (new SplitMix64((long) proxy << Integer.SIZE | tag).nextLong() >>> 11) * 0x1p-53;
    }

    /** The tags of all backends that may be used. */
    public void listed(int[] tags) {
        dirty |= !Arrays.equals(this.tags, tags);
        this.tags = tags;
    }

    /**
     * A list as a proxy's decisions are to have it, with that proxy's lots, and with it all that was listed
     * before, as another share of the proxies uses those now.
     */
    public List<Listed> drawn(int proxy, boolean whole, List<Listed> lines, IntUnaryOperator tag) {
        if (whole) {
            known.clear();
        }
        List<Listed> told = new ArrayList<>(lines);
        lines.forEach(line -> known.remove(line.backend()));
        told.addAll(known.values());
        // Danger: who was ready and went within one list must not be told as ready with the next.
        lines.forEach(line -> known.put(line.backend(), line.again()));
        known.values().removeIf(line -> line.state() == Listed.State.GONE);
        listed(known.values().stream().filter(line -> line.state() == Listed.State.READY)
                .mapToInt(line -> tag.applyAsInt(line.backend())).distinct().sorted().toArray());
        return told.stream().map(line -> line.drawn(lot(proxy, tag.applyAsInt(line.backend())),
                used(proxy, tag.applyAsInt(line.backend())))).toList();
    }

    /** The share of all proxies that use a backend; 0 where this one does not. */
    private double used(int proxy, int tag) {
        int[] its = users(tag);
        return Arrays.stream(its).anyMatch(user -> user == proxy) ? (double) its.length / proxies : 0;
    }

    /** The numbers of the proxies that use the backend of a tag; nobody uses one that is not listed. */
    public int[] users(int tag) {
        if (dirty) {
            draw();
        }
        return users.getOrDefault(tag, new int[0]);
    }

    private void draw() {
        dirty = false;
        Map<Integer, IntStream.Builder> drawn = new HashMap<>();
        for (int p = 0; p < proxies; p++) {
            int proxy = p;
            // The lots stand above the places in the list, so that sorting one array sorts both.
            long[] lots = IntStream.range(0, tags.length)
                    .mapToLong(i -> (long) (lot(proxy, tags[i]) * (1L << 40)) << 20 | i).sorted().toArray();
            Arrays.stream(lots).limit(width).map(lot -> lot & (1 << 20) - 1)
                    .forEach(i -> drawn.computeIfAbsent(tags[(int) i], t -> IntStream.builder()).add(proxy));
        }
        users = new HashMap<>();
        drawn.forEach((tag, numbers) -> users.put(tag, numbers.build().toArray()));
    }
}
