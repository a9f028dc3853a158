package lemondrift.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Tests eviction against a simple model. */
class FairEvictionTest {
    /**
     * Checks by a linear search that each eviction takes a connection from the source with the most
     * connections relative to its weight.
     */
    @Property(tries = 300, seed = "48")
    void evictionIsMaxMinFair(
            @ForAll @Size(min = 1, max = 30) List<@IntRange(max = 5) Integer> holders,
            @ForAll @IntRange(max = 40) int excess,
            @ForAll long seed) {
        Random random = new Random(seed);
        ClientSource[] sources = new ClientSource[6];
        double[] weights = new double[6];
        int[] connections = new int[6];
        for (int s = 0; s < 6; s++) {
            sources[s] = new ClientSource();
            sources[s].addCredit(random.nextInt(4), 0, 1);
            weights[s] = sources[s].weight(0, 1);
        }
        FairEviction fairEviction = new FairEviction(holders.size(), 1);
        for (int i = 0; i < holders.size(); i++) {
            sources[holders.get(i)].connections++;
            connections[holders.get(i)]++;
            fairEviction.addCandidate(i, sources[holders.get(i)]);
        }
        List<Integer> evicted = new ArrayList<>();
        fairEviction.evict(
                excess,
                0,
                i -> {
                    evicted.add(holders.get(i));
                    return --sources[holders.get(i)].connections >= 0;
                });
        assertEquals(Math.min(excess, holders.size()), evicted.size());
        for (int source : evicted) {
            double greatest =
                    IntStream.range(0, 6)
                            .mapToDouble(s -> connections[s] / weights[s])
                            .max()
                            .orElse(0);
            assertEquals(greatest, connections[source] / weights[source], 1e-9);
            connections[source]--;
        }
    }
}
