package lemondrift.proxy.backend;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which load reports are parsed and which are ignored. */
class LoadReportParserTest {
    @Test
    void ignoresLoadReportWithMissingOrInvalidValues() {
        List<String> names = List.of("queue", "util");
        assertArrayEquals(
                new double[] {2, 0.5},
                LoadReportParser.parse("TEXT util=0.5, x=1, queue=2", names));
        for (String invalid :
                List.of(
                        "",
                        "TEXT",
                        "TEXT queue=2",
                        "queue=2, util=NaN",
                        "queue=-1, util=0.5",
                        "queue=2, util=Infinity",
                        "queue=2, util=1e300",
                        "queue=2, util=",
                        "\u0001\u0002")) {
            assertNull(LoadReportParser.parse(invalid, names), invalid);
        }
    }
}
