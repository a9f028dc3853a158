package lemondrift.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ResourceSplitTest {
    @Test
    void splitsResourcesInTwoUnlessKnownToBeAlone() {
        ResourceSplit split = new ResourceSplit();
        assertEquals(2, split.processCount(), "before the first observation");
        assertTrue(split.update(true, false));
        assertEquals(1, split.processCount());
        assertFalse(split.update(true, false));
        assertTrue(split.update(true, true));
        assertEquals(ResourceSplit.State.FOLLOWED, split.state());
        assertEquals(2, split.processCount());
        assertTrue(split.update(true, false), "the follower has ended");
        assertEquals(1, split.processCount());
    }

    @Test
    void followerUsesAllResourcesOnceItServesAlone() {
        ResourceSplit follower = new ResourceSplit();
        assertFalse(follower.update(false, true));
        assertEquals(2, follower.processCount());
        assertTrue(follower.update(true, false));
        assertEquals(1, follower.processCount());
    }
}
