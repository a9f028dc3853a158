package lemondrift.metrics;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests the counts of requests and replies. */
class ProxyMetricsTest {
    /**
     * Event 0 accepts a request, 1 replies to a request and completes it, 2 completes a request
     * whose client has left.
     */
    @Property(seed = "48")
    void requestsInFlightEqualAcceptedMinusCompleted(
            @ForAll List<@IntRange(min = 0, max = 2) Integer> events) {
        ProxyMetrics metrics = new ProxyMetrics();
        metrics.registerClasses(List.of("look"));
        int inFlight = 0;
        int answered = 0;
        int clientsLeft = 0;
        int accepted = 0;
        for (int event : events) {
            if (event == 0) {
                metrics.requestAccepted();
                accepted++;
                inFlight++;
            } else if (inFlight > 0) {
                if (event == 1) {
                    metrics.replySent("look", ProxyMetrics.Reply.SUCCESS);
                    answered++;
                } else {
                    clientsLeft++;
                }
                metrics.requestCompleted();
                inFlight--;
            }
        }
        ProxyMetrics.Snapshot snapshot = metrics.snapshot();
        assertEquals(inFlight, snapshot.requestsInFlight());
        assertEquals(
                answered, snapshot.replies().get("look")[ProxyMetrics.Reply.SUCCESS.ordinal()]);
        assertEquals(accepted, answered + clientsLeft + snapshot.requestsInFlight());
    }

    @Test
    void droppedClassKeepsItsCountsAndNewClassStartsAtZero() {
        ProxyMetrics metrics = new ProxyMetrics();
        metrics.registerClasses(List.of("look", "order"));
        metrics.replySent("look", ProxyMetrics.Reply.OVERLOAD);
        metrics.registerClasses(List.of("order", "book"));
        metrics.replySent("unregistered", ProxyMetrics.Reply.ERROR);
        assertArrayEquals(new long[] {0, 1, 0}, metrics.snapshot().replies().get("look"));
        assertArrayEquals(new long[3], metrics.snapshot().replies().get("book"));
        assertEquals(3, metrics.snapshot().replies().size());
    }

    @Test
    void snapshotIsNotAffectedByLaterCounts() {
        ProxyMetrics metrics = new ProxyMetrics();
        metrics.registerClasses(List.of("look"));
        ProxyMetrics.Snapshot snapshot = metrics.snapshot();
        metrics.replySent("look", ProxyMetrics.Reply.ERROR);
        metrics.requestAccepted();
        assertEquals(0, snapshot.replies().get("look")[2] + snapshot.requestsInFlight());
    }
}
