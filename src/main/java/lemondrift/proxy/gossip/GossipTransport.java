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
import lemondrift.proxy.health.TaskMonitor;
import lemondrift.proxy.health.TaskMonitor.Task;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/**
 * Sends datagrams to the peers and receives datagrams from them. Used only on the I/O thread once
 * it is started. If the socket fails, one line is logged and the proxy continues to serve without
 * gossip.
 */
public final class GossipTransport {
    private static final Logger LOG = LoggerFactory.getLogger(GossipTransport.class);

    private final GossipSettings settings;
    private final DecisionEvents decisionEvents;
    private final TaskMonitor tasks;

    /** The numbers of the proxies, by address. */
    private final Map<SocketAddress, Integer> proxyNumbers = new HashMap<>();

    /** One byte longer than the maximum datagram, to detect datagrams that are too long. */
    private final ByteBuffer receiveBuffer = ByteBuffer.allocate(LoadGossip.MAX_DATAGRAM_BYTES + 1);

    private final SocketAddressBuffer sender = new SocketAddressBuffer();

    /** Null before the start, and if the socket cannot be opened. */
    private MulticastMessageChannel channel;

    /** Null before the start, and if the socket cannot be opened. */
    private XnioExecutor.Key receiveTimer;

    private boolean failureLogged;

    /** Creates a transport that passes received datagrams to the decision loop. */
    public GossipTransport(
            GossipSettings settings, DecisionEvents decisionEvents, TaskMonitor tasks) {
        this.settings = settings;
        this.tasks = tasks;
        this.decisionEvents = decisionEvents;
        for (int proxy = 0; proxy < settings.proxies().size(); proxy++) {
            proxyNumbers.put(settings.proxies().get(proxy), proxy);
        }
    }

    /** Opens the socket and starts reading it periodically. */
    public void start(XnioWorker worker) {
        try {
            channel = worker.createUdpServer(settings.listen(), OptionMap.EMPTY);
        } catch (IOException e) {
            logFirstFailure(e);
            return;
        }
        // Uses a timer, because a wakeup for each datagram takes more CPU time than all requests.
        receiveTimer =
                worker.getIoThread()
                        .executeAtInterval(
                                this::receive,
                                (long) (settings.minIntervalSeconds() * 1e9),
                                TimeUnit.NANOSECONDS);
    }

    /**
     * Reads all datagrams that have arrived; also called before each request. Datagrams that come
     * from an unknown address or are too long are dropped. Throws nothing, so that an error here
     * fails no request.
     */
    public void receive() {
        if (channel != null) {
            tasks.run(Task.GOSSIP_RECEIVE, this::receiveAll);
        }
    }

    private void receiveAll() {
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
        } catch (IOException e) {
            logFirstFailure(e);
        }
    }

    /** Sends a message to a peer. A message that cannot be sent is lost, like a lost datagram. */
    public void send(LoadGossip.Message message) {
        if (channel == null) {
            return;
        }
        try {
            channel.sendTo(
                    settings.proxies().get(message.to()), ByteBuffer.wrap(message.datagram()));
        } catch (IOException | RuntimeException e) {
            // Catches every exception: NIO reports an unresolved address as an unchecked exception.
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
