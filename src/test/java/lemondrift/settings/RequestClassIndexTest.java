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
    private static RequestClass requestClass(Idempotency idempotency, double priorityWeight) {
        return new RequestClass(priorityWeight, 0, 1, 2, idempotency, DeduplicationScope.ALL, 0);
    }

    private static final RequestClass IDEMPOTENT = requestClass(Idempotency.IDEMPOTENT, 1);
    private static final RequestClass NOT_IDEMPOTENT = requestClass(Idempotency.NOT_IDEMPOTENT, 2);

    private static RequestClassIndex reloaded(
            RequestClassIndex previous, boolean open, String... names) {
        return previous.reloaded(
                List.of(names), Collections.nCopies(names.length, IDEMPOTENT), i -> open);
    }

    @Test
    void classKeepsItsIndexAtAnyPositionInTheFile() {
        RequestClassIndex first =
                new RequestClassIndex(List.of("a", "b"), List.of(IDEMPOTENT, IDEMPOTENT));
        RequestClassIndex next =
                first.reloaded(
                        List.of("c", "b"),
                        List.of(IDEMPOTENT, requestClass(Idempotency.IDEMPOTENT, 7)),
                        i -> false);
        assertEquals(1, next.indexOf("b"));
        assertEquals(
                7,
                next.classesByIndex().get(1).priorityWeight(),
                "requests arrive under the current settings of the class");
        assertEquals(
                2,
                next.indexOf("c"),
                "a request under the index just dropped may still be on its way");
        assertEquals(-1, next.indexOf("a"));
        assertNull(next.classesByIndex().get(0));
        assertEquals(List.of(2), next.reassigned());
        assertEquals(List.of("b", "c"), next.names());
        assertEquals(
                0,
                reloaded(next, false, "b", "c", "d").indexOf("d"),
                "the index is assigned again later");
        assertEquals(
                3,
                reloaded(next, true, "b", "c", "d").indexOf("d"),
                "not while a request is open under it");
    }

    @Test
    void classWithOtherIdempotencyGetsANewIndex() {
        RequestClassIndex next =
                new RequestClassIndex(List.of("a"), List.of(IDEMPOTENT))
                        .reloaded(List.of("a"), List.of(NOT_IDEMPOTENT), i -> false);
        assertEquals(1, next.indexOf("a"));
        assertNull(next.classesByIndex().get(0));
    }

    @Test
    void otherClassesWithTheSameNamesGetTheSameIndexes() {
        RequestClassIndex next =
                new RequestClassIndex(List.of("a", "b"), List.of(IDEMPOTENT, IDEMPOTENT))
                        .reloaded(List.of("b"), List.of(IDEMPOTENT), i -> false);
        assertEquals(
                Stream.of(null, NOT_IDEMPOTENT).toList(),
                next.classesByIndex(List.of(NOT_IDEMPOTENT)));
    }

    /**
     * After any sequence of reloads each name has one index of its own, and there are no more
     * indexes than are needed.
     */
    @Property(tries = 200, seed = "48")
    void indexesAreBoundedAndUniquePerName(
            @ForAll @Size(min = 1, max = 40)
                    List<@Size(min = 1, max = 5) @UniqueElements List<@IntRange(max = 7) Integer>>
                            reloads) {
        RequestClassIndex requestClasses = new RequestClassIndex(List.of("0"), List.of(IDEMPOTENT));
        for (List<Integer> each : reloads) {
            RequestClassIndex previous = requestClasses;
            requestClasses =
                    reloaded(
                            previous,
                            false,
                            each.stream().map(String::valueOf).toArray(String[]::new));
            for (int name : each) {
                int index = requestClasses.indexOf("" + name);
                assertNotNull(requestClasses.classesByIndex().get(index));
                assertTrue(
                        previous.indexOf("" + name) < 0
                                ? requestClasses.reassigned().contains(index)
                                : index == previous.indexOf("" + name)
                                        && !requestClasses.reassigned().contains(index));
            }
            assertEquals(
                    each.size(),
                    requestClasses.classesByIndex().stream()
                            .filter(requestClass -> requestClass != null)
                            .count());
        }
        assertTrue(
                requestClasses.classesByIndex().size() <= 10, "at most the classes of two files");
    }
}
