package lemondrift.proxy.backend;

import java.net.InetSocketAddress;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.StreamConnection;

/** Opens connections to backends. */
public interface BackendConnector {
    IoFuture<StreamConnection> open(InetSocketAddress to, ChannelListener<StreamConnection> opened);
}
