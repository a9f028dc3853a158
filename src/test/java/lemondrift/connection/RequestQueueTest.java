package lemondrift.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the bound of the queue in front of the balancer. */
class RequestQueueTest {
    @Test
    void admitsUpToCapacityAndThenByEarliestDeadline() {
        RequestQueue<Integer> requestQueue = new RequestQueue<>(0.4);
        assertTrue(requestQueue.tryReserve(), "not bounded before a decision was measured");
        requestQueue.requestsDecided(1, 0);
        for (int k = 0; k < 200; k++) {
            assertTrue(requestQueue.tryReserve());
            requestQueue.requestsDecided(1, 0.001);
        }
        assertEquals(
                50,
                requestQueue.capacity(),
                1,
                "an eighth of the latency objective at 1 ms per decision");
        int queued = 0;
        while (requestQueue.tryReserve()) {
            queued++;
        }
        assertEquals(requestQueue.capacity(), queued);
        List<Integer> deadlines = new ArrayList<>(IntStream.range(0, 60).boxed().toList());
        Collections.shuffle(deadlines, new Random(3));
        deadlines.forEach(deadline -> requestQueue.holdBack(deadline, deadline));
        assertNull(requestQueue.pollNext());
        assertTrue(requestQueue.isBacklogged());
        requestQueue.requestsDecided(10, 0.010);
        List<Integer> polledInOrder = new ArrayList<>();
        for (Integer polled = requestQueue.pollNext();
                polled != null;
                polled = requestQueue.pollNext()) {
            polledInOrder.add(polled);
        }
        assertEquals(
                deadlines.stream().sorted(Comparator.naturalOrder()).limit(10).toList(),
                polledInOrder);
        assertEquals(50, requestQueue.heldBackCount());
        assertFalse(
                requestQueue.tryReserve(), "a new request is not queued before held-back requests");
    }
}
