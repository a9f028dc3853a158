package lemondrift.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import lemondrift.model.EndpointUpdate;
import org.junit.jupiter.api.Test;

/** Tests which updates result from endpoint lists, and in which order. */
class BackendDirectoryTest {
    private static final int BACKENDS = 3200;

    private final BackendDirectory directory = new BackendDirectory(List.of("a"));

    private List<EndpointUpdate> apply(boolean complete, String... idPhasePort) {
        EndpointListUpdate update =
                new EndpointListUpdate(
                        directory, EndpointLists.of(complete, idPhasePort), false, () -> {});
        List<EndpointUpdate> updates = new ArrayList<>();
        while (!update.isDone()) {
            updates.addAll(update.nextSlice());
        }
        return updates;
    }

    @Test
    void updatesWithdrawnBackendsFirstInALongList() {
        apply(true, "one active 1", "two active 2");
        String[] endpoints =
                IntStream.range(0, BACKENDS)
                        .mapToObj(backend -> "many-" + backend + " active " + (1000 + backend))
                        .toArray(String[]::new);
        endpoints[BACKENDS - 1] = "two leaving 2";
        List<EndpointUpdate> updates = apply(true, endpoints);
        assertEquals(
                List.of(
                        EndpointUpdate.State.GONE,
                        EndpointUpdate.State.DRAINING,
                        EndpointUpdate.State.READY),
                updates.stream().limit(3).map(EndpointUpdate::state).toList());
        assertEquals(
                List.of(), apply(true, endpoints), "applying an unchanged list gives no updates");
    }

    @Test
    void reusesIndexOnceBackendIsGoneAndNotReferenced() {
        apply(true, "one active 1", "two active 2");
        directory.retain(0);
        assertTrue(
                apply(true, "two active 2")
                        .contains(new EndpointUpdate(0, false, 0, 3, EndpointUpdate.State.GONE, 0)),
                "missing from a complete list");
        assertEquals(2, apply(false, "three active 3").get(0).backend(), "still referenced");
        directory.release(0);
        assertEquals(
                new EndpointUpdate(0, true, 0, 3, EndpointUpdate.State.READY, 0),
                apply(false, "four active 4").get(0));
        assertEquals(
                3,
                apply(false, "one active 1").get(0).backend(),
                "its former index is in use, so it gets a new one");
    }

    @Test
    void removesFormerBackendWhenItsAddressIsReused() {
        apply(true, "one active 1");
        assertEquals(
                List.of(
                        new EndpointUpdate(0, false, 0, 3, EndpointUpdate.State.GONE, 0),
                        new EndpointUpdate(0, true, 0, 3, EndpointUpdate.State.READY, 0)),
                apply(false, "two active 1"));
    }

    /** Guards against requests for a former backend reaching a new one that drains already. */
    @Test
    void removesFormerBackendWhenItsAddressIsReusedByOneThatDrains() {
        apply(true, "one active 1 100", "other active 2 100");
        assertEquals(
                List.of(
                        new EndpointUpdate(0, false, 0, 3, EndpointUpdate.State.GONE, 0),
                        new EndpointUpdate(0, true, 0, 3, EndpointUpdate.State.DRAINING, 200)),
                apply(false, "two leaving 1 200"));
        assertEquals(
                List.of(new EndpointUpdate(2, true, 0, 3, EndpointUpdate.State.DRAINING, 50)),
                apply(false, "older leaving 2 50"),
                "a former backend that is listed late replaces none");
    }
}
