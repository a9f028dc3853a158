package lemondrift.buffer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class BodyBufferBudgetTest {
    /**
     * Bodies arrive in pieces and end in any order: the limits hold, and in the end nothing is
     * reserved.
     */
    @Property(tries = 300, seed = "48")
    void noLimitIsExceededAndAllBytesAreReleased(
            @ForAll List<@IntRange(min = 0, max = 999) Integer> steps) {
        BodyBufferBudget bufferBudget = new BodyBufferBudget(100, 250);
        int[] reserved = new int[8];
        for (int step : steps) {
            int body = step % 8;
            if (step < 800) {
                int more = 1 + step / 8;
                if (bufferBudget.tryReserve(reserved[body], more)) {
                    reserved[body] += more;
                } else {
                    int sum = Arrays.stream(reserved).sum();
                    assertTrue(
                            reserved[body] + more > 100 || sum + more > 250,
                            "refused although within both limits");
                }
            } else {
                bufferBudget.release(reserved[body]);
                reserved[body] = 0;
            }
            assertTrue(reserved[body] <= 100);
            assertEquals(Arrays.stream(reserved).sum(), bufferBudget.bufferedBytes());
            assertTrue(bufferBudget.bufferedBytes() <= 250);
        }
    }

    @Test
    void nothingIsBufferedWithoutBudget() {
        assertFalse(new BodyBufferBudget(0, 100).tryReserve(0, 1));
        assertFalse(new BodyBufferBudget(100, 0).tryReserve(0, 1));
        assertThrows(IllegalArgumentException.class, () -> new BodyBufferBudget(-1, 5));
    }
}
