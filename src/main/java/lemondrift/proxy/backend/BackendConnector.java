package lemondrift.proxy.backend;

import java.net.InetSocketAddress;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.StreamConnection;

/** Opens connections to backends; the warm-up and tests replace it. */
public interface BackendConnector {
    /**
     * Starts to connect. The listener hears of the connection once it is established; the future
     * also of a failure. I/O thread only.
     */
    IoFuture<StreamConnection> open(
            InetSocketAddress address, ChannelListener<StreamConnection> openListener);
}
