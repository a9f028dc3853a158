package lemondrift.proxy.backend;

import java.net.InetSocketAddress;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.StreamConnection;

/** Opens connections to backends; the warm-up and tests use their own implementations. */
public interface BackendConnector {
    /**
     * Starts to connect. The listener receives the connection once it is established. The future
     * also reports a failure. I/O thread only.
     */
    IoFuture<StreamConnection> open(
            InetSocketAddress address, ChannelListener<StreamConnection> openListener);
}
