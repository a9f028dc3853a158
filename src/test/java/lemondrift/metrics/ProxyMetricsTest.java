package lemondrift.metrics;

import static org.junit.jupiter.api.Assertions.*;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ProxyMetricsTest {
    /** 0 takes one, 1 answers and ends one, 2 ends one whose client has gone. */
    @Property(seed = "48")
    void inHandIsWhatWasTakenLessWhatHasEnded(@ForAll List<@IntRange(min = 0, max = 2) Integer> events) {
        ProxyMetrics tally = new ProxyMetrics();
        tally.grades(List.of("look"));
        int open = 0, answered = 0, gone = 0, taken = 0;
        for (int event : events) {
            if (event == 0) {
                tally.taken();
                taken++;
                open++;
            } else if (open > 0) {
                if (event == 1) {
                    tally.replied("look", ProxyMetrics.Reply.SUCCESS);
                    answered++;
                } else {
                    gone++;
                }
                tally.ended();
                open--;
            }
        }
        ProxyMetrics.Figures figures = tally.figures();
        assertEquals(open, figures.concurrent());
        assertEquals(answered, figures.replies().get("look")[ProxyMetrics.Reply.SUCCESS.ordinal()]);
        assertEquals(taken, answered + gone + figures.concurrent());
    }

    @Test
    void aGradeThatIsDroppedKeepsItsCountsAndANewOneBeginsAtNone() {
        ProxyMetrics tally = new ProxyMetrics();
        tally.grades(List.of("look", "order"));
        tally.replied("look", ProxyMetrics.Reply.OVERLOAD);
        tally.grades(List.of("order", "book"));
        tally.replied("nobody's", ProxyMetrics.Reply.ERROR);
        assertArrayEquals(new long[] {0, 1, 0}, tally.figures().replies().get("look"));
        assertArrayEquals(new long[3], tally.figures().replies().get("book"));
        assertEquals(3, tally.figures().replies().size());
    }

    @Test
    void figuresOnceReadDoNotChange() {
        ProxyMetrics tally = new ProxyMetrics();
        tally.grades(List.of("look"));
        ProxyMetrics.Figures figures = tally.figures();
        tally.replied("look", ProxyMetrics.Reply.ERROR);
        tally.taken();
        assertEquals(0, figures.replies().get("look")[2] + figures.concurrent());
    }
}
