package lemondrift.proxy;

import static lemondrift.proxy.DaemonThreads.startDaemon;
import static lemondrift.proxy.DiscoveryMessages.member;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;

/**
 * Thousands of backends, each on its own loopback port. One thread serves all of them and responds
 * immediately.
 */
final class ManyBackends implements AutoCloseable {
    private static final byte[] RESPONSE =
            ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
                            + "Endpoint-Load-Metrics: TEXT queue=0, util=0.1\r\n\r\nbody")
                    .getBytes(StandardCharsets.US_ASCII);

    private final Selector selector = Selector.open();
    private final int[] ports;

    ManyBackends(int count) throws IOException {
        ports = new int[count];
        for (int backend = 0; backend < count; backend++) {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.bind(new InetSocketAddress("127.0.0.1", 0), 50);
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT);
            ports[backend] = server.socket().getLocalPort();
        }
        startDaemon(this::serve);
    }

    int port(int backend) {
        return ports[backend];
    }

    /** Returns the list members for consecutive backends, all in the same phase. */
    String[] members(int from, int to, String phase) {
        return IntStream.range(from, to)
                .mapToObj(backend -> member(backend, ports[backend], phase))
                .toArray(String[]::new);
    }

    private void serve() throws IOException {
        while (selector.isOpen()) {
            selector.select(
                    key -> {
                        try {
                            handle(key);
                        } catch (IOException e) {
                            close(key);
                        }
                    });
        }
    }

    private void handle(SelectionKey key) throws IOException {
        if (key.channel() instanceof ServerSocketChannel server) {
            SocketChannel connection = server.accept();
            connection.configureBlocking(false);
            connection.register(selector, SelectionKey.OP_READ, ByteBuffer.allocate(4096));
            return;
        }
        ByteBuffer buffer = (ByteBuffer) key.attachment();
        SocketChannel connection = (SocketChannel) key.channel();
        if (connection.read(buffer) < 0) {
            close(key);
            return;
        }
        // The requests of these tests have no body.
        String received =
                new String(buffer.array(), 0, buffer.position(), StandardCharsets.ISO_8859_1);
        if (received.endsWith("\r\n\r\n")) {
            buffer.clear();
            connection.write(ByteBuffer.wrap(RESPONSE));
        }
    }

    private static void close(SelectionKey key) {
        try {
            key.channel().close();
        } catch (IOException e) {
            // The channel cannot be closed any further.
        }
    }

    @Override
    public void close() throws IOException {
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
