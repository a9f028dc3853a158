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
 * Accepts on a listening socket that the process was given. It stands in XNIO's package because
 * XNIO only accepts on sockets that it has opened. I/O thread only.
 */
public final class InheritedServer {
    /** How many are accepted at a time, so that one process of two does not take a whole burst. */
    private static final int MAX_ACCEPTS_PER_EVENT = 4;

    /** Seconds without accepting where the system has no descriptor left. */
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
            // The socket is the platform's.
        }

        @Override
        public void channelClosed() {
            openConnections--;
            listen();
        }
    }

    /** Accepts, from the call of listen on, as long as there are fewer open than most. */
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

    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) socket.getLocalAddress();
    }

    /** Another bound on how many may be open. */
    public void setMaxConnections(int newMaxConnections) {
        maxConnections = newMaxConnections;
        listen();
    }

    /** Accepts connections while fewer are open than may be. */
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
     * Accepts no more, and lets go of the socket. Guards against XNIO closing the inherited socket
     * at its end, with which the JDK would lead standard output and error to nowhere.
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
                // Another process that has the socket as well may have been quicker.
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
            // One that has gone already is no reason to stop.
            IoUtils.safeClose(client);
        }
    }
}
