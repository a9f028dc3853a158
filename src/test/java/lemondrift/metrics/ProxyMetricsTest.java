package lemondrift.metrics;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ProxyMetricsTest {
    /** 0 takes one, 1 answers and ends one, 2 ends one whose client has gone. */
    @Property(seed = "48")
    void inHandIsWhatWasTakenLessWhatHasEnded(
            @ForAll List<@IntRange(min = 0, max = 2) Integer> events) {
        ProxyMetrics metrics = new ProxyMetrics();
        metrics.registerClasses(List.of("look"));
        int open = 0;
        int answered = 0;
        int gone = 0;
        int taken = 0;
        for (int event : events) {
            if (event == 0) {
                metrics.requestAccepted();
                taken++;
                open++;
            } else if (open > 0) {
                if (event == 1) {
                    metrics.replySent("look", ProxyMetrics.Reply.SUCCESS);
                    answered++;
                } else {
                    gone++;
                }
                metrics.requestCompleted();
                open--;
            }
        }
        ProxyMetrics.Figures figures = metrics.snapshot();
        assertEquals(open, figures.concurrent());
        assertEquals(answered, figures.replies().get("look")[ProxyMetrics.Reply.SUCCESS.ordinal()]);
        assertEquals(taken, answered + gone + figures.concurrent());
    }

    @Test
    void aGradeThatIsDroppedKeepsItsCountsAndANewOneBeginsAtNone() {
        ProxyMetrics metrics = new ProxyMetrics();
        metrics.registerClasses(List.of("look", "order"));
        metrics.replySent("look", ProxyMetrics.Reply.OVERLOAD);
        metrics.registerClasses(List.of("order", "book"));
        metrics.replySent("nobody's", ProxyMetrics.Reply.ERROR);
        assertArrayEquals(new long[] {0, 1, 0}, metrics.snapshot().replies().get("look"));
        assertArrayEquals(new long[3], metrics.snapshot().replies().get("book"));
        assertEquals(3, metrics.snapshot().replies().size());
    }

    @Test
    void figuresOnceReadDoNotChange() {
        ProxyMetrics metrics = new ProxyMetrics();
        metrics.registerClasses(List.of("look"));
        ProxyMetrics.Figures figures = metrics.snapshot();
        metrics.replySent("look", ProxyMetrics.Reply.ERROR);
        metrics.requestAccepted();
        assertEquals(0, figures.replies().get("look")[2] + figures.concurrent());
    }
}
