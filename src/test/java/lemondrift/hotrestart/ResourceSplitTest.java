package lemondrift.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ResourceSplitTest {
    @Test
    void halfIsUsedUntilItIsSureThatNobodyElseHasTheRest() {
        ResourceSplit one = new ResourceSplit();
        assertEquals(2, one.processes(), "nobody has looked yet");
        assertTrue(one.looked(true, false));
        assertEquals(1, one.processes());
        assertFalse(one.looked(true, false));
        assertTrue(one.looked(true, true));
        assertEquals(ResourceSplit.State.FOLLOWED, one.state());
        assertEquals(2, one.processes());
        assertTrue(one.looked(true, false), "the successor did not live");
        assertEquals(1, one.processes());
    }

    @Test
    void aSuccessorHasAllOnceThePredecessorHasEnded() {
        ResourceSplit next = new ResourceSplit();
        assertFalse(next.looked(false, true));
        assertEquals(2, next.processes());
        assertTrue(next.looked(true, false));
        assertEquals(1, next.processes());
    }
}
