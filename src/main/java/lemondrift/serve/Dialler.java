package lemondrift.serve;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * An I/O thread that remembers the connection it opened last, since UndertowClient gives out neither a
 * connect that is under way nor the socket. Danger: a connect to a machine that is cut off would hold its
 * descriptor for minutes, and a silent connection that is closed politely would do so for ever.
 */
final class Dialler extends XnioIoThread {
    private final XnioIoThread io;
    private IoFuture<StreamConnection> last;

    Dialler(XnioIoThread io) {
        super(io.getWorker(), io.getNumber());
        this.io = io;
    }

    /** The connect that was begun last. */
    IoFuture<StreamConnection> last() {
        return last;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(SocketAddress to,
            ChannelListener<? super StreamConnection> opened, OptionMap options) {
        last = io.openStreamConnection(to, opened, options);
        return last;
    }

    @Override
    public void execute(Runnable task) {
        io.execute(task);
    }

    @Override
    public Key executeAfter(Runnable task, long time, TimeUnit unit) {
        return io.executeAfter(task, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
        return io.executeAtInterval(task, time, unit);
    }
}
