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
    private static final int AT_A_TIME = 4;

    /** Seconds without accepting where the system has no descriptor left. */
    private static final double PAUSE = 0.25;

    private final ServerSocketChannel socket;
    private final WorkerThread io;
    private final ChannelListener<StreamConnection> accepted;
    private final Handle handle;
    private int most;
    private int open;
    private boolean stopped;

    private final class Handle extends NioHandle implements ChannelClosed {
        private Handle(SelectionKey key) {
            super(io, key);
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
            open--;
            listen();
        }
    }

    /** Accepts, from the call of listen on, as long as there are fewer open than most. */
    public InheritedServer(
            ServerSocketChannel socket,
            XnioIoThread io,
            int most,
            ChannelListener<StreamConnection> accepted)
            throws IOException {
        this.socket = socket;
        this.io = (WorkerThread) io;
        this.most = most;
        this.accepted = accepted;
        socket.configureBlocking(false);
        SelectionKey key = this.io.registerChannel(socket);
        handle = new Handle(key);
        key.attach(handle);
    }

    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) socket.getLocalAddress();
    }

    /** Another bound on how many may be open. */
    public void most(int other) {
        most = other;
        listen();
    }

    /** Accepts connections while fewer are open than may be. */
    public void listen() {
        if (stopped) {
            return;
        }
        if (open < most) {
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
            for (int i = 0; i < AT_A_TIME && !stopped && open < most; i++) {
                // Another process that has the socket as well may have been quicker.
                SocketChannel next = socket.accept();
                if (next == null) {
                    return;
                }
                came(next);
            }
            listen();
        } catch (IOException e) {
            handle.suspend(SelectionKey.OP_ACCEPT);
            io.executeAfter(this::listen, (long) (PAUSE * 1e9), TimeUnit.NANOSECONDS);
        }
    }

    private void came(SocketChannel client) {
        try {
            client.configureBlocking(false);
            client.setOption(StandardSocketOptions.TCP_NODELAY, true);
            SelectionKey key = io.registerChannel(client);
            StreamConnection connection = new NioSocketStreamConnection(io, key, handle);
            open++;
            ChannelListeners.invokeChannelListener(connection, accepted);
        } catch (IOException e) {
            // One that has gone already is no reason to stop.
            IoUtils.safeClose(client);
        }
    }
}
