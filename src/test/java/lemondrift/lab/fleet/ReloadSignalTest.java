package lemondrift.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A real process at SIGHUP, its files changing under it, beside live traffic. */
class ReloadSignalTest {
    private static final int TIMES = 50;
    private static final long BOUND = TimeUnit.SECONDS.toNanos(30);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient http = HttpClient.newHttpClient();
    private FleetTestbed stand;
    private int asked;

    /** The status of a request of the class that only the changed settings have. */
    private int fresh() {
        InetSocketAddress to = stand.address(0);
        try {
            return http.send(
                            HttpRequest.newBuilder(
                                            URI.create(
                                                    "http://"
                                                            + LoopbackAddresses.text(to)
                                                            + "/api"))
                                    .header("X-Trace-Id", BackendFleet.ASIDE + ++asked)
                                    .header("X-Qos", "fresh")
                                    .header("X-Expires-In-Ms", "4000")
                                    .build(),
                            HttpResponse.BodyHandlers.ofString())
                    .statusCode();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private static void await(String what, BooleanSupplier state) throws InterruptedException {
        for (long until = System.nanoTime() + BOUND; !state.getAsBoolean(); Thread.sleep(5)) {
            assertTrue(System.nanoTime() < until, "not reached: " + what);
        }
    }

    private long refused() {
        try {
            return Files.readString(stand.folder().resolve("n0.log"))
                    .lines()
                    .filter(line -> line.contains("new configuration not used"))
                    .count();
        } catch (java.io.IOException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Danger: a file that is gone or broken though it holds from a start on kept the settings
     * unfollowed.
     */
    @Test
    void settingsAreFollowedWhateverBecomesOfThePeersFile(@TempDir Path folder) throws Exception {
        Path peers = folder.resolve("peers.json");
        String good = Files.readString(Path.of("deploy/peers.json"));
        Files.writeString(peers, good);
        stand = Fleets.start(0.3, peers);
        try (FleetTestbed its = stand) {
            CompletableFuture<FleetTestbed.Played> traffic =
                    CompletableFuture.supplyAsync(
                            () -> {
                                try {
                                    return stand.play(List.of(), List.of(), 8);
                                } catch (InterruptedException e) {
                                    throw new IllegalStateException(e);
                                }
                            });
            Path config = stand.folder().resolve("n0.json");
            String usual = Files.readString(config);
            String changed = withAFreshClass(usual);
            for (int i = 0; i < TIMES; i++) {
                long before = refused();
                switch (i % 5) {
                    case 0, 3 -> {
                        Files.writeString(peers, i % 5 == 0 ? good : "{\"pace\": \"no number\"");
                        Files.writeString(config, changed);
                        stand.hangUp(0);
                        await("the new class is known", () -> fresh() == 200);
                    }
                    case 1 -> {
                        Files.writeString(config, changed.substring(0, changed.length() / 2));
                        stand.hangUp(0);
                        await("the broken file is refused", () -> refused() > before);
                        assertEquals(200, fresh(), "the settings stay, whole");
                    }
                    default -> {
                        Files.deleteIfExists(peers);
                        Files.writeString(config, usual);
                        stand.hangUp(0);
                        await("the class is gone", () -> fresh() == 400);
                    }
                }
            }
            FleetTestbed.Played played = traffic.get();
            assertNull(played.broken());
            assertEquals(
                    played.figures().clientRequests,
                    played.figures().succeeded,
                    played.figures().toString());
            assertEquals(List.of(), its.stop());
        }
    }

    private static String withAFreshClass(String config) throws Exception {
        ObjectNode root = (ObjectNode) JSON.readTree(config);
        ArrayNode grades = (ArrayNode) root.path("settings").path("serviceGrades");
        grades.add(((ObjectNode) grades.get(0)).deepCopy().put("name", "fresh"));
        return root.toString();
    }
}
