package lemondrift.lab.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import lemondrift.settings.InvalidSettingsException;
import org.junit.jupiter.api.Test;

/** Tests the load generator against a minimal server that responds after a fixed delay. */
class LoadGeneratorTest {
    private static InetSocketAddress startServer(String status, int delayMillis)
            throws IOException {
        ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        startDaemon(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        startDaemon(
                                () -> {
                                    byte[] buffer = new byte[4096];
                                    while (socket.getInputStream().read(buffer) > 0) {
                                        Thread.sleep(delayMillis);
                                        String response =
                                                "HTTP/1.1 "
                                                        + status
                                                        + "\r\nContent-Length: 2\r\n\r\nok";
                                        socket.getOutputStream()
                                                .write(
                                                        response.getBytes(
                                                                StandardCharsets.US_ASCII));
                                    }
                                });
                    }
                });
        return new InetSocketAddress("127.0.0.1", server.getLocalPort());
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void startDaemon(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // The peer has closed the connection.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private static LoadGenerator.Result run(InetSocketAddress to, double rate, int connections)
            throws Exception {
        return LoadGenerator.run(new LoadGenerator.Plan(to, rate, 1, 0.2, connections, "look", 5));
    }

    @Test
    void latencyIsRecordedWithoutTheWarmUp() throws Exception {
        LoadGenerator.Result result = run(startServer("200 OK", 20), 100, 32);
        assertEquals(100, result.sent());
        assertEquals(100, result.succeeded());
        assertTrue(result.latency().getMinValue() >= 20_000 * 0.98, result.toString());
    }

    @Test
    void loadThatFallsBehindReportsItAndCountsTheWaitAsLatency() throws Exception {
        // Two connections at 50 ms per request can send 40 requests per second; the plan requests
        // 200.
        LoadGenerator.Result result = run(startServer("200 OK", 50), 200, 2);
        assertFalse(result.reachedRate());
        assertTrue(result.toString().contains("BEHIND"), result.toString());
        assertTrue(
                result.latency().getMaxValue() > 1_000_000,
                "latency must be measured from when the request was due");
    }

    @Test
    void rejectedAndFailedRequestsAreCountedSeparately() throws Exception {
        assertEquals(100, run(startServer("503 Rejected", 0), 100, 8).rejected());
        assertEquals(100, run(startServer("502 Failed", 0), 100, 8).failed());
        int port;
        try (ServerSocket closed = new ServerSocket(0)) {
            port = closed.getLocalPort();
        }
        assertEquals(100, run(new InetSocketAddress("127.0.0.1", port), 100, 8).failed());
    }

    private static void assertRejected(InetSocketAddress to, double rate) {
        assertThrows(
                InvalidSettingsException.class,
                () -> new LoadGenerator.Plan(to, rate, 1, 0, 1, "look", 1));
    }

    @Test
    void onlyLoopbackTargetsAreAccepted() {
        for (String other : new String[] {"10.0.0.1", "192.168.1.1", "8.8.8.8"}) {
            assertRejected(new InetSocketAddress(other, 80), 1);
        }
        assertRejected(InetSocketAddress.createUnresolved("localhost", 80), 1);
        assertRejected(new InetSocketAddress("127.0.0.1", 80), 0);
    }
}
