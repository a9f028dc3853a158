package lemondrift.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;
import lemondrift.lab.simulation.RunResult;
import lemondrift.lab.simulation.Scenario;
import lemondrift.model.Idempotency;
import lemondrift.model.RequestClass;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests client requests whose reused connection to a proxy is closed before the response. */
class ClientTryTest {
    private static final int FIRST = 0;
    private static final int SECOND = 1;
    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /**
     * A proxy that passes the connection of each request to the test, which responds or closes it.
     */
    private static final class FakeProxy implements AutoCloseable {
        private final ServerSocket server =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final BlockingQueue<Socket> requests = new ArrayBlockingQueue<>(10);

        FakeProxy() throws IOException {
            Thread thread = new Thread(this::acceptAll, "fake proxy");
            thread.setDaemon(true);
            thread.start();
        }

        private void acceptAll() {
            try {
                while (true) {
                    readAll(server.accept());
                }
            } catch (IOException e) {
                // Closed by the test, or by the client.
            }
        }

        /** Reads requests up to the end of their head; the body of a request is ignored. */
        private void readAll(Socket client) throws IOException {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    client.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (line.isEmpty()) {
                    requests.add(client);
                }
            }
        }

        /** Waits for a request; null if none arrives in time. */
        Socket awaitRequest() throws InterruptedException {
            return requests.poll(10, TimeUnit.SECONDS);
        }

        InetSocketAddress address() {
            return (InetSocketAddress) server.getLocalSocketAddress();
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** Two proxies; clients are sent to the first as long as it is open. */
    private final class TwoProxies implements ClientTargets {
        private boolean firstOpen = true;

        @Override
        public boolean areBackends() {
            return false;
        }

        @Override
        public InetSocketAddress address(int target) {
            return proxies.get(target).address();
        }

        @Override
        public OptionalInt pick(IntUnaryOperator inFlight) {
            return OptionalInt.of(firstOpen ? FIRST : SECOND);
        }

        @Override
        public boolean isOpen(int target) {
            return target == SECOND || firstOpen;
        }

        @Override
        public void reportUnreachable(int target) {
            firstOpen = false;
        }
    }

    private final TwoProxies targets = new TwoProxies();
    private List<FakeProxy> proxies;
    private TestbedContext context;
    private ClientFleet fleet;
    private ClientConnections connections;
    private RunResult result;

    @BeforeEach
    void start() throws Exception {
        proxies = List.of(new FakeProxy(), new FakeProxy());
        Scenario scenario = Fleets.experiment(0.4).day(1);
        context = TestbedContext.create(scenario, 1, 4, () -> null);
        fleet = new ClientFleet(context, targets, null);
        connections = new ClientConnections(context.ioThread());
        result = context.scheduler().call(context.recorder()::result);
    }

    @AfterEach
    void stop() throws Exception {
        context.scheduler().run(connections::close);
        context.worker().shutdownNow();
        for (FakeProxy proxy : proxies) {
            proxy.close();
        }
    }

    private void send(String traceId, Idempotency idempotency) throws InterruptedException {
        List<RequestClass> classes = context.scenario().settings().requestClasses();
        int index =
                IntStream.range(0, classes.size())
                        .filter(each -> classes.get(each).idempotency() == idempotency)
                        .findFirst()
                        .orElseThrow();
        context.scheduler()
                .run(
                        () -> {
                            ClientRequest request =
                                    new ClientRequest(
                                            index,
                                            classes.get(index),
                                            context.scheduler().now(),
                                            0,
                                            0.01,
                                            result);
                            new ClientTry(fleet, context, targets, connections, request, traceId)
                                    .start();
                        });
    }

    /**
     * Completes a first request, sends a second one on the same connection, and closes the first
     * proxy for further requests; returns the connection of the second request.
     */
    private Socket sendOnReusedConnection(Idempotency idempotency) throws Exception {
        send("first", idempotency);
        proxies.get(FIRST).awaitRequest().getOutputStream().write(RESPONSE);
        awaitCount(1, true);
        send("second", idempotency);
        Socket inFlight = proxies.get(FIRST).awaitRequest();
        context.scheduler().run(() -> targets.firstOpen = false);
        return inFlight;
    }

    private void awaitCount(int expected, boolean succeeded) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        int count = 0;
        while (count < expected && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(1);
            count =
                    context.scheduler()
                            .call(() -> (int) (succeeded ? result.succeeded : result.unanswered));
        }
        assertEquals(expected, count, succeeded ? "succeeded" : "unanswered");
    }

    /**
     * Guards against a client of the testbed that resends a request which the killed proxy had
     * already sent to a backend. The recorder would count the repetition as a fault of the proxies.
     */
    @Test
    void doesNotResendAtAnotherProxyAfterItsProxyWasKilled() throws Exception {
        Socket inFlight = sendOnReusedConnection(Idempotency.NOT_IDEMPOTENT);
        context.scheduler().run(() -> context.recorder().markUnavailable(FIRST));
        inFlight.close();
        awaitCount(1, false);
        assertTrue(
                proxies.get(SECOND).requests.isEmpty(),
                "the request must not be sent to the other proxy");
    }

    /** A draining proxy may close an idle connection while a request is being sent on it. */
    @Test
    void resendsAtAnotherProxyWhenAnIdleConnectionClosesDuringSend() throws Exception {
        Socket inFlight = sendOnReusedConnection(Idempotency.NOT_IDEMPOTENT);
        inFlight.close();
        proxies.get(SECOND).awaitRequest().getOutputStream().write(RESPONSE);
        awaitCount(2, true);
    }
}
