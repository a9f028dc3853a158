package lemondrift.lab.fleet;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;

/**
 * Addresses of the loopback network. Each listener has its own address, so that no outgoing
 * connection can take its port while the listener is down.
 */
final class LoopbackAddresses {
    /** The purpose of a range of addresses. */
    enum Range {
        PROXIES(8),
        DISCOVERY(9),
        BACKENDS(16);

        private final int secondByte;

        Range(int secondByte) {
            this.secondByte = secondByte;
        }
    }

    /** The first byte of all addresses of the loopback network. */
    private static final byte LOOPBACK_FIRST_BYTE = 127;

    /** How many values of the third and of the fourth byte are used. */
    private static final int VALUES_PER_BYTE = 250;

    private LoopbackAddresses() {}

    /** Returns the address of a listener by its number in its range. */
    static InetAddress address(Range range, int number) {
        int secondByte = range.secondByte + number / (VALUES_PER_BYTE * VALUES_PER_BYTE);
        int rest = number % (VALUES_PER_BYTE * VALUES_PER_BYTE);
        byte[] bytes = {
            LOOPBACK_FIRST_BYTE,
            (byte) secondByte,
            (byte) (1 + rest / VALUES_PER_BYTE),
            (byte) (1 + rest % VALUES_PER_BYTE)
        };
        try {
            return InetAddress.getByAddress(bytes);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Finds a TCP port of a host on which no socket listens at the moment. */
    static InetSocketAddress findFreeTcpPort(InetAddress host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, host)) {
            return new InetSocketAddress(host, socket.getLocalPort());
        }
    }

    /** Finds a UDP port of a host to which no socket is bound at the moment. */
    static InetSocketAddress findFreeUdpPort(InetAddress host) throws IOException {
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(host, 0))) {
            return new InetSocketAddress(host, socket.getLocalPort());
        }
    }

    /** Formats an address as "host:port". */
    static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
