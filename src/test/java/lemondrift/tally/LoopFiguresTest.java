package lemondrift.tally;

import static org.junit.jupiter.api.Assertions.*;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import org.junit.jupiter.api.Test;

/** What is told of how the decisions keep up. */
class LoopFiguresTest {
    private final LoopFigures figures = new LoopFigures();

    @Test
    void aLongWaitIsALineOfTheLogOnceAndStaysAmongTheFigures() {
        figures.handled(LoopFigures.Kind.ARRIVAL, 9.999, 10, 10.001, 0);
        assertNull(figures.line(10.001), "nothing of note");
        figures.handled(LoopFigures.Kind.TIMER, 10.1, 10.4, 10.41, 7);
        assertNull(figures.line(10.5), "a line a second at the most");
        assertTrue(figures.line(11.01).contains("lately_waited=0.300s"));
        assertNull(figures.line(12.02), "no longer of late");
        JsonObject told = JsonParser.parseString(figures.latest()).getAsJsonObject();
        assertEquals(0.3, told.get("longest_wait").getAsDouble(), 1e-6);
        assertEquals("TIMER", told.get("longest_wait_of").getAsString());
        assertEquals(0.01, told.get("longest_event").getAsDouble(), 1e-6);
        assertEquals(7, told.get("longest_queue").getAsInt());
        assertEquals(1, told.getAsJsonObject("handled").get("ARRIVAL").getAsInt());
    }
}
