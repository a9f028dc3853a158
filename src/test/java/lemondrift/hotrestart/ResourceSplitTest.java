package lemondrift.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ResourceSplitTest {
    @Test
    void halfIsUsedUntilItIsSureThatNobodyElseHasTheRest() {
        ResourceSplit split = new ResourceSplit();
        assertEquals(2, split.processCount(), "nobody has looked yet");
        assertTrue(split.observed(true, false));
        assertEquals(1, split.processCount());
        assertFalse(split.observed(true, false));
        assertTrue(split.observed(true, true));
        assertEquals(ResourceSplit.State.FOLLOWED, split.state());
        assertEquals(2, split.processCount());
        assertTrue(split.observed(true, false), "the follower has ended");
        assertEquals(1, split.processCount());
    }

    @Test
    void aFollowerHasAllOnceTheServingProcessHasEnded() {
        ResourceSplit follower = new ResourceSplit();
        assertFalse(follower.observed(false, true));
        assertEquals(2, follower.processCount());
        assertTrue(follower.observed(true, false));
        assertEquals(1, follower.processCount());
    }
}
