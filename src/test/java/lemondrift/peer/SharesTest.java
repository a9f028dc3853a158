package lemondrift.peer;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import lemondrift.model.Listed;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** By which share of the proxies a backend is used, as each of them tells its decisions. */
class SharesTest {
    private static Listed line(int backend, Listed.State state) {
        return new Listed(backend, false, 0, 0, state, 0);
    }

    private static List<Listed> lines(int from, int to) {
        return IntStream.range(from, to).mapToObj(i -> line(i, Listed.State.READY)).toList();
    }

    private static Listed of(List<Listed> told, int backend) {
        return told.stream().filter(line -> line.backend() == backend).findFirst().orElseThrow();
    }

    /** Danger: the sum over all proxies of what each may send to a cold one must not pass the whole. */
    @Property(tries = 50)
    void theUsersPartsOfABackendAreOneTogether(@ForAll @IntRange(min = 2, max = 60) int proxies,
            @ForAll @IntRange(min = 1, max = 40) int backends) {
        double[] sum = new double[backends];
        for (int p = 0; p < proxies; p++) {
            for (Listed line : new Shares(proxies, 12).drawn(p, true, lines(0, backends), i -> i)) {
                // One that does not use it has the part that it had before parts were known.
                sum[line.backend()] += line.used() > 0 ? 1 / (proxies * line.used()) : 0;
                assertTrue(line.used() >= 0 && line.used() <= 1, line.toString());
            }
        }
        for (double each : sum) {
            assertTrue(each == 0 || Math.abs(each - 1) < 1e-9, "together " + each);
        }
    }

    @Test
    void aListThatChangesTellsAllThatAreStillThereAnew() {
        Shares shares = new Shares(50, 12);
        List<Listed> first = shares.drawn(3, true, lines(0, 60), i -> i);
        List<Listed> gone = new ArrayList<>(IntStream.range(0, 40)
                .mapToObj(i -> line(i, Listed.State.GONE)).toList());
        List<Listed> then = shares.drawn(3, false, gone, i -> i);
        assertEquals(60, then.size(), "those that go and those that stay");
        assertTrue(then.stream().filter(line -> line.backend() >= 40)
                .mapToDouble(Listed::used).sum() > first.stream().filter(line -> line.backend() >= 40)
                .mapToDouble(Listed::used).sum(), "twenty are used by more");
        assertEquals(20, shares.drawn(3, false, List.of(), i -> i).size(), "who has gone is told no more");
        assertEquals(1, shares.drawn(3, true, lines(7, 8), i -> i).size(), "a whole list is all there is");
    }

    @Test
    void whoComesAndGoesWithinOneListIsGone() {
        Shares shares = new Shares(10, 12);
        shares.drawn(0, false, List.of(line(4, Listed.State.READY), line(4, Listed.State.GONE)), i -> i);
        assertEquals(List.of(), shares.drawn(0, false, List.of(), i -> i));
        shares.drawn(0, false, List.of(line(4, Listed.State.GONE), line(4, Listed.State.READY)), i -> i);
        assertEquals(Listed.State.READY, shares.drawn(0, false, List.of(), i -> i).get(0).state());
    }

    @Test
    void whatIsToldAgainIsNoNewOne() {
        Shares shares = new Shares(10, 12);
        Listed fresh = new Listed(4, true, 0, 0, Listed.State.READY, 12);
        assertTrue(of(shares.drawn(0, false, List.of(fresh), i -> i), 4).fresh());
        Listed again = of(shares.drawn(0, false, lines(5, 6), i -> i), 4);
        assertFalse(again.fresh(), "its index stands for it already");
        assertEquals(12, again.started());
        assertEquals(Shares.lot(0, 4), again.lot());
    }
}
