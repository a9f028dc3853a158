package lemondrift.lab.fleet;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;

/**
 * Addresses of the loopback net, one for each end, so that no other connection takes a port
 * between.
 */
final class LoopbackAddresses {
    /** The second bytes of those addresses. */
    static final int PROXIES = 8;

    static final int DISCOVERY = 9;
    static final int BACKENDS = 16;

    private static final int IN_A_NET = 250;

    private LoopbackAddresses() {}

    static InetAddress address(int net, int number) {
        int byte2 = net + number / (IN_A_NET * IN_A_NET);
        int rest = number % (IN_A_NET * IN_A_NET);
        try {
            return InetAddress.getByAddress(
                    new byte[] {
                        127,
                        (byte) byte2,
                        (byte) (1 + rest / IN_A_NET),
                        (byte) (1 + rest % IN_A_NET)
                    });
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** One that nobody listens on at the moment. */
    static InetSocketAddress free(InetAddress host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, host)) {
            return new InetSocketAddress(host, socket.getLocalPort());
        }
    }

    /** The same for datagrams. */
    static InetSocketAddress freeForDatagrams(InetAddress host) throws IOException {
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(host, 0))) {
            return new InetSocketAddress(host, socket.getLocalPort());
        }
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
