package lemondrift.peer;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What proxies tell one another, beside a plain model, under loss, repeats, disorder and nonsense. */
class HoldingsTest {
    private static Holdings holdings(int peers) {
        return new Holdings(peers, 0.01, 0.1, tag -> { });
    }

    /** A telling that is due now. */
    private static byte[] telling(Holdings from, double now) {
        byte[] telling = from.telling(now);
        assertNotNull(telling, "due");
        return telling;
    }

    @Test
    void nonsenseLateAndRepeatedTellingsChangeNothing() {
        Holdings a = holdings(1), b = holdings(1);
        a.sent(7);
        byte[] old = telling(a, 1);
        a.sent(7);
        a.sent(9);
        byte[] last = telling(a, 1.02);
        b.told(0, last, 1.03);
        b.told(0, last, 1.04);
        b.told(0, old, 1.04);
        b.told(0, new byte[] {1, 2}, 1.04);
        b.told(0, new byte[] {9, 0, 0, 0, 99, 0, 0, 7}, 1.04);
        b.told(0, Arrays.copyOf(last, last.length - 1), 1.04);
        b.told(5, last, 1.04);
        b.told(-1, last, 1.04);
        b.told(0, new byte[0], 1.04);
        assertEquals(2, b.others(7));
        assertEquals(1, b.others(9));
    }

    @Test
    void whatAKilledProxyHadOutIsForgottenAndItsNewStartIsHeard() {
        Holdings a = holdings(1), b = holdings(1);
        for (int i = 0; i < 50; i++) {
            a.sent(7);
            b.told(0, telling(a, 1 + 0.02 * i), 1 + 0.02 * i);
        }
        b.forget(2.09);
        assertEquals(0, b.others(7));
        assertEquals(0, b.heard(2.09));
        Holdings restarted = holdings(1);
        restarted.sent(8);
        b.told(0, telling(restarted, 3), 3);
        assertEquals(1, b.others(8));
        assertEquals(1, b.heard(3));
    }

    @Test
    void aTellingStaysWithinItsBytesAndIsPaced() {
        Holdings a = holdings(1);
        for (int i = 0; i < 1000; i++) {
            a.sent(i);
        }
        assertTrue(telling(a, 1).length <= Holdings.MOST_BYTES);
        a.sent(1);
        assertNull(a.telling(1.005));
        assertNotNull(a.telling(1.011));
        assertNull(a.telling(1.02), "unchanged is told seldom");
    }

    @Property(tries = 200)
    void afterEachHasToldAllKnowWhatTheOthersHaveOut(@ForAll long seed) {
        Random random = new Random(seed);
        int proxies = 4, backends = 5;
        Holdings[] all = new Holdings[proxies];
        Arrays.setAll(all, i -> holdings(proxies));
        int[][] model = new int[proxies][backends];
        List<byte[]> flying = new ArrayList<>();
        List<Integer> senders = new ArrayList<>();
        double now = 1;
        for (int step = 0; step < 100; step++, now += 0.002) {
            int i = random.nextInt(proxies), b = random.nextInt(backends);
            if (model[i][b] > 0 && random.nextBoolean()) {
                model[i][b]--;
                all[i].ended(b);
            } else {
                model[i][b]++;
                all[i].sent(b);
            }
            byte[] told = all[i].telling(now);
            if (told != null) {
                flying.add(told);
                senders.add(i);
            }
            if (!flying.isEmpty() && random.nextInt(3) > 0) {
                // Any that flies, perhaps again, perhaps never: lost, late, twice.
                int at = random.nextInt(flying.size()), to = random.nextInt(proxies);
                if (to != senders.get(at)) {
                    all[to].told(senders.get(at), flying.get(at), now);
                }
            }
        }
        now += 0.05;
        for (int i = 0; i < proxies; i++) {
            byte[] told = telling(all[i], now);
            for (int j = 0; j < proxies; j++) {
                if (j != i) {
                    all[j].told(i, told, now);
                }
            }
        }
        for (int j = 0; j < proxies; j++) {
            for (int b = 0; b < backends; b++) {
                int want = 0;
                for (int i = 0; i < proxies; i++) {
                    want += i == j ? 0 : model[i][b];
                }
                assertEquals(want, all[j].others(b));
            }
        }
    }
}
