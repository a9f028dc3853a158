package org.xnio.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Accepts connections on a listening socket that the process inherited. This class is in XNIO's
 * package because XNIO itself accepts only on sockets that it has opened. I/O thread only.
 */
public final class InheritedServer {
    /**
     * Maximum number of connections to accept at a time, so that one of two processes does not take
     * a whole burst.
     */
    private static final int MAX_ACCEPTS_PER_EVENT = 4;

    /** Seconds to wait before accepting again if the system has no descriptor left. */
    private static final double RETRY_DELAY_SECONDS = 0.25;

    private final ServerSocketChannel socket;
    private final WorkerThread ioThread;
    private final ChannelListener<StreamConnection> acceptListener;
    private final Handle handle;
    private int maxConnections;
    private int openConnections;
    private boolean stopped;

    private final class Handle extends NioHandle implements ChannelClosed {
        private Handle(SelectionKey key) {
            super(ioThread, key);
        }

        @Override
        void handleReady(int ready) {
            accept();
        }

        @Override
        void forceTermination() {
            stop();
        }

        @Override
        void terminated() {
            // The socket belongs to the platform.
        }

        @Override
        public void channelClosed() {
            openConnections--;
            listen();
        }
    }

    /**
     * Creates a server that accepts connections after {@link #listen} is called.
     *
     * @param socket the inherited listening socket, which is made non-blocking
     * @param maxConnections the number of open connections at which the server stops accepting
     * @param acceptListener receives each accepted connection
     * @throws IOException if the socket cannot be made non-blocking or registered
     */
    public InheritedServer(
            ServerSocketChannel socket,
            XnioIoThread ioThread,
            int maxConnections,
            ChannelListener<StreamConnection> acceptListener)
            throws IOException {
        this.socket = socket;
        this.ioThread = (WorkerThread) ioThread;
        this.maxConnections = maxConnections;
        this.acceptListener = acceptListener;
        socket.configureBlocking(false);
        SelectionKey key = this.ioThread.registerChannel(socket);
        handle = new Handle(key);
        key.attach(handle);
    }

    /**
     * Returns the address of the listening socket.
     *
     * @throws IOException if the socket is closed
     */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) socket.getLocalAddress();
    }

    /** Sets the number of open connections at which the server stops accepting. */
    public void setMaxConnections(int newMaxConnections) {
        maxConnections = newMaxConnections;
        listen();
    }

    /**
     * Starts to accept connections, or pauses while the maximum number is open. Does nothing after
     * {@link #stop}.
     */
    public void listen() {
        if (stopped) {
            return;
        }
        if (openConnections < maxConnections) {
            handle.resume(SelectionKey.OP_ACCEPT);
        } else {
            handle.suspend(SelectionKey.OP_ACCEPT);
        }
    }

    /**
     * Stops accepting and releases the socket without closing it. Guards against XNIO closing the
     * inherited socket when it terminates, upon which the JDK would redirect standard output and
     * error to the null device.
     */
    public void stop() {
        stopped = true;
        handle.cancelKey(false);
    }

    private void accept() {
        try {
            for (int i = 0;
                    i < MAX_ACCEPTS_PER_EVENT && !stopped && openConnections < maxConnections;
                    i++) {
                // Null if another process that shares the socket accepted the connection first.
                SocketChannel next = socket.accept();
                if (next == null) {
                    return;
                }
                register(next);
            }
            listen();
        } catch (IOException e) {
            handle.suspend(SelectionKey.OP_ACCEPT);
            ioThread.executeAfter(
                    this::listen, (long) (RETRY_DELAY_SECONDS * 1e9), TimeUnit.NANOSECONDS);
        }
    }

    private void register(SocketChannel client) {
        try {
            client.configureBlocking(false);
            client.setOption(StandardSocketOptions.TCP_NODELAY, true);
            SelectionKey key = ioThread.registerChannel(client);
            StreamConnection connection = new NioSocketStreamConnection(ioThread, key, handle);
            openConnections++;
            ChannelListeners.invokeChannelListener(connection, acceptListener);
        } catch (IOException e) {
            // The client has closed the connection already. The server keeps accepting.
            IoUtils.safeClose(client);
        }
    }
}
