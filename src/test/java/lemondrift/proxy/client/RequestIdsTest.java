package lemondrift.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests for how long the id of a request stays in use. */
class RequestIdsTest {
    private final RequestIds ids = new RequestIds();

    @Test
    void idStaysInUseForSomeTimeAfterItsClientHasLeft() {
        assertTrue(ids.open("a", 100));
        assertFalse(ids.open("a", 101), "two open requests of one id");
        ids.abandon("a", 102);
        assertEquals(0, ids.openCount());
        assertFalse(ids.open("a", 101.9 + RequestIds.ABANDONED_SECONDS));
        assertTrue(ids.open("a", 102 + RequestIds.ABANDONED_SECONDS));
        ids.close("a");
        assertTrue(ids.open("a", 102 + RequestIds.ABANDONED_SECONDS), "answered");
    }

    /** Guards against memory that grows with clients that send ever new ids and leave. */
    @Test
    void oldestIdIsFreedWhenThereAreTooMany() {
        String longId = "x".repeat(8000);
        for (int number = 0; number < 100; number++) {
            assertTrue(ids.open(longId + number, 100));
            ids.abandon(longId + number, 100);
        }
        assertTrue(ids.open(longId + 0, 100));
        assertFalse(ids.open(longId + 99, 100));
    }
}
