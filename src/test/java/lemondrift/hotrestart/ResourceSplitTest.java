package lemondrift.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ResourceSplitTest {
    @Test
    void halfIsUsedUntilItIsSureThatNobodyElseHasTheRest() {
        ResourceSplit one = new ResourceSplit();
        assertEquals(2, one.processCount(), "nobody has looked yet");
        assertTrue(one.observed(true, false));
        assertEquals(1, one.processCount());
        assertFalse(one.observed(true, false));
        assertTrue(one.observed(true, true));
        assertEquals(ResourceSplit.State.FOLLOWED, one.state());
        assertEquals(2, one.processCount());
        assertTrue(one.observed(true, false), "the successor did not live");
        assertEquals(1, one.processCount());
    }

    @Test
    void aSuccessorHasAllOnceThePredecessorHasEnded() {
        ResourceSplit next = new ResourceSplit();
        assertFalse(next.observed(false, true));
        assertEquals(2, next.processCount());
        assertTrue(next.observed(true, false));
        assertEquals(1, next.processCount());
    }
}
