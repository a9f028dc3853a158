package lemondrift.proxy.gossip;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lemondrift.gossip.LoadGossip;
import lemondrift.proxy.config.GossipSettings;
import lemondrift.proxy.events.DecisionEvents;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/**
 * Datagrams from and to the peers. I/O thread only, once it is started. A socket that fails leaves
 * one line in the log, and the proxy serves on without gossip.
 */
public final class GossipTransport {
    private static final Logger LOG = LoggerFactory.getLogger(GossipTransport.class);

    private final GossipSettings settings;
    private final DecisionEvents decisionEvents;

    /** The number of each proxy, by its address. */
    private final Map<SocketAddress, Integer> proxyNumbers = new HashMap<>();

    /** One byte more than a datagram may have, which shows one that is too long. */
    private final ByteBuffer receiveBuffer = ByteBuffer.allocate(LoadGossip.MAX_DATAGRAM_BYTES + 1);

    private final SocketAddressBuffer sender = new SocketAddressBuffer();

    /** Null until it is started, and where the socket can't be opened. */
    private MulticastMessageChannel channel;

    /** Null until it is started, and where the socket can't be opened. */
    private XnioExecutor.Key receiveTimer;

    private boolean failureLogged;

    /** A transport that passes what it receives to the decision loop. */
    public GossipTransport(GossipSettings settings, DecisionEvents decisionEvents) {
        this.settings = settings;
        this.decisionEvents = decisionEvents;
        for (int proxy = 0; proxy < settings.proxies().size(); proxy++) {
            proxyNumbers.put(settings.proxies().get(proxy), proxy);
        }
    }

    /** Opens the socket and reads it from time to time. */
    public void start(XnioWorker worker) {
        try {
            channel = worker.createUdpServer(settings.listen(), OptionMap.EMPTY);
        } catch (IOException e) {
            logFirstFailure(e);
            return;
        }
        // By a timer, as to be woken for each datagram costs more processor than all requests do.
        receiveTimer =
                worker.getIoThread()
                        .executeAtInterval(
                                this::receive,
                                (long) (settings.minIntervalSeconds() * 1e9),
                                TimeUnit.NANOSECONDS);
    }

    /**
     * Reads all that has come; also called before each request. Datagrams from an unknown address,
     * or longer than any may be, are dropped.
     */
    public void receive() {
        if (channel == null) {
            return;
        }
        try {
            for (int length = channel.receiveFrom(sender, receiveBuffer.clear());
                    length > 0;
                    length = channel.receiveFrom(sender, receiveBuffer.clear())) {
                Integer from = proxyNumbers.get(sender.getSourceAddress());
                if (from != null && length <= LoadGossip.MAX_DATAGRAM_BYTES) {
                    byte[] datagram = new byte[length];
                    receiveBuffer.flip().get(datagram);
                    decisionEvents.datagramReceived(from, datagram);
                }
            }
        } catch (IOException | RuntimeException e) {
            // Wide, as it runs before each request, which must not fail with it.
            logFirstFailure(e);
        }
    }

    /** Sends a message to a peer; one that can't be sent is lost, as a datagram may be. */
    public void send(LoadGossip.Message message) {
        if (channel == null) {
            return;
        }
        try {
            channel.sendTo(
                    settings.proxies().get(message.to()), ByteBuffer.wrap(message.datagram()));
        } catch (IOException | RuntimeException e) {
            // Wide, as NIO reports an address that is not resolved unchecked.
            logFirstFailure(e);
        }
    }

    private void logFirstFailure(Exception cause) {
        if (!failureLogged) {
            LOG.warn("gossip can't be sent or received: {}", cause.toString());
        }
        failureLogged = true;
    }

    /** Closes the socket. */
    public void stop() {
        if (receiveTimer != null) {
            receiveTimer.remove();
        }
        IoUtils.safeClose(channel);
    }
}
