package lemondrift.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static lemondrift.proxy.DiscoveryMessages.activeMembers;
import static lemondrift.proxy.DiscoveryMessages.endpointList;
import static lemondrift.proxy.HttpMessages.OK;
import static lemondrift.proxy.HttpMessages.getRequest;
import static lemondrift.proxy.HttpMessages.readMessage;
import static lemondrift.proxy.HttpMessages.writeText;
import static lemondrift.proxy.ScriptedServer.CLOSE;
import static lemondrift.proxy.TestConfig.TIMEOUT_MILLIS;
import static lemondrift.proxy.TestConfig.UNUSED_PORT;
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
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import lemondrift.proxy.config.ProxyConfig;
import lemondrift.proxy.lifecycle.ProxyLauncher;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests hot restart: two proxies accept clients on the same inherited listening socket. */
class UpgradeTest extends LoopbackFixture {
    /** Maximum seconds for which a backend waits for its release. */
    private static final int RELEASE_TIMEOUT_SECONDS = 5;

    private ServerSocketChannel sharedSocket;
    private String[] members;
    private int requestCount;

    private ProxyServer serveOnSharedSocket() throws Exception {
        // Waiting clients are served at once, so the proxy needs an endpoint list from the start.
        String initialEndpoints = "{\"known\":" + endpointList(1, true, members) + ",";
        ProxyServer follower =
                new ProxyServer(
                        ProxyConfig.read(initialEndpoints + config(discovery.port()).substring(1)));
        follower.serve(sharedSocket);
        awaitDiscoveryRequest("from=1");
        return follower;
    }

    private ProxyServer startFirst(ScriptedServer... backends) throws Exception {
        start(backends);
        proxy.drain();
        members = activeMembers(ports(backends));
        sharedSocket =
                ServerSocketChannel.open()
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return serveOnSharedSocket();
    }

    private Socket connectToSharedSocket() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), sharedSocket.socket().getLocalPort());
    }

    /** Sends a request on a new connection. */
    private Socket sendRequest() throws IOException {
        Socket client = connectToSharedSocket();
        requestCount++;
        writeText(client, getRequest("up-" + requestCount, TIMEOUT_MILLIS));
        return client;
    }

    private void assertServed(int requests) throws IOException {
        for (int i = 0; i < requests; i++) {
            try (Socket client = sendRequest()) {
                assertTrue(readMessage(client).startsWith("HTTP/1.1 200 "));
            }
        }
    }

    @Test
    void followerTakesOverWithoutLosingARequest() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        AtomicBoolean firstReceived = new AtomicBoolean();
        ScriptedServer slow =
                backend(
                        request ->
                                firstReceived.getAndSet(true)
                                                || awaitRelease(mayRespond, RELEASE_TIMEOUT_SECONDS)
                                        ? OK
                                        : CLOSE);
        ProxyServer serving = startFirst(slow);
        Socket openRequest = sendRequest();
        assertNotNull(slow.nextRequest());
        ProxyServer follower = serveOnSharedSocket();
        Thread drain = drainThread(serving);
        drain.start();
        while (serving.phase() == ProxyServer.Phase.SERVING) {
            Thread.onSpinWait();
        }
        assertServed(20);
        mayRespond.countDown();
        String response = readMessage(openRequest);
        assertTrue(
                response.startsWith("HTTP/1.1 200 ") && response.contains("Connection: close\r\n"),
                response);
        drain.join();
        assertTrue(
                sharedSocket.isOpen(), "the drained process must not close the inherited socket");
        assertServed(20);
        follower.drain();
        assertTrue(sharedSocket.isOpen());
    }

    @Test
    void clientWaitsOnInheritedSocketBetweenTwoProcesses() throws Exception {
        ProxyServer serving = startFirst(backend(OK));
        assertServed(3);
        serving.drain();
        Socket waiting = sendRequest();
        ProxyServer follower = serveOnSharedSocket();
        assertTrue(
                readMessage(waiting).startsWith("HTTP/1.1 200 "),
                "a client that connects between the two processes must be served by the second");
        follower.drain();
    }

    @Test
    void servesClientsWhileSilentOnesFillTheConnectionLimit() throws Exception {
        ProxyServer server = startFirst(backend(OK));
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(connectToSharedSocket());
        }
        assertServed(3);
        closeAll(silent);
        assertServed(3);
        server.drain();
    }

    @Test
    void exitsWhenInheritedDescriptorIsNotAListeningSocket(@TempDir Path folder) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), config(UNUSED_PORT));
        for (String descriptor : List.of("0", "1", "none", "")) {
            var errorOutput = new ByteArrayOutputStream();
            assertEquals(
                    1,
                    ProxyLauncher.run(
                            Map.of(
                                    "PROXY_CONFIG",
                                    file.toString(),
                                    "PROXY_INHERITED_FD",
                                    descriptor),
                            new PrintStream(errorOutput)));
            assertTrue(
                    errorOutput
                            .toString(UTF_8)
                            .contains("PROXY_INHERITED_FD: descriptor " + descriptor),
                    errorOutput.toString(UTF_8));
        }
    }
}
