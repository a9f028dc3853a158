package lemondrift.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;
import lemondrift.model.DeduplicationScope;
import lemondrift.model.Idempotency;
import lemondrift.model.RequestClass;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.UniqueElements;
import org.junit.jupiter.api.Test;

class RequestClassIndexTest {
    private static RequestClass grade(Idempotency effect, double benefit) {
        return new RequestClass(benefit, 0, 1, 2, effect, DeduplicationScope.ALL, 0);
    }

    private static final RequestClass PURE = grade(Idempotency.IDEMPOTENT, 1);
    private static final RequestClass ONCE = grade(Idempotency.NOT_IDEMPOTENT, 2);

    private static RequestClassIndex retuned(RequestClassIndex old, boolean open, String... names) {
        return old.reloaded(List.of(names), Collections.nCopies(names.length, PURE), i -> open);
    }

    @Test
    void aClassKeepsItsIndexWhereverItStands() {
        RequestClassIndex first = new RequestClassIndex(List.of("a", "b"), List.of(PURE, PURE));
        RequestClassIndex next =
                first.reloaded(
                        List.of("c", "b"),
                        List.of(PURE, grade(Idempotency.IDEMPOTENT, 7)),
                        i -> false);
        assertEquals(1, next.indexOf("b"));
        assertEquals(
                7, next.byIndex().get(1).priorityWeight(), "what comes has what is stated now");
        assertEquals(2, next.indexOf("c"), "an index dropped just now may still be on its way");
        assertEquals(-1, next.indexOf("a"));
        assertNull(next.byIndex().get(0));
        assertEquals(List.of(2), next.reassigned());
        assertEquals(List.of("b", "c"), next.names());
        assertEquals(0, retuned(next, false, "b", "c", "d").indexOf("d"), "given out again later");
        assertEquals(3, retuned(next, true, "b", "c", "d").indexOf("d"), "not while it is open");
    }

    @Test
    void anotherEffectIsAnotherClass() {
        RequestClassIndex next =
                new RequestClassIndex(List.of("a"), List.of(PURE))
                        .reloaded(List.of("a"), List.of(ONCE), i -> false);
        assertEquals(1, next.indexOf("a"));
        assertNull(next.byIndex().get(0));
    }

    @Test
    void othersOfTheSameNamesStandUnderTheSameIndexes() {
        RequestClassIndex next =
                new RequestClassIndex(List.of("a", "b"), List.of(PURE, PURE))
                        .reloaded(List.of("b"), List.of(PURE), i -> false);
        assertEquals(Stream.of(null, ONCE).toList(), next.byIndex(List.of(ONCE)));
    }

    /**
     * Any retunes in a row: each name has one index, its own, and there are no more than are
     * needed.
     */
    @Property(tries = 200, seed = "48")
    void indexesAreBoundedAndTellNamesApart(
            @ForAll @Size(min = 1, max = 40)
                    List<@Size(min = 1, max = 5) @UniqueElements List<@IntRange(max = 7) Integer>>
                            retunes) {
        RequestClassIndex requestClasses = new RequestClassIndex(List.of("0"), List.of(PURE));
        for (List<Integer> each : retunes) {
            RequestClassIndex old = requestClasses;
            requestClasses =
                    retuned(old, false, each.stream().map(String::valueOf).toArray(String[]::new));
            for (int name : each) {
                int at = requestClasses.indexOf("" + name);
                assertNotNull(requestClasses.byIndex().get(at));
                assertTrue(
                        old.indexOf("" + name) < 0
                                ? requestClasses.reassigned().contains(at)
                                : at == old.indexOf("" + name)
                                        && !requestClasses.reassigned().contains(at));
            }
            assertEquals(
                    each.size(), requestClasses.byIndex().stream().filter(g -> g != null).count());
        }
        assertTrue(requestClasses.byIndex().size() <= 10, "two files' classes at the most");
    }
}
