package lemondrift.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a real process that gets SIGHUP while its files change and clients send traffic. */
class ReloadSignalTest {
    private static final int RELOADS = 50;
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient http = HttpClient.newHttpClient();
    private FleetTestbed testbed;
    private int requestCount;

    /**
     * Sends a request of the class that only the changed settings have, and returns the status
     * code.
     */
    private int statusOfNewClass() {
        InetSocketAddress proxy = testbed.listenAddress(0);
        try {
            return http.send(
                            HttpRequest.newBuilder(
                                            URI.create(
                                                    "http://"
                                                            + LoopbackAddresses.hostAndPort(proxy)
                                                            + "/api"))
                                    .header(
                                            "X-Trace-Id",
                                            BackendRequestHandler.UNCHECKED_TRACE_ID_PREFIX
                                                    + ++requestCount)
                                    .header("X-Qos", "fresh")
                                    .header("X-Expires-In-Ms", "4000")
                                    .build(),
                            HttpResponse.BodyHandlers.ofString())
                    .statusCode();
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private static void await(String description, BooleanSupplier condition)
            throws InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "timed out waiting for: " + description);
            Thread.sleep(5);
        }
    }

    private long countRejectedConfigurations() {
        try {
            return Files.readString(testbed.folder().resolve("n0.log"))
                    .lines()
                    .filter(line -> line.contains("new configuration not used"))
                    .count();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Guards against a missing or broken peers file that blocks new settings. */
    @Test
    void newSettingsAreUsedEvenIfThePeersFileIsMissingOrBroken(@TempDir Path folder)
            throws Exception {
        Path peers = folder.resolve("peers.json");
        String validPeers = Files.readString(Path.of("deploy/peers.json"));
        Files.writeString(peers, validPeers);
        testbed = Fleets.start(0.3, peers);
        try (FleetTestbed closing = testbed) {
            CompletableFuture<FleetTestbed.RunOutcome> traffic =
                    CompletableFuture.supplyAsync(
                            () -> {
                                try {
                                    return testbed.run(List.of(), List.of(), 8);
                                } catch (InterruptedException e) {
                                    throw new IllegalStateException(e);
                                }
                            });
            Path config = testbed.folder().resolve("n0.json");
            String original = Files.readString(config);
            String changed = withNewClass(original);
            for (int i = 0; i < RELOADS; i++) {
                long before = countRejectedConfigurations();
                switch (i % 5) {
                    case 0, 3 -> {
                        Files.writeString(
                                peers, i % 5 == 0 ? validPeers : "{\"pace\": \"no number\"");
                        Files.writeString(config, changed);
                        testbed.reload(0);
                        await("the new class is known", () -> statusOfNewClass() == 200);
                    }
                    case 1 -> {
                        Files.writeString(config, changed.substring(0, changed.length() / 2));
                        testbed.reload(0);
                        await(
                                "the broken file is rejected",
                                () -> countRejectedConfigurations() > before);
                        assertEquals(
                                200,
                                statusOfNewClass(),
                                "the previous settings must stay in use completely");
                    }
                    default -> {
                        Files.deleteIfExists(peers);
                        Files.writeString(config, original);
                        testbed.reload(0);
                        await("the new class is unknown again", () -> statusOfNewClass() == 400);
                    }
                }
            }
            FleetTestbed.RunOutcome outcome = traffic.get();
            assertEquals(Optional.empty(), outcome.brokenRule());
            assertEquals(
                    outcome.result().clientRequests,
                    outcome.result().succeeded,
                    outcome.result().toString());
            assertEquals(List.of(), closing.stop());
        }
    }

    private static String withNewClass(String config) throws Exception {
        ObjectNode root = (ObjectNode) JSON.readTree(config);
        ArrayNode requestClasses = (ArrayNode) root.path("settings").path("serviceGrades");
        requestClasses.add(((ObjectNode) requestClasses.get(0)).deepCopy().put("name", "fresh"));
        return root.toString();
    }
}
