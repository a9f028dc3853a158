package lemondrift.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import org.junit.jupiter.api.Test;

/** What is told of how the decisions keep up. */
class EventLoopMetricsTest {
    private final EventLoopMetrics loopMetrics = new EventLoopMetrics();

    @Test
    void aLongWaitIsALineOfTheLogOnceAndStaysAmongTheFigures() {
        loopMetrics.eventHandled(EventLoopMetrics.Kind.ARRIVAL, 0.001);
        assertNull(loopMetrics.iterationEnded(0.001, 0, 10), "nothing of note");
        loopMetrics.eventHandled(EventLoopMetrics.Kind.TIMER, 0.3);
        loopMetrics.eventHandled(EventLoopMetrics.Kind.LIST, -1);
        assertTrue(
                loopMetrics
                        .iterationEnded(0.06, 7, 10.5)
                        .startsWith("lately_waited_ms=300 lately_lasted_ms=60"));
        loopMetrics.eventHandled(EventLoopMetrics.Kind.ARRIVAL, 0.2);
        assertNull(loopMetrics.iterationEnded(0.01, 0, 11), "a line a second at the most");
        assertTrue(loopMetrics.iterationEnded(0.01, 0, 11.6).startsWith("lately_waited_ms=200"));
        assertNull(loopMetrics.iterationEnded(0.01, 0, 13), "no longer of late");
        JsonObject told = JsonParser.parseString(loopMetrics.json()).getAsJsonObject();
        assertEquals(0.3, told.get("longest_wait").getAsDouble());
        assertEquals("TIMER", told.get("longest_wait_of").getAsString());
        assertEquals(0.06, told.get("longest_turn").getAsDouble());
        assertEquals("LIST", told.get("longest_turn_of").getAsString());
        assertEquals(7, told.get("longest_queue").getAsInt());
        assertEquals(2, told.getAsJsonObject("handled").get("ARRIVAL").getAsInt());
    }
}
