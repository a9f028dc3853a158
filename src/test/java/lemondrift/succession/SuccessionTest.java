package lemondrift.succession;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;

class SuccessionTest {
    @Test
    void halfIsUsedUntilItIsSureThatNobodyElseHasTheRest() {
        Succession one = new Succession();
        assertEquals(2, one.processes(), "nobody has looked yet");
        assertTrue(one.looked(true, false));
        assertEquals(1, one.processes());
        assertFalse(one.looked(true, false));
        assertTrue(one.looked(true, true));
        assertEquals(Succession.State.FOLLOWED, one.state());
        assertEquals(2, one.processes());
        assertTrue(one.looked(true, false), "the successor did not live");
        assertEquals(1, one.processes());
    }

    @Test
    void aSuccessorHasAllOnceThePredecessorHasEnded() {
        Succession next = new Succession();
        assertFalse(next.looked(false, true));
        assertEquals(2, next.processes());
        assertTrue(next.looked(true, false));
        assertEquals(1, next.processes());
    }
}
