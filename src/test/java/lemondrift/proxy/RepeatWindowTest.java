package lemondrift.proxy;

import static lemondrift.proxy.ScriptedServer.CLOSE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that a request which may have been executed is written again only while backends recognize
 * it, whatever happens between the decision and the write.
 */
class RepeatWindowTest extends LoopbackFixture {
    /** How long backends recognize the key of a request, in milliseconds. */
    private static final int KEY_TTL_MILLIS = 1000;

    private static final int RESPONSE_TIMEOUT_SECONDS = 10;

    @Override
    protected String config(int discoveryPort) {
        return super.config(discoveryPort)
                .replace("\"connectTimeout\":250", "\"connectTimeout\":5000")
                .replace(
                        "\"effect\":\"fragile\"",
                        "\"effect\":\"dedup\",\"group\":\"all\",\"keyTtl\":" + KEY_TTL_MILLIS);
    }

    /** Releases a connection on the I/O thread and returns once it is released. */
    private void release(HeldConnector.HeldConnection connection) throws Exception {
        CompletableFuture<Void> released = new CompletableFuture<>();
        proxy.runOnIoThread(
                () -> {
                    connection.release().run();
                    released.complete(null);
                });
        released.get(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Guards against an effect that happens twice because the connection for a retry comes up, or
     * the I/O thread continues, when the key is forgotten or about to be. The process may be held
     * up for 150 ms more between its last look at the clock and the write.
     */
    @ParameterizedTest
    @CsvSource({"300, 2", "700, 2", "860, 1", "960, 1", "1100, 1"})
    void writesRetryOnlyWhileItsKeyIsRecognized(int writableAfterMillis, int expectedAttempts)
            throws Exception {
        heldConnector = new HeldConnector(ProxyServer.createWorker());
        ScriptedServer first = backend(CLOSE);
        ScriptedServer second = backend(CLOSE);
        start(first, second);
        CompletableFuture<HttpResponse<String>> response =
                sendAsync(
                        request(TestConfig.NOT_IDEMPOTENT_CLASS)
                                .POST(BodyPublishers.ofString("x")));
        HeldConnector.HeldConnection connection = heldConnector.nextConnection();
        long firstSentAt = System.nanoTime();
        release(connection);
        HeldConnector.HeldConnection retryConnection = heldConnector.nextConnection();
        long waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - firstSentAt);
        Thread.sleep(writableAfterMillis - waitedMillis);
        release(retryConnection);
        assertTrue(response.get(RESPONSE_TIMEOUT_SECONDS, TimeUnit.SECONDS).statusCode() >= 500);
        assertEquals(expectedAttempts, first.requests.size() + second.requests.size());
    }
}
