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
     * Bodies that come in pieces and end in any order: the bounds hold, and in the end nothing is
     * held.
     */
    @Property(tries = 300, seed = "48")
    void neitherBoundIsPassedAndAllIsLetGo(
            @ForAll List<@IntRange(min = 0, max = 999) Integer> steps) {
        BodyBufferBudget bufferBudget = new BodyBufferBudget(100, 250);
        int[] has = new int[8];
        for (int step : steps) {
            int body = step % 8;
            if (step < 800) {
                int more = 1 + step / 8;
                if (bufferBudget.takes(has[body], more)) {
                    has[body] += more;
                } else {
                    int sum = Arrays.stream(has).sum();
                    assertTrue(has[body] + more > 100 || sum + more > 250, "refused without need");
                }
            } else {
                bufferBudget.letGo(has[body]);
                has[body] = 0;
            }
            assertTrue(has[body] <= 100);
            assertEquals(Arrays.stream(has).sum(), bufferBudget.held());
            assertTrue(bufferBudget.held() <= 250);
        }
    }

    @Test
    void withoutRoomNothingIsHeld() {
        assertFalse(new BodyBufferBudget(0, 100).takes(0, 1));
        assertFalse(new BodyBufferBudget(100, 0).takes(0, 1));
        assertThrows(IllegalArgumentException.class, () -> new BodyBufferBudget(-1, 5));
    }
}
