package lemondrift.proxy;

import java.net.InetSocketAddress;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lemondrift.proxy.backend.BackendConnector;
import org.xnio.ChannelListener;
import org.xnio.FutureResult;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;

/** Opens connections to backends and holds each back until the test releases it. */
class HeldConnector implements BackendConnector {
    /** Maximum seconds to wait for a connection. */
    private static final long WAIT_SECONDS = 5;

    private final XnioWorker worker;
    private final LinkedBlockingQueue<HeldConnection> held = new LinkedBlockingQueue<>();

    /** A connection that is held back. Its release must run on the I/O thread. */
    record HeldConnection(InetSocketAddress address, Runnable release) {}

    HeldConnector(XnioWorker worker) {
        this.worker = worker;
    }

    XnioWorker worker() {
        return worker;
    }

    @Override
    public IoFuture<StreamConnection> open(
            InetSocketAddress address, ChannelListener<StreamConnection> opened) {
        FutureResult<StreamConnection> result = new FutureResult<>();
        worker.getIoThread()
                .openStreamConnection(
                        address,
                        connection ->
                                held.add(
                                        new HeldConnection(
                                                address,
                                                () -> {
                                                    result.setResult(connection);
                                                    opened.handleEvent(connection);
                                                })),
                        OptionMap.EMPTY);
        return result.getIoFuture();
    }

    /** Waits for the next held connection. Returns null if there is none in time. */
    HeldConnection nextConnection() throws InterruptedException {
        return held.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }
}
