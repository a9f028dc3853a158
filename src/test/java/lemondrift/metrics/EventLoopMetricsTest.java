package lemondrift.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import org.junit.jupiter.api.Test;

/** Tests the log line and the JSON of the decision loop's metrics. */
class EventLoopMetricsTest {
    private final EventLoopMetrics loopMetrics = new EventLoopMetrics();

    @Test
    void longWaitIsLoggedOnceAndStaysInTheJson() {
        loopMetrics.eventHandled(EventLoopMetrics.Kind.ARRIVAL, 0.001);
        assertNull(
                loopMetrics.iterationEnded(0.001, 0, 10),
                "no wait or iteration above the log threshold");
        loopMetrics.eventHandled(EventLoopMetrics.Kind.TIMER, 0.3);
        loopMetrics.eventHandled(EventLoopMetrics.Kind.LIST, -1);
        assertTrue(
                loopMetrics
                        .iterationEnded(0.06, 7, 10.5)
                        .startsWith("recent_wait_ms=300 recent_iteration_ms=60"));
        loopMetrics.eventHandled(EventLoopMetrics.Kind.ARRIVAL, 0.2);
        assertNull(loopMetrics.iterationEnded(0.01, 0, 11), "at most one line per second");
        assertTrue(loopMetrics.iterationEnded(0.01, 0, 11.6).startsWith("recent_wait_ms=200"));
        assertNull(loopMetrics.iterationEnded(0.01, 0, 13), "no long wait since the last line");
        JsonObject json = JsonParser.parseString(loopMetrics.json()).getAsJsonObject();
        assertEquals(0.3, json.get("longest_wait").getAsDouble());
        assertEquals("TIMER", json.get("longest_wait_of").getAsString());
        assertEquals(0.06, json.get("longest_turn").getAsDouble());
        assertEquals("LIST", json.get("longest_turn_of").getAsString());
        assertEquals(7, json.get("longest_queue").getAsInt());
        assertEquals(2, json.getAsJsonObject("handled").get("ARRIVAL").getAsInt());
    }
}
