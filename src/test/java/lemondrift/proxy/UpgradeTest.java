package lemondrift.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.lifecycle.ProxyLauncher;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Two proxies that accept on one listening socket, which both inherited. */
class UpgradeTest extends LoopbackFixture {
    private ServerSocketChannel sharedSocket;
    private String[] members;
    private int requestCount;

    private ProxyServer serve() throws Exception {
        // Clients that wait are served at once, so the endpoint list has to be known.
        String initialEndpoints = "{\"known\":" + list(1, true, members) + ",";
        ProxyServer follower =
                new ProxyServer(
                        ProxyConfig.read(
                                initialEndpoints + config(discovery.port(), false).substring(1)));
        follower.serve(sharedSocket);
        awaitWatch("from=1");
        return follower;
    }

    private ProxyServer startFirst(StandIn... backends) throws Exception {
        start(backends);
        proxy.drain();
        members =
                IntStream.range(0, backends.length)
                        .mapToObj(i -> member(i, backends[i].port(), "active"))
                        .toArray(String[]::new);
        sharedSocket =
                ServerSocketChannel.open()
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return serve();
    }

    private Socket sendRequest(String requestClass) throws IOException {
        Socket client =
                new Socket(InetAddress.getLoopbackAddress(), sharedSocket.socket().getLocalPort());
        client.getOutputStream()
                .write(
                        ("GET / HTTP/1.1\r\nHost: a\r\nX-Trace-Id: up-"
                                        + ++requestCount
                                        + "\r\nX-Qos: "
                                        + requestClass
                                        + "\r\nX-Expires-In-Ms: 4000\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
        return client;
    }

    private void assertServed(int requests) throws IOException {
        for (int i = 0; i < requests; i++) {
            try (Socket client = sendRequest("look")) {
                assertTrue(read(client).startsWith("HTTP/1.1 200 "));
            }
        }
    }

    @Test
    void theNewProcessTakesOverAndNoRequestIsLost() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        AtomicBoolean asked = new AtomicBoolean();
        StandIn slow =
                backend(
                        request -> {
                            try {
                                return asked.getAndSet(true) || go.await(5, TimeUnit.SECONDS)
                                        ? OK
                                        : CLOSE;
                            } catch (InterruptedException e) {
                                return CLOSE;
                            }
                        });
        ProxyServer serving = startFirst(slow);
        Socket openRequest = sendRequest("look");
        assertNotNull(slow.requests.poll(5, TimeUnit.SECONDS));
        ProxyServer follower = serve();
        Thread drain =
                new Thread(
                        () -> {
                            try {
                                serving.drain();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        drain.start();
        while (serving.phase() == ProxyServer.Phase.SERVING) {
            Thread.onSpinWait();
        }
        assertServed(20);
        go.countDown();
        String response = read(openRequest);
        assertTrue(
                response.startsWith("HTTP/1.1 200 ") && response.contains("Connection: close\r\n"),
                response);
        drain.join();
        assertTrue(
                sharedSocket.isOpen(),
                "the platform's socket is not closed with the process that leaves");
        assertServed(20);
        follower.drain();
        assertTrue(sharedSocket.isOpen());
    }

    @Test
    void withAnInheritedSocketNoClientIsRefusedBetweenTwoProcesses() throws Exception {
        ProxyServer serving = startFirst(backend(OK));
        assertServed(3);
        serving.drain();
        Socket waiting = sendRequest("look");
        ProxyServer follower = serve();
        assertTrue(
                read(waiting).startsWith("HTTP/1.1 200 "),
                "who came between the two waits to be accepted");
        follower.drain();
    }

    @Test
    void noMoreClientsAreAcceptedThanThereArePlacesAndTheRestWait() throws Exception {
        ProxyServer only = startFirst(backend(OK));
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(
                    new Socket(
                            InetAddress.getLoopbackAddress(),
                            sharedSocket.socket().getLocalPort()));
        }
        assertServed(3);
        for (Socket client : silent) {
            client.close();
        }
        assertServed(3);
        only.drain();
    }

    @Test
    void aDescriptorThatIsNoListeningSocketEndsTheStart(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), config(1, false));
        for (String descriptor : List.of("0", "1", "none", "")) {
            var err = new ByteArrayOutputStream();
            assertEquals(
                    1,
                    ProxyLauncher.run(
                            Map.of(
                                    "PROXY_CONFIG",
                                    file.toString(),
                                    "PROXY_INHERITED_FD",
                                    descriptor),
                            new PrintStream(err)));
            assertTrue(
                    err.toString(UTF_8).contains("PROXY_INHERITED_FD: descriptor " + descriptor),
                    err.toString(UTF_8));
        }
    }
}
