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

/** Two proxies that accept on one listening socket, which both were given. */
class UpgradeTest extends LoopbackFixture {
    private ServerSocketChannel given;
    private String[] members;
    private int ids;

    private ProxyServer serve() throws Exception {
        // Whoever waits in the queue is asked for at once, so the list has to be known.
        String known = "{\"known\":" + list(1, true, members) + ",";
        ProxyServer next =
                new ProxyServer(
                        ProxyConfig.read(known + config(discovery.port(), false).substring(1)));
        next.serve(given);
        awaitWatch("from=1");
        return next;
    }

    private ProxyServer first(StandIn... backends) throws Exception {
        start(backends);
        proxy.drain();
        members =
                IntStream.range(0, backends.length)
                        .mapToObj(i -> member(i, backends[i].port(), "active"))
                        .toArray(String[]::new);
        given =
                ServerSocketChannel.open()
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return serve();
    }

    private Socket ask(String grade) throws IOException {
        Socket client = new Socket(InetAddress.getLoopbackAddress(), given.socket().getLocalPort());
        client.getOutputStream()
                .write(
                        ("GET / HTTP/1.1\r\nHost: a\r\nX-Trace-Id: up-"
                                        + ++ids
                                        + "\r\nX-Qos: "
                                        + grade
                                        + "\r\nX-Expires-In-Ms: 4000\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
        return client;
    }

    private void served(int times) throws IOException {
        for (int i = 0; i < times; i++) {
            try (Socket client = ask("look")) {
                assertTrue(read(client).startsWith("HTTP/1.1 200 "));
            }
        }
    }

    @Test
    void theNewOneTakesOverAndNothingIsLost() throws Exception {
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
        ProxyServer old = first(slow);
        Socket open = ask("look");
        assertNotNull(slow.requests.poll(5, TimeUnit.SECONDS));
        ProxyServer next = serve();
        Thread drain =
                new Thread(
                        () -> {
                            try {
                                old.drain();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        drain.start();
        while (old.phase() == ProxyServer.Phase.SERVING) {
            Thread.onSpinWait();
        }
        served(20);
        go.countDown();
        String last = read(open);
        assertTrue(
                last.startsWith("HTTP/1.1 200 ") && last.contains("Connection: close\r\n"), last);
        drain.join();
        assertTrue(given.isOpen(), "the platform's socket is not the old one's to close");
        served(20);
        next.drain();
        assertTrue(given.isOpen());
    }

    @Test
    void withTheSocketNobodyIsRefusedBetweenTwoProcesses() throws Exception {
        ProxyServer old = first(backend(OK));
        served(3);
        old.drain();
        Socket waits = ask("look");
        ProxyServer next = serve();
        assertTrue(read(waits).startsWith("HTTP/1.1 200 "), "who came between waits in the queue");
        next.drain();
    }

    @Test
    void noMoreAreTakenThanThereArePlacesAndTheRestWait() throws Exception {
        ProxyServer only = first(backend(OK));
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(new Socket(InetAddress.getLoopbackAddress(), given.socket().getLocalPort()));
        }
        served(3);
        for (Socket each : silent) {
            each.close();
        }
        served(3);
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
